import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * The machine of one of four engines stands still as its agent's load order arrives, and
 * staged pieces turn bad meanwhile. Later its agent is stopped and started again, as planned
 * work, also without trouble. Checks
 * rule WHOLE: no request runs on weights that were taken with spoilt pieces.
 */
final class SpoiltWeights {

	/** Of these one has spoilt pieces; the site file has a share of 0.3. */
	private static final int ENGINES = 4;

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
		List<Agent> agents = new ArrayList<>();
		List<Engine> engines = new ArrayList<>();
		try (Store store = new Store(); Origin origin = new Origin(); Entry entry = new Entry("edge-lautoka-a-1", folder)) {
			Site.configure(store, origin.port());
			entry.start(store.port(), List.of());
			for (int i = 0; i < ENGINES; i++) {
				String ip = "127.0.0." + (2 + i);
				Engine engine = new Engine(Character.toString('a' + i), ip, record);
				Agent agent = new Agent("side-lautoka-a-" + (1 + i), ip, folder);
				engines.add(engine);
				agents.add(agent);
				Replica.start("beats", () -> {
					while (true) {
						store.write("keyed.servers", engine.id, engine.beat());
						Thread.sleep(Engine.BEAT_MS);
					}
				});
				Replica.start("lapses", () -> expire(store, engine, record));
				agent.start(entry, store.port(), Integer.toString(engine.port()));
			}
			if (!entry.awaitReady(20_000)) {
				record.write("the entry did not become ready");
				return Case.NOT_RUN;
			}
			return play(trouble, record, store, entry, engines, agents.get(0));
		}
		finally {
			for (Agent agent : agents) {
				agent.close();
			}
			for (Engine engine : engines) {
				engine.close();
			}
		}
	}

	private static int play(boolean trouble, Record record, Store store, Entry entry, List<Engine> engines,
			Agent firstAgent) throws IOException, InterruptedException {
		Engine first = engines.get(0);
		Thread.sleep(5_000);
		Streams streams = new Streams(entry.front, record);
		Replica.start("clients", () -> {
			while (true) {
				streams.send();
				Thread.sleep(125);
			}
		});
		Thread.sleep(2_000);
		if (trouble) {
			first.whenOrdered(() -> freeze(first, firstAgent, record));
		}
		store.write("keyed.op", "version/m0", "{\"model\":\"m0\",\"version\":2}");
		record.write("named   version 2");
		for (int i = 0; i < 200 && !engines.stream().allMatch((engine) -> engine.version() == 2); i++) {
			Thread.sleep(100);
		}
		if (!engines.stream().allMatch((engine) -> engine.version() == 2)) {
			record.write("the engines did not load version 2");
			return Case.NOT_RUN;
		}
		Thread.sleep(STOP_AFTER_MS);
		record.write("state   engine a is loaded " + (first.isLoadedWrong() ? "with spoilt pieces" : "right") + ", "
				+ first.spoiltRuns() + " requests have run on them so far");
		firstAgent.terminate();
		record.write("stop    agent of engine a has ended after SIGTERM");
		Thread.sleep(RESTART_MS);
		firstAgent.start(entry, store.port(), Integer.toString(first.port()));
		record.write("start   agent of engine a");
		Thread.sleep(8_000);
		return judge(record, streams, first);
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
