import java.nio.file.Path;
import java.util.List;

/**
 * The machine of one of two engines stands still as its agent's load order arrives, and
 * staged pieces turn bad meanwhile. Later the agent is stopped and started again. Checks
 * rule WHOLE: no request runs on weights that were taken with spoilt pieces.
 */
final class SpoiltWeights {

	/** The site file has 4.0 s and 7.0 s. */
	private static final long FREEZE_MS = 4_000;

	/** The site file has 0.06 of the pieces. */
	private static final int SPOILT_PIECES = 5;

	private static final long SPOIL_AFTER_MS = 300;

	private static final long STOP_AFTER_MS = 4_000;

	private static final long RESTART_MS = 1_000;

	private SpoiltWeights() {
	}

	public static void main(String[] args) {
		Case.run(args, SpoiltWeights::run);
	}

	private static int run(boolean trouble, Record record, Path folder) throws Exception {
		try (Store store = new Store();
				Origin origin = new Origin();
				Entry entry = new Entry("edge-lautoka-a-1", folder);
				Engine first = new Engine("a", "127.0.0.2", record);
				Engine second = new Engine("b", "127.0.0.3", record);
				Agent firstAgent = new Agent("side-lautoka-a-1", "127.0.0.2", folder);
				Agent secondAgent = new Agent("side-lautoka-a-2", "127.0.0.3", folder)) {
			Site.configure(store, origin.port());
			for (Engine engine : List.of(first, second)) {
				Replica.start("beats", () -> {
					while (true) {
						store.write("keyed.servers", engine.id, engine.beat());
						Thread.sleep(Engine.BEAT_MS);
					}
				});
				Replica.start("lapses", () -> expire(store, engine, record));
			}
			entry.start(store.port(), List.of());
			firstAgent.start(entry, store.port(), Integer.toString(first.port()));
			secondAgent.start(entry, store.port(), Integer.toString(second.port()));
			if (!entry.awaitReady(20_000)) {
				record.write("the entry did not become ready");
				return Case.NOT_RUN;
			}
			Thread.sleep(5_000);
			Streams streams = new Streams(entry.front, record);
			Replica.start("clients", () -> {
				while (true) {
					streams.send();
					Thread.sleep(250);
				}
			});
			Thread.sleep(2_000);
			if (trouble) {
				first.whenOrdered(() -> freeze(first, firstAgent, record));
			}
			store.write("keyed.op", "version/m0", "{\"model\":\"m0\",\"version\":2}");
			record.write("named   version 2");
			for (int i = 0; i < 150 && (first.version() < 2 || second.version() < 2); i++) {
				Thread.sleep(100);
			}
			if (first.version() < 2 || second.version() < 2) {
				record.write("the engines did not load version 2");
				return Case.NOT_RUN;
			}
			Thread.sleep(STOP_AFTER_MS);
			record.write("state   engine a is loaded " + (first.isLoadedWrong() ? "with spoilt pieces" : "right") + ", "
					+ first.spoiltRuns() + " requests have run on them so far");
			if (trouble) {
				firstAgent.terminate();
				record.write("stop    agent of engine a has ended after SIGTERM");
				Thread.sleep(RESTART_MS);
				firstAgent.start(entry, store.port(), Integer.toString(first.port()));
				record.write("start   agent of engine a");
			}
			Thread.sleep(8_000);
			return judge(record, streams, first);
		}
	}

	// The platform removes the entry of a replica that is silent.
	private static void expire(Store store, Engine engine, Record record) throws InterruptedException {
		Thread.sleep(Engine.BEAT_MS);
		boolean removed = false;
		while (true) {
			if (engine.isLapsed() && !removed) {
				store.write("keyed.servers", engine.id, "");
				record.write("lapse   the entry of " + engine.id + " is removed");
			}
			removed = engine.isLapsed();
			Thread.sleep(50);
		}
	}

	private static void freeze(Engine engine, Agent agent, Record record) {
		try {
			engine.setFrozen(true);
			agent.signal("STOP");
			record.write("freeze  machine of engine a stands still, an order has arrived");
			Replica.start("freeze", () -> {
				Thread.sleep(SPOIL_AFTER_MS);
				engine.spoil(SPOILT_PIECES);
				Thread.sleep(FREEZE_MS - SPOIL_AFTER_MS);
				agent.signal("CONT");
				engine.setFrozen(false);
				record.write("wake    machine of engine a");
			});
		}
		catch (Exception ex) {
			throw new IllegalStateException(ex);
		}
	}

	private static int judge(Record record, Streams streams, Engine engine) {
		long complete = streams.all().stream().filter((stream) -> stream.end.equals("complete")).count();
		record.write("result  " + streams.all().size() + " streams, " + complete + " complete, " + engine.spoiltRuns()
				+ " made with spoilt pieces");
		System.out.println(engine.spoiltRuns() + " of " + streams.all().size() + " streams made with spoilt pieces");
		if (engine.spoiltRuns() > 0) {
			return Case.BROKEN;
		}
		return (complete > streams.all().size() / 2) ? Case.HELD : Case.NOT_RUN;
	}

}
