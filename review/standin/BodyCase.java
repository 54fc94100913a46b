import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CyclicBarrier;

/**
 * One entry and eight replicas. 24 clients send requests with bodies of 4,000,000 bytes, which
 * the configuration allows, at the same moment; without the disruption one after the other.
 */
public final class BodyCase {

	private static final int CLIENTS = 24;

	private static final int ROUNDS = 8;

	private static final int BODY_BYTES = 4_000_000;

	private BodyCase() {
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
		Path directory = Files.createTempDirectory("review-body");
		Store store = new Store();
		store.put("keyed.op", "config", Site.configuration(1));
		for (int i = 0; i < 8; i++) {
			new Replica(store, record, "i-engine" + i, "engines", true, 4, 50);
		}
		Entry entry = new Entry("edge-a-1");
		entry.start(directory, store.port(), List.of(entry));
		entry.awaitReady();
		Replica.sleep(3_500);
		byte[] body = new byte[BODY_BYTES];
		if (trouble) {
			CyclicBarrier together = new CyclicBarrier(CLIENTS);
			List<Thread> threads = new ArrayList<>();
			for (int i = 0; i < CLIENTS; i++) {
				int number = i;
				threads.add(Store.daemon(() -> {
					for (int round = 0; round < ROUNDS; round++) {
						try {
							together.await();
						}
						catch (Exception ex) {
							throw new IllegalStateException(ex);
						}
						send(record, entry, number, round, body);
					}
				}));
			}
			threads.forEach(Thread::start);
			for (Thread thread : threads) {
				thread.join();
			}
		}
		else {
			for (int i = 0; i < CLIENTS; i++) {
				send(record, entry, i, 0, body);
			}
		}
		entry.end();
		int broken = record.changedBodies().size();
		record.add("test", "result", broken > 0 ? "BROKEN" : "held", broken + " requests");
		record.save();
		System.out.println((broken > 0 ? "broken: " : "held: ") + broken + " requests ran with another body");
		return (broken > 0) ? 1 : 0;
	}

	private static void send(Record record, Entry entry, int number, int round, byte[] body) {
		Caller caller = new Caller(record, "c" + number, entry.front);
		caller.send("POST", "/stream/x", "r" + number + "-" + round, body, 6_000);
		caller.close();
	}

}
