import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * One of three replicas is cut off for a second and a half, several times, while streams
 * run. Checks rule ORDER: no stream joins pieces of two runs, unless the later run went on
 * at the last event before.
 */
final class JoinedRuns {

	private static final int ROUNDS = 7;

	private static final long ROUND_MS = 11_000;

	/** Lengths of the cuts; the site file allows 5.5 s. */
	private static final long[] CUT_MS = { 1_400, 1_450, 1_500, 1_550, 1_450, 1_500, 1_400 };

	private static final long ARRIVAL_MS = 130;

	private static final long PREFILL_MS = 60;

	/** Pause between two events of a loaded replica; the deployment allows 400 ms. */
	private static final long PAUSE_MS = 120;

	private static final int EVENTS = 26;

	private JoinedRuns() {
	}

	public static void main(String[] args) {
		Case.run(args, JoinedRuns::run);
	}

	private static int run(boolean trouble, Record record, Path folder) throws Exception {
		Map<String, Integer> begunAfter = new ConcurrentHashMap<>();
		try (Store store = new Store(); Entry entry = new Entry("edge-lautoka-a-1", folder)) {
			List<Replica> replicas = new ArrayList<>();
			for (String label : List.of("A", "B", "C")) {
				replicas.add(new Replica(label, record, begunAfter, PREFILL_MS, PAUSE_MS, EVENTS));
			}
			Link link = new Link(replicas.get(0).port());
			Site.configure(store);
			Replica.start("beats", () -> {
				while (true) {
					for (Replica replica : replicas) {
						int port = (replica == replicas.get(0)) ? link.port() : replica.port();
						store.write("keyed.servers", replica.id, replica.beat(Site.ENGINES, port));
					}
					Thread.sleep(1_200);
				}
			});
			entry.start(store.port(), List.of());
			if (!entry.awaitReady(20_000)) {
				record.write("the entry did not become ready");
				return Case.NOT_RUN;
			}
			Thread.sleep(1_000);
			Streams streams = new Streams(entry.front, record);
			play(trouble, link, record, streams);
			return judge(record, streams, begunAfter);
		}
	}

	private static void play(boolean trouble, Link link, Record record, Streams streams) throws InterruptedException {
		long startMs = record.nowMs();
		for (int round = 0; round < ROUNDS; round++) {
			long roundMs = startMs + round * ROUND_MS;
			long cutMs = roundMs + 6_000;
			long healMs = cutMs + CUT_MS[round];
			boolean cut = false;
			for (long nextMs = roundMs; nextMs < roundMs + ROUND_MS; nextMs += ARRIVAL_MS) {
				streams.send();
				while (record.nowMs() < nextMs + ARRIVAL_MS) {
					boolean cutNow = trouble && record.nowMs() >= cutMs && record.nowMs() < healMs;
					if (cutNow != cut) {
						cut = cutNow;
						link.setCut(cut);
						record.write("link    to replica A " + (cut ? "is cut" : "is whole again"));
					}
					Thread.sleep(5);
				}
			}
		}
		Thread.sleep(4_000);
	}

	private static int judge(Record record, Streams streams, Map<String, Integer> begunAfter) {
		int joined = 0;
		int complete = 0;
		for (Streams.Stream stream : streams.all()) {
			complete += stream.end.equals("complete") ? 1 : 0;
			Streams.Event last = null;
			boolean broken = false;
			for (Streams.Event event : stream.events) {
				boolean changed = last != null && !event.run().equals(last.run());
				if (changed && begunAfter.get(event.run()) != last.id()) {
					broken = true;
					record.write("BROKEN  " + stream.attempt + ": event " + last.id() + " of run " + last.run()
							+ " is followed by event " + event.id() + " of run " + event.run()
							+ ", which went on after event " + begunAfter.get(event.run()));
				}
				last = event;
			}
			joined += broken ? 1 : 0;
		}
		record.write("result  " + streams.all().size() + " streams, " + complete + " complete, " + joined
				+ " join pieces of runs that do not follow each other");
		System.out.println(joined + " of " + streams.all().size() + " streams join pieces of two runs, " + complete
				+ " complete");
		if (joined > 0) {
			return Case.BROKEN;
		}
		return (complete > streams.all().size() / 2) ? Case.HELD : Case.NOT_RUN;
	}

}
