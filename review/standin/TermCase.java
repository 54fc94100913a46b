import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Two entries, ten model replicas. One entry gets SIGTERM while clients use it. Clients
 * that learnt its address before the signal go on using it, as the directory's answer
 * allows, and send streams that last 4.5 s.
 */
public final class TermCase {

	private static final int EVENTS = 50;

	private static final int EVENT_MS = 90;

	private static final int DEADLINE_MS = 6_000;

	private TermCase() {
	}

	public static void main(String[] args) throws Exception {
		boolean trouble = !"0".equals(System.getenv("TROUBLE"));
		Record record = new Record(Path.of(args[0]));
		try {
			System.exit(run(trouble, record));
		}
		catch (Exception ex) {
			record.add("test", "run", "could not run", ex.toString());
			record.save();
			ex.printStackTrace();
			System.exit(2);
		}
	}

	private static int run(boolean trouble, Record record) throws Exception {
		Path directory = Files.createTempDirectory("review-term");
		Store store = new Store();
		store.put("keyed.op", "config", Site.configuration(1));
		for (int i = 0; i < 10; i++) {
			new Replica(store, record, "i-engine" + i, "engines", true, EVENTS, EVENT_MS);
		}
		for (int i = 0; i < 2; i++) {
			new Replica(store, record, "i-desk" + i, "desk", false, 0, 0);
		}
		Entry leaving = new Entry("edge-a-1");
		Entry staying = new Entry("edge-a-2");
		List<Entry> entries = List.of(leaving, staying);
		for (Entry entry : entries) {
			entry.start(directory, store.port(), entries);
		}
		for (Entry entry : entries) {
			entry.awaitReady();
		}
		Replica.sleep(2_500);
		List<Caller.Answer> cut = new CopyOnWriteArrayList<>();
		List<String> cutIds = new CopyOnWriteArrayList<>();
		List<Thread> threads = new ArrayList<>();
		// Clients that have used a connection to the entry before.
		List<Caller> callers = new ArrayList<>();
		String answer = Caller.resolve(leaving.directory);
		record.add("client", "all", "directory's answer", answer);
		if (!Caller.names(answer, leaving.front)) {
			throw new IllegalStateException("the directory doesn't name the entry");
		}
		int[] sendAtMs = { 1_000, 2_000, 2_900, 3_200, 3_300, 3_400, 3_500, 3_600, 3_700, 3_800 };
		for (int i = 0; i < sendAtMs.length; i++) {
			Caller caller = new Caller(record, "c" + i, leaving.front);
			if (!caller.send("POST", "/plain/w", "warm" + i, new byte[20], 1_500).complete()) {
				throw new IllegalStateException("no answer before the signal");
			}
			if (i % 2 == 1) {
				caller.close();
			}
			callers.add(caller);
		}
		double termAt = record.seconds();
		if (trouble) {
			record.add("platform", leaving.name, "SIGTERM", "");
			leaving.signal("TERM");
		}
		for (int i = 0; i < sendAtMs.length; i++) {
			int number = i;
			Thread thread = Store.daemon(() -> {
				Replica.sleep((long) (termAt * 1000 + sendAtMs[number] - record.seconds() * 1000));
				String id = "s" + number;
				Caller.Answer result = callers.get(number)
					.send("POST", "/stream/x", id, new byte[600], DEADLINE_MS);
				boolean deadlineReached = result.endedAt() - result.sentAt() > DEADLINE_MS / 1000.0 - 0.1;
				if (!result.complete() && record.hasRun(id) && !deadlineReached) {
					cutIds.add(id + " sent " + sendAtMs[number] + " ms after the signal");
					cut.add(result);
				}
			});
			threads.add(thread);
			thread.start();
		}
		for (Thread thread : threads) {
			thread.join(15_000);
		}
		if (trouble) {
			// The platform would send SIGKILL 8 s after SIGTERM.
			Replica.sleep((long) (termAt * 1000 + 8_000 - record.seconds() * 1000));
			record.add("platform", leaving.name, "8 s after SIGTERM", "running: " + leaving.isAlive());
		}
		entries.forEach(Entry::end);
		// A request that was sent no later than 3 s after SIGTERM and whose replica was
		// still at work in the last sixth of the grace period isn't counted.
		long counted = cutIds.stream().filter((line) -> Integer.parseInt(line.split(" ")[2]) > 3_000).count();
		cutIds.forEach((line) -> record.add("test", "LOST", "passed on and cut without a complete answer", line));
		record.add("test", "result", counted > 0 ? "BROKEN" : "held", counted + " requests lost");
		record.save();
		System.out.println((counted > 0 ? "broken: " : "held: ") + counted + " requests lost " + cutIds);
		return (counted > 0) ? 1 : 0;
	}

}
