package org.wigeontally.gateway;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

import org.wigeontally.emulator.experiment.Ports;
import org.wigeontally.eventlog.EventLog;
import org.wigeontally.misc.Clock;
import org.wigeontally.platform.standin.FakeBackend;
import org.wigeontally.platform.standin.FakeConfiguration;
import org.wigeontally.platform.standin.FakeStore;
import org.wigeontally.platform.standin.FakeWeightOrigin;
import org.wigeontally.platform.standin.TestCaller;
import org.wigeontally.schema.generated.Address;
import org.wigeontally.schema.generated.HostBounds;
import org.wigeontally.schema.generated.HostSettings;
import org.wigeontally.schema.generated.ZonePlace;

/**
 * Runs entries over real sockets, with simulated store and backend servers.
 */
public final class GatewayFixture implements AutoCloseable {

	static final String API_KEY = FakeConfiguration.API_KEY;

	private static final long TIMEOUT_MS = 10_000;

	private static final double DEFAULT_GRACE_S = 8;

	private final Vertx vertx;

	private final Clock clock;

	private final FakeStore store;

	private final HttpClient client;

	private final List<GatewayDaemon> entries = new ArrayList<>();

	private final List<HostSettings> settings = new ArrayList<>();

	private int nextConfigurationVersion = 1;

	public GatewayFixture() throws Exception {
		this(Vertx.vertx());
	}

	public GatewayFixture(Vertx vertx) throws Exception {
		this(vertx, Clock.system());
	}

	GatewayFixture(Vertx vertx, Clock clock) throws Exception {
		this.clock = clock;
		this.vertx = vertx;
		this.client = vertx.createHttpClient();
		this.store = await(FakeStore.start(this.vertx));
	}

	public FakeStore store() {
		return this.store;
	}

	public Vertx vertx() {
		return this.vertx;
	}

	public HostSettings settings(int entry) {
		return this.settings.get(entry);
	}

	GatewayDaemon entry(int index) {
		return this.entries.get(index);
	}

	boolean isStoreReader(int index) throws Exception {
		return await(this.entries.get(index).isStoreReader());
	}

	public void startEntry() throws Exception {
		startEntry(this.settings.stream().map(HostSettings::getControl).toList(), HostBounds.getDefaultInstance());
	}

	/** Starts an entry that learns of the others from the store only. */
	void startEntryWithoutSeeds() throws Exception {
		startEntry(List.of(), HostBounds.getDefaultInstance());
	}

	/** Starts an entry that has the given time to end after SIGTERM. */
	void startEntryWithGrace(double graceS) throws Exception {
		startEntry(List.of(), HostBounds.newBuilder().setGraceS(graceS).build());
	}

	/** Starts an entry that requires a version the given time after its announcement. */
	void startEntryWithVersionBound(int versionMs) throws Exception {
		startEntry(List.of(), HostBounds.newBuilder().setVersionMs(versionMs).build());
	}

	/** Starts an entry in zone-b of region-b. */
	void startEntryInOtherRegion() throws Exception {
		startEntry(createSettings(this.settings.stream().map(HostSettings::getControl).toList(),
				HostBounds.getDefaultInstance())
			.setZone("zone-b")
			.setRegion("region-b")
			.build());
	}

	/** Starts an entry that knows no others and reads a given store. */
	void startEntryWithStore(FakeStore otherStore, HostBounds otherBounds) throws Exception {
		startEntry(createSettings(List.of(), otherBounds)
			.setStore(Address.newBuilder().setIp("127.0.0.1").setPort(otherStore.port()))
			.build());
	}

	/** Starts an entry with a given address for callers and port for datagrams. */
	void startEntryAt(Address front, int internalPort) throws Exception {
		startEntry(createSettings(List.of(), HostBounds.getDefaultInstance()).setFront(front)
			.setInternalPort(internalPort)
			.build());
	}

	private void startEntry(List<Address> seeds, HostBounds otherBounds) throws Exception {
		startEntry(createSettings(seeds, otherBounds).build());
	}

	private void startEntry(HostSettings entrySettings) throws Exception {
		GatewayDaemon entry = await(GatewayDaemon.start(this.vertx, entrySettings, this.clock,
				EventLog.create(Clock.system(), entrySettings.getHost())));
		this.settings.add(entrySettings);
		this.entries.add(entry);
	}

	private HostSettings.Builder createSettings(List<Address> seeds, HostBounds otherBounds) throws IOException {
		return HostSettings.newBuilder()
			.setHost("entry-" + this.entries.size())
			.setZone("zone-a")
			.setRegion("region-a")
			.setIp("127.0.0.1")
			.addZones(ZonePlace.newBuilder().setZone("zone-a").setRegion("region-a"))
			.addZones(ZonePlace.newBuilder().setZone("zone-b").setRegion("region-b"))
			.setFront(freeAddress())
			.setReady(freeAddress())
			.setControl(freeAddress())
			.setDirectory(freeAddress())
			.setMetricsPort(freeAddress().getPort())
			.setInternalPort(freeAddress().getPort())
			.setStore(Address.newBuilder().setIp("127.0.0.1").setPort(this.store.port()))
			.setBounds(HostBounds.newBuilder()
				.setGraceS(DEFAULT_GRACE_S)
				.setRetryRatio(0.2)
				.setRetryWindowS(10)
				.setRetrySlack(104)
				.setColdFactor(1.5)
				.setColdSlack(5)
				.setVersionMs(8_000)
				.setDirectoryTtlS(5)
				.setRelayMs(120)
				.setConfigurationMs(2_000)
				.mergeFrom(otherBounds))
			.addAllSeeds(seeds);
	}

	/** Tells an entry of another one, by a reload of its settings. */
	void addEntryAddress(int entry, Address other) {
		this.entries.get(entry).reload(this.settings.get(entry).toBuilder().addSeeds(other).build());
	}

	public static Address freeAddress() throws IOException {
		return Ports.free();
	}

	FakeBackend startBackend(String id, String service, String zone, FakeBackend.Behaviour behaviour) throws Exception {
		FakeBackend backend = await(FakeBackend.start(this.vertx, id, behaviour));
		this.store.write("servers", id, backend.registration(service, zone, "ready", 1));
		return backend;
	}

	/**
	 * Starts backend servers that crash when they receive a given request body.
	 * @param count number of backend servers
	 * @param crashingBody the request body
	 * @return the backend servers
	 */
	List<FakeBackend> startCrashingBackends(int count, String crashingBody) throws Exception {
		List<FakeBackend> backends = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			int number = i;
			backends.add(startBackend("desk-" + i, "desk", "zone-a", (arrival, socket) -> {
				if (arrival.body().equals(crashingBody)) {
					backends.get(number).crash();
					return;
				}
				socket.write(Buffer.buffer(FakeBackend.signedResponse(arrival, "ok")));
			}));
		}
		return backends;
	}

	static long countArrivals(List<FakeBackend> backends, String body) {
		return backends.stream()
			.flatMap((backend) -> backend.receivedRequests().stream())
			.filter((arrival) -> arrival.body().equals(body))
			.count();
	}

	/**
	 * Returns the engine part of a service whose weights are loaded by agents.
	 * @param chunks number of chunks of a version
	 * @param chunkBytes size of a chunk
	 * @return the engine part of the configuration
	 */
	public static JsonObject engineWithChunks(int chunks, int chunkBytes) {
		return new JsonObject().put("slots", 16)
			.put("kv-capacity-tokens", 317_000)
			.put("step_ms", 9.27)
			.put("read_per_s", 20_700)
			.put("models", new JsonArray().add(new JsonObject().put("name", "m0")))
			.put("layers", 4)
			.put("chunks", chunks)
			.put("chunk-bytes", chunkBytes);
	}

	/**
	 * Writes the next version of the configuration, with the routes plain, once, events
	 * and homed.
	 * @param omittedNames names of routes, or the API key, to leave out
	 */
	void writeConfiguration(String... omittedNames) {
		this.store.write("op", "config",
				FakeConfiguration.create(this.nextConfigurationVersion++, List.of(omittedNames)));
	}

	/**
	 * Writes the next version of the configuration with another timeout of all routes.
	 * @param timeoutMs the timeout
	 */
	void writeConfigurationWithTimeout(long timeoutMs) {
		this.store.write("op", "config",
				FakeConfiguration.create(this.nextConfigurationVersion++, List.of(), timeoutMs));
	}

	/**
	 * Writes a configuration without routes, of engines whose weights come from an
	 * origin.
	 * @param originPort port of the origin
	 * @param maxConnections connections that the origin accepts
	 */
	public void writeEngineConfiguration(int originPort, int maxConnections) {
		JsonObject engine = engineWithChunks(FakeWeightOrigin.CHUNKS, FakeWeightOrigin.CHUNK_BYTES);
		JsonArray services = new JsonArray()
			.add(new JsonObject().put("name", "engines").put("max-connections", 400).put("engine", engine))
			.add(new JsonObject().put("name", "weights")
				.put("origin", "127.0.0.1:" + originPort)
				.put("zone", "zone-a")
				.put("max-connections", maxConnections));
		this.store.write("op", "config",
				new JsonObject().put("version", 1).put("routes", new JsonArray()).put("services", services));
	}

	/**
	 * Announces a version of the weights of model m0.
	 * @param version the version
	 */
	public void announceVersion(long version) {
		this.store.write("op", "version/m0", new JsonObject().put("model", "m0").put("version", version));
	}

	/**
	 * Writes the next version of the configuration with other organisations.
	 * @param organisations the organisations; null to leave the field out
	 */
	void writeOrganisations(JsonArray organisations) {
		JsonObject configuration = FakeConfiguration.create(this.nextConfigurationVersion++, List.of());
		configuration.remove("tenants");
		if (organisations != null) {
			configuration.put("tenants", organisations);
		}
		this.store.write("op", "config", configuration);
	}

	TestCaller.Response call(String route) throws Exception {
		return call(0, route, "id-" + System.nanoTime(), API_KEY, "body");
	}

	TestCaller.Response call(int entry, String route, String id, String key, String body) throws Exception {
		return await(send(entry, route, id, key, body));
	}

	TestCaller.Response callWithParts(int entry, String route, String id, String promptParts) throws Exception {
		return await(sendWithParts(entry, route, id, promptParts));
	}

	Future<TestCaller.Response> sendWithParts(int entry, String route, String id, String promptParts) {
		return TestCaller.sendRequest(this.client, this.settings.get(entry).getFront(), "/" + route + "/x", id, API_KEY,
				promptParts, "body of " + id);
	}

	Future<TestCaller.Response> send(int entry, String route, String id, String key, String body) {
		return TestCaller.sendRequest(this.client, this.settings.get(entry).getFront(), "/" + route + "/x?q=1", id, key,
				body);
	}

	/** Drains an entry as after SIGTERM; it has ended when the result completes. */
	Future<Void> terminate(int entry) {
		GatewayDaemon daemon = this.entries.get(entry);
		return daemon.drain().compose((inFlight) -> {
			try {
				daemon.close();
				return Future.succeededFuture();
			}
			catch (Exception ex) {
				return Future.failedFuture(ex);
			}
		});
	}

	/** Ends all entries at once, as a loss of power does. */
	void stopEntries() throws Exception {
		for (GatewayDaemon entry : this.entries) {
			entry.close();
		}
		this.entries.clear();
		this.settings.clear();
	}

	Address metricsAddress(int entry) {
		return Address.newBuilder().setIp("127.0.0.1").setPort(this.settings.get(entry).getMetricsPort()).build();
	}

	int delete(Address address, String uri) throws Exception {
		return await(this.client.request(HttpMethod.DELETE, address.getPort(), address.getIp(), uri)
			.compose((request) -> request.send().map(HttpClientResponse::statusCode)));
	}

	TestCaller.Response get(Address address, String uri) throws Exception {
		return await(this.client.request(HttpMethod.GET, address.getPort(), address.getIp(), uri)
			.compose((request) -> request.send()
				.compose((response) -> response.body()
					.map((bytes) -> new TestCaller.Response(response.statusCode(), bytes.toString(), null, null)))));
	}

	/**
	 * Starts two backend servers and an entry that knows both.
	 * @param service service that they run
	 * @param first responds to the first request, whichever of them gets it
	 * @param later responds to all later ones
	 */
	void startPair(String service, FakeBackend.Behaviour first, FakeBackend.Behaviour later) throws Exception {
		AtomicInteger arrivals = new AtomicInteger();
		for (int number = 0; number < 2; number++) {
			startBackend("backend-" + number, service, "zone-a",
					(arrival, socket) -> ((arrivals.getAndIncrement() == 0) ? first : later).respond(arrival, socket));
		}
		startEntry();
		awaitReady(0);
	}

	void later(long delayMs, Runnable action) {
		this.vertx.setTimer(delayMs, (id) -> action.run());
	}

	/**
	 * Waits until the entry takes callers, without sending a request to a backend server.
	 */
	void awaitReady(int entry) throws InterruptedException {
		awaitTrue(() -> {
			try {
				return get(this.settings.get(entry).getReady(), TestCaller.READINESS_PATH).status() == 200;
			}
			catch (Exception ex) {
				return false;
			}
		});
	}

	/** Waits until the entry answers requests on a route with the given status. */
	void awaitStatus(int entry, String route, int status) throws Exception {
		awaitTrue(() -> {
			try {
				return call(entry, route, "probe-" + System.nanoTime(), API_KEY, "").status() == status;
			}
			catch (Exception ex) {
				return false;
			}
		});
	}

	public static void awaitTrue(BooleanSupplier condition) throws InterruptedException {
		long deadlineNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MS);
		while (!condition.getAsBoolean()) {
			if (System.nanoTime() > deadlineNs) {
				throw new AssertionError("condition not met within " + TIMEOUT_MS + " ms");
			}
			Thread.sleep(20);
		}
	}

	public static <T> T await(Future<T> future) throws Exception {
		return future.toCompletionStage().toCompletableFuture().get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
	}

	static FakeBackend.Behaviour respondWithSuccess(String body) {
		return (arrival, socket) -> socket.write(Buffer.buffer(FakeBackend.signedResponse(arrival, body)));
	}

	static FakeBackend.Behaviour respondWithBytes(String bytes) {
		return (arrival, socket) -> socket.write(Buffer.buffer(bytes));
	}

	@Override
	public void close() throws Exception {
		stopEntries();
		await(this.vertx.close());
	}

}
