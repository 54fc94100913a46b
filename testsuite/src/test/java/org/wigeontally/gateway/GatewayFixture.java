package org.wigeontally.gateway;

import java.io.IOException;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

import org.wigeontally.eventlog.EventLog;
import org.wigeontally.misc.Clock;
import org.wigeontally.platform.standin.BackendStandIn;
import org.wigeontally.platform.standin.CallerStandIn;
import org.wigeontally.platform.standin.StoreStandIn;
import org.wigeontally.schema.generated.Address;
import org.wigeontally.schema.generated.HostBounds;
import org.wigeontally.schema.generated.HostSettings;
import org.wigeontally.schema.generated.ZonePlace;

/**
 * Entries over real sockets beside a store and backend servers of the test's own.
 */
public final class GatewayFixture implements AutoCloseable {

	static final String KEY = "key-of-org-a";

	private static final long WAIT_MS = 10_000;

	private final Vertx vertx = Vertx.vertx();

	private final StoreStandIn store;

	private final HttpClient client = this.vertx.createHttpClient();

	private final List<GatewayDaemon> entries = new ArrayList<>();

	private final List<HostSettings> settings = new ArrayList<>();

	private int version = 1;

	public GatewayFixture() throws Exception {
		this.store = await(StoreStandIn.start(this.vertx));
	}

	public StoreStandIn store() {
		return this.store;
	}

	public Vertx vertx() {
		return this.vertx;
	}

	public HostSettings settings(int entry) {
		return this.settings.get(entry);
	}

	GatewayDaemon entry(int number) {
		return this.entries.get(number);
	}

	public void startEntry() throws Exception {
		HostSettings.Builder made = HostSettings.newBuilder()
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
				.setGraceS(8)
				.setRetryRatio(0.2)
				.setRetryWindowS(10)
				.setRetrySlack(104)
				.setColdFactor(1.5)
				.setColdSlack(5)
				.setVersionMs(8_000)
				.setDirectoryTtlS(5)
				.setRelayMs(120));
		this.settings.forEach((other) -> made.addSeeds(other.getControl()));
		HostSettings done = made.build();
		this.settings.add(done);
		this.entries.add(await(GatewayDaemon.start(this.vertx, done, Clock.system(),
				EventLog.create(Clock.system(), done.getHost()))));
	}

	public static Address freeAddress() throws IOException {
		try (ServerSocket socket = new ServerSocket(0)) {
			return Address.newBuilder().setIp("127.0.0.1").setPort(socket.getLocalPort()).build();
		}
	}

	BackendStandIn startBackend(String id, String service, String zone, BackendStandIn.Behaviour behaviour)
			throws Exception {
		BackendStandIn backend = await(BackendStandIn.start(this.vertx, id, behaviour));
		this.store.write("servers", id, backend.registration(service, zone, "ready", 1));
		return backend;
	}

	/**
	 * Starts backend servers that crash when they run a certain body.
	 * @param count number of them
	 * @param deadly the body
	 * @return the backend servers
	 */
	List<BackendStandIn> startFragile(int count, String deadly) throws Exception {
		List<BackendStandIn> desks = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			int number = i;
			desks.add(startBackend("desk-" + i, "desk", "zone-a", (arrival, socket) -> {
				if (arrival.body().equals(deadly)) {
					desks.get(number).crash();
					return;
				}
				socket.write(Buffer.buffer(BackendStandIn.success(arrival, "ok")));
			}));
		}
		return desks;
	}

	static long arrivals(List<BackendStandIn> backends, String body) {
		return backends.stream()
			.flatMap((backend) -> backend.arrivals().stream())
			.filter((arrival) -> arrival.body().equals(body))
			.count();
	}

	/**
	 * Returns the figures of an engine that is loaded by its agent.
	 * @param pieces pieces of a version
	 * @param pieceBytes size of a piece
	 * @return the figures
	 */
	public static JsonObject engineWithPieces(int pieces, int pieceBytes) {
		return new JsonObject().put("slots", 16)
			.put("kv-capacity-tokens", 317_000)
			.put("step_ms", 9.27)
			.put("read_per_s", 20_700)
			.put("models", new JsonArray().add(new JsonObject().put("name", "m0")))
			.put("layers", 4)
			.put("chunks", pieces)
			.put("chunk-bytes", pieceBytes);
	}

	/**
	 * Writes the next version of a configuration with plain, once, stream and homed
	 * routes.
	 */
	void configure(String... dropped) {
		JsonArray routes = new JsonArray();
		List<String> left = List.of(dropped);
		for (JsonObject route : List.of(route("plain", "idempotent", "desk").put("max-attempts", 2),
				route("once", "non_idempotent", "desk").put("max-attempts", 1),
				route("events", "streaming", "engines").put("max-attempts", 2).put("resume-streams", true),
				route("homed", "idempotent", "desk").put("allowed-regions", new JsonArray().add("region-b")))) {
			if (!left.contains(route.getString("name"))) {
				routes.add(route);
			}
		}
		JsonObject engine = new JsonObject().put("slots", 16)
			.put("kv-capacity-tokens", 317_000)
			.put("step_ms", 9.27)
			.put("read_per_s", 20_700)
			.put("stride", 5)
			.put("models", new JsonArray().add(new JsonObject().put("name", "m0")))
			.put("usual", new JsonObject().put("prompt", 979).put("answer", 92));
		JsonArray services = new JsonArray().add(new JsonObject().put("name", "desk").put("max-connections", 110))
			.add(new JsonObject().put("name", "engines")
				.put("max-connections", 400)
				.put("warmup-per-s", 360)
				.put("engine", engine));
		JsonArray tenants = new JsonArray().add(new JsonObject().put("name", "org-a")
			.put("api-keys", left.contains(KEY) ? new JsonArray() : new JsonArray().add(KEY))
			.put("priority", 1));
		tenants.add(new JsonObject().put("name", "org-b").put("api-keys", new JsonArray().add("key-of-org-b")));
		this.store.write("op", "config",
				new JsonObject().put("version", this.version++)
					.put("routes", routes)
					.put("services", services)
					.put("tenants", tenants));
	}

	private static JsonObject route(String name, String kind, String service) {
		return new JsonObject().put("name", name)
			.put("host", "h.example")
			.put("path-prefix", "/" + name + "/")
			.put("kind", kind)
			.put("timeout-ms", 1_500)
			.put("target-latency-ms", 200)
			.put("priority", 1)
			.put("service", service);
	}

	CallerStandIn.Answer call(String route) throws Exception {
		return call(0, route, "id-" + System.nanoTime(), KEY, "body");
	}

	CallerStandIn.Answer call(int entry, String route, String id, String key, String body) throws Exception {
		return await(send(entry, route, id, key, body));
	}

	Future<CallerStandIn.Answer> send(int entry, String route, String id, String key, String body) {
		return CallerStandIn.call(this.client, this.settings.get(entry).getFront(), "/" + route + "/x?q=1", id, key,
				body);
	}

	CallerStandIn.Answer get(Address address, String uri) throws Exception {
		return await(this.client.request(HttpMethod.GET, address.getPort(), address.getIp(), uri)
			.compose((request) -> request.send()
				.compose((response) -> response.body()
					.map((bytes) -> new CallerStandIn.Answer(response.statusCode(), bytes.toString(), null, null)))));
	}

	/** Waits until the entry serves a route as the test expects. */
	void awaitStatus(int entry, String route, int status) throws Exception {
		awaitTrue(() -> {
			try {
				return call(entry, route, "probe-" + System.nanoTime(), KEY, "").status() == status;
			}
			catch (Exception ex) {
				return false;
			}
		});
	}

	public static void awaitTrue(BooleanSupplier condition) throws InterruptedException {
		long untilNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(WAIT_MS);
		while (!condition.getAsBoolean()) {
			if (System.nanoTime() > untilNs) {
				throw new AssertionError("condition not met within " + WAIT_MS + " ms");
			}
			Thread.sleep(20);
		}
	}

	public static <T> T await(Future<T> future) throws Exception {
		return future.toCompletionStage().toCompletableFuture().get(WAIT_MS, TimeUnit.MILLISECONDS);
	}

	static BackendStandIn.Behaviour success(String body) {
		return (arrival, socket) -> socket.write(Buffer.buffer(BackendStandIn.success(arrival, body)));
	}

	static BackendStandIn.Behaviour raw(String bytes) {
		return (arrival, socket) -> socket.write(Buffer.buffer(bytes));
	}

	@Override
	public void close() throws Exception {
		for (GatewayDaemon entry : this.entries) {
			entry.close();
		}
		await(this.vertx.close());
	}

}
