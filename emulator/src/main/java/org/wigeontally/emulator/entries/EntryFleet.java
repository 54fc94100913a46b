package org.wigeontally.emulator.entries;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.datagram.DatagramSocket;
import io.vertx.core.http.HttpClient;
import io.vertx.core.json.JsonObject;

import org.wigeontally.emulator.experiment.EntryAddresses;
import org.wigeontally.emulator.experiment.Ports;
import org.wigeontally.eventlog.EventLog;
import org.wigeontally.gateway.GatewayDaemon;
import org.wigeontally.misc.Clock;
import org.wigeontally.misc.Closer;
import org.wigeontally.misc.RendezvousHash;
import org.wigeontally.platform.standin.FakeBackend;
import org.wigeontally.platform.standin.FakeConfiguration;
import org.wigeontally.platform.standin.FakeStore;
import org.wigeontally.platform.standin.TestCaller;
import org.wigeontally.rpc.PeerClient;
import org.wigeontally.schema.generated.Address;
import org.wigeontally.schema.generated.HostSettings;
import org.wigeontally.settings.Addresses;
import org.wigeontally.settings.HostSettingsValidator;
import org.wigeontally.settings.SettingsReader;

/**
 * All that one entry process communicates with: the store with a configuration and
 * registrations that are renewed, entries of three regions, agents, backend servers and
 * callers. One of the other entries is a real one. It reads the store for the region of
 * the measured entry.
 */
public final class EntryFleet implements AutoCloseable {

	private static final int REGIONS = 3;

	private static final long REGISTRATION_INTERVAL_MS = 1_200;

	private static final int DESKS = 8;

	/** Entries in the settings of the measured one; these name the others. */
	private static final int SEEDS = 3;

	private static final long TIMEOUT_MS = 1_000;

	private static final long MESSAGE_LIMIT_BYTES = 8 * 1024 * 1024;

	private final Closer closer = Closer.create();

	private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));

	private final Traffic traffic = new Traffic();

	private final List<Address> controls = new ArrayList<>();

	private final PeerClient client = PeerClient.create(this.vertx, "", TIMEOUT_MS, MESSAGE_LIMIT_BYTES);

	private final HttpClient callers = this.vertx.createHttpClient();

	private final EntryAddresses measured;

	private final FakeStore store;

	private int requests;

	private int answers;

	/**
	 * Starts the fleet around an entry that is not started yet.
	 * @param entries number of entries
	 * @param agents number of agents
	 * @throws Exception if it cannot be started
	 */
	public EntryFleet(int entries, int agents) throws Exception {
		this.closer.add(() -> await(this.vertx.close()));
		this.store = await(FakeStore.start(this.vertx));
		this.store.write("op", "config", FakeConfiguration.create(1, List.of()));
		EntryAddresses first = EntryAddresses.free();
		EntryAddresses second = EntryAddresses.free();
		// The entry with the lower hash reads the store for the region.
		boolean inOrder = hash(first) < hash(second);
		EntryAddresses reader = inOrder ? first : second;
		this.measured = inOrder ? second : first;
		this.controls.add(reader.control());
		for (int i = 2; i < entries; i++) {
			this.controls.add(Ports.free());
		}
		this.controls.add(this.measured.control());
		for (int i = 1; i < entries - 1; i++) {
			await(PeerEntry.start(this.vertx, "entry-" + i, region(i), this.controls.get(i), this.controls, this.client,
					this.traffic));
		}
		startBackends(agents);
		startAgents(entries, agents);
		startReader(reader);
	}

	private static long hash(EntryAddresses entry) {
		return RendezvousHash.of(Addresses.format(entry.control()));
	}

	private static String region(int number) {
		return "region-" + "abc".charAt(number % REGIONS);
	}

	private void startBackends(int agents) throws Exception {
		List<FakeBackend> desks = new ArrayList<>();
		for (int i = 0; i < DESKS; i++) {
			desks.add(await(FakeBackend.start(this.vertx, "desk-" + i,
					(arrival, socket) -> socket.write(Buffer.buffer(FakeBackend.signedResponse(arrival, "ok"))))));
		}
		Runnable register = () -> {
			for (int i = 0; i < DESKS; i++) {
				this.store.write("servers", "desk-" + i, desks.get(i).registration("desk", "zone-a", "ready", 0));
			}
			for (int i = 0; i < agents; i++) {
				JsonObject registration = FakeBackend.registration(engine(i).getPort(), "engines", "zone-a", "ready",
						1);
				this.store.write("servers", "engine-" + i, registration.put("seq", System.nanoTime()));
			}
		};
		register.run();
		this.vertx.setPeriodic(REGISTRATION_INTERVAL_MS, (id) -> register.run());
	}

	private static Address engine(int number) {
		return Address.newBuilder().setIp(Ports.LOOPBACK).setPort(1_024 + number).build();
	}

	private void startAgents(int entries, int agents) {
		DatagramSocket socket = this.vertx.createDatagramSocket();
		int nearEntries = (entries + REGIONS - 1) / REGIONS;
		for (int i = 0; i < agents; i++) {
			Address agent = Address.newBuilder().setIp(Ports.LOOPBACK).setPort(4_024 + i).build();
			new ReportingEngine(agent, engine(i), region(i)).start(this.vertx, socket, this.client,
					this.measured.control(), this.measured.internalPort(), entries, nearEntries,
					region(i).equals(region(0)), this.traffic);
		}
	}

	private void startReader(EntryAddresses addresses) throws Exception {
		String text = addresses.settings("reader", List.of(this.measured.control()), this.store.port());
		HostSettings settings = SettingsReader
			.read("reader", text, HostSettings.newBuilder(), HostSettingsValidator.create(true))
			.build();
		GatewayDaemon daemon = await(GatewayDaemon.start(this.vertx, settings, Clock.system(),
				EventLog.create(Clock.system(), settings.getHost())));
		this.closer.add(daemon);
	}

	/**
	 * Writes the settings of the measured entry.
	 * @param file the file
	 * @throws IOException if it cannot be written
	 */
	public void writeSettings(Path file) throws IOException {
		List<Address> seeds = this.controls.subList(0, Math.min(SEEDS, this.controls.size() - 1));
		Files.writeString(file, this.measured.settings("measured", seeds, this.store.port()));
	}

	/**
	 * Sends requests to the measured entry at a constant rate.
	 * @param perSecond requests per second
	 */
	public void startRequests(double perSecond) {
		long intervalMs = Math.max(1, (long) (TimeUnit.SECONDS.toMillis(1) / perSecond));
		long timer = this.vertx.setPeriodic(intervalMs,
				(id) -> TestCaller
					.sendRequest(this.callers, this.measured.front(), "/plain/x", "id-" + this.requests++,
							FakeConfiguration.API_KEY, "body")
					.onSuccess((response) -> this.answers += (response.status() == 200) ? 1 : 0));
		this.closer.add(() -> this.vertx.cancelTimer(timer));
	}

	/**
	 * Returns the number of requests that the measured entry answered with 200.
	 * @return the number
	 */
	public int answers() {
		return this.answers;
	}

	/**
	 * Returns what the measured entry sent and received.
	 * @return the counters
	 */
	public Traffic traffic() {
		return this.traffic;
	}

	private static <T> T await(Future<T> future) throws Exception {
		return future.toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
	}

	@Override
	public void close() throws Exception {
		this.closer.close();
	}

}
