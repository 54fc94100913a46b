package org.wigeontally.gateway;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.core.net.NetSocket;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import org.wigeontally.platform.standin.FakeBackend;
import org.wigeontally.platform.standin.FakeConfiguration;
import org.wigeontally.platform.standin.TestCaller;
import org.wigeontally.schema.generated.Address;
import org.wigeontally.schema.generated.EngineStatus;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Requests that wait at a running entry for the only slot of an engine, which a request
 * holds that the engine answers when the test says so.
 */
public class QueuedPlacementTests {

	private static final long TARGET_MS = 2_000;

	private static final long TIMEOUT_MS = 4_000;

	/** A caller that waits for an eighth of its target loses nothing. */
	private static final long AT_ONCE_MS = TARGET_MS / 8;

	/** Time after which a request that was sent has reached the queue or the engine. */
	private static final long ARRIVAL_MS = 150;

	private final List<Runnable> heldAnswers = new CopyOnWriteArrayList<>();

	private FailingClock clock;

	private GatewayFixture fixture;

	private FakeBackend engine;

	@BeforeMethod
	public void start() throws Exception {
		this.heldAnswers.clear();
		this.clock = FailingClock.create();
		this.fixture = new GatewayFixture(Vertx.vertx(), this.clock);
	}

	@AfterMethod(alwaysRun = true)
	public void stop() throws Exception {
		this.fixture.close();
	}

	private void startWithFullEngine(boolean ranked, double graceS) throws Exception {
		startWithIdleEngine(ranked, graceS);
		send("held");
		GatewayFixture.awaitTrue(() -> this.heldAnswers.size() == 1);
	}

	private void startWithIdleEngine(boolean ranked, double graceS) throws Exception {
		this.fixture.store().write("op", "config", createConfiguration(ranked));
		this.engine = this.fixture.startBackend("engine-1", "engines", "zone-a", this::respond);
		this.fixture.startEntryWithGrace(graceS);
		this.fixture.awaitStatus(0, "events", 200);
		// Placements show the entry how often it finds a slot.
		for (int i = 0; i < 10; i++) {
			assertThat(call("quick-" + i).status()).isEqualTo(200);
		}
	}

	private static JsonObject createConfiguration(boolean ranked) {
		JsonObject configuration = FakeConfiguration.create(1, List.of(), TIMEOUT_MS);
		JsonArray routes = configuration.getJsonArray("routes");
		JsonObject events = (JsonObject) routes.stream()
			.filter((route) -> ((JsonObject) route).getString("name").equals("events"))
			.findFirst()
			.orElseThrow();
		events.put("target-latency-ms", TARGET_MS);
		if (ranked) {
			routes.add(events.copy().put("name", "urgent").put("path-prefix", "/urgent/").put("priority", 0));
		}
		configuration.getJsonArray("services").getJsonObject(1).getJsonObject("engine").put("slots", 1);
		return configuration;
	}

	private void respond(FakeBackend.ReceivedRequest arrival, NetSocket socket) {
		Runnable answer = () -> socket
			.write(Buffer.buffer(FakeBackend.partialEventStream(arrival, "s", 0, 3) + FakeBackend.LAST_CHUNK));
		if (arrival.attemptId().equals("held")) {
			this.heldAnswers.add(answer);
		}
		else {
			answer.run();
		}
	}

	private Future<TestCaller.Response> send(String id) {
		return this.fixture.send(0, "events", id, GatewayFixture.API_KEY, "body");
	}

	private TestCaller.Response call(String id) throws Exception {
		return GatewayFixture.await(send(id));
	}

	private boolean hasArrived(String id) {
		return this.engine.receivedRequests().stream().anyMatch((arrival) -> arrival.attemptId().equals(id));
	}

	private long countWaits(String outcome) throws Exception {
		String metrics = this.fixture.get(this.fixture.metricsAddress(0), "/metrics").body();
		return metrics.lines()
			.filter((line) -> line.startsWith("wigeontally_waits_total") && line.contains("\"" + outcome + "\""))
			.mapToLong((line) -> (long) Double.parseDouble(line.substring(line.lastIndexOf(' ') + 1)))
			.sum();
	}

	/** Guards against a request that is refused although a slot becomes free in time. */
	@Test
	public void requestThatWaitsIsPlacedWhenASlotFrees() throws Exception {
		startWithFullEngine(true, 8);
		Future<TestCaller.Response> waiting = send("waiting");
		Thread.sleep(ARRIVAL_MS);
		assertThat(waiting.isComplete()).isFalse();
		assertThat(hasArrived("waiting")).isFalse();
		this.heldAnswers.get(0).run();
		assertThat(GatewayFixture.await(waiting).status()).isEqualTo(200);
		assertThat(countWaits("placed")).isEqualTo(1);
	}

	/**
	 * Guards against a slot that a request of another entry leaves, and that an agent's
	 * report shows.
	 */
	@Test
	public void requestThatWaitsIsPlacedWhenAReportShowsASlot() throws Exception {
		startWithIdleEngine(true, 8);
		sendReport(1, 1);
		Thread.sleep(ARRIVAL_MS);
		Future<TestCaller.Response> waiting = send("waiting");
		Thread.sleep(ARRIVAL_MS);
		assertThat(hasArrived("waiting")).isFalse();
		long reportedAtNs = System.nanoTime();
		sendReport(2, 0);
		assertThat(GatewayFixture.await(waiting).status()).isEqualTo(200);
		assertThat((System.nanoTime() - reportedAtNs) / 1_000_000).isLessThan(AT_ONCE_MS);
	}

	private void sendReport(long sequence, int active) throws Exception {
		EngineStatus status = EngineStatus.newBuilder()
			.setAgent(GatewayFixture.freeAddress())
			.setBackend(Address.newBuilder().setIp("127.0.0.1").setPort(this.engine.port()))
			.setIncarnation(1)
			.setSequence(sequence)
			.setReachable(true)
			.setLoadedVersion(1)
			.setActive(active)
			.build();
		GatewayFixture.await(this.fixture.vertx()
			.createDatagramSocket()
			.send(Buffer.buffer(status.toByteArray()), this.fixture.settings(0).getInternalPort(), "127.0.0.1"));
	}

	/** Guards against engines that start while requests wait and get none of them. */
	@Test
	public void requestThatWaitsIsPlacedAtAnEngineThatAppears() throws Exception {
		startWithFullEngine(true, 8);
		Future<TestCaller.Response> waiting = send("waiting");
		this.fixture.startBackend("engine-2", "engines", "zone-a", this::respond);
		assertThat(GatewayFixture.await(waiting).status()).isEqualTo(200);
		assertThat(hasArrived("waiting")).isFalse();
	}

	/** Guards against requests that wait until their target is missed or longer. */
	@Test
	public void requestThatGetsNoSlotIsRefusedInTime() throws Exception {
		startWithFullEngine(true, 8);
		long sentAtNs = System.nanoTime();
		TestCaller.Response refusal = call("waiting");
		long heldMs = (System.nanoTime() - sentAtNs) / 1_000_000;
		assertThat(refusal.status()).isEqualTo(503);
		assertThat(Double.parseDouble(refusal.retryAfter())).isGreaterThan(0);
		// The only slot is held, so the chance ends long before the target.
		assertThat(heldMs).isBetween(AT_ONCE_MS, TARGET_MS * 4 / 5);
		assertThat(countWaits("refused")).isEqualTo(1);
		this.heldAnswers.get(0).run();
		assertThat(call("later").status()).isEqualTo(200);
		assertThat(hasArrived("waiting")).isFalse();
	}

	/** Guards against requests that are sent although nobody waits for the answer. */
	@Test
	public void requestOfACallerThatLeftIsNotSent() throws Exception {
		startWithFullEngine(true, 8);
		try (KeptConnection connection = KeptConnection.open(this.fixture.settings(0).getFront())) {
			connection.send(KeptConnection.request("events", "waiting"));
			Thread.sleep(ARRIVAL_MS);
		}
		GatewayFixture.awaitTrue(() -> hasWaited("ended"));
		this.heldAnswers.get(0).run();
		assertThat(call("later").status()).isEqualTo(200);
		assertThat(hasArrived("waiting")).isFalse();
	}

	private boolean hasWaited(String outcome) {
		try {
			return countWaits(outcome) == 1;
		}
		catch (Exception ex) {
			return false;
		}
	}

	/**
	 * Guards against a request that begins at an engine when the entry is about to end,
	 * and against one that gets no answer from it.
	 */
	@Test
	public void requestThatWaitsIsRefusedWhenTheEntryDrains() throws Exception {
		startWithFullEngine(true, 2);
		Future<TestCaller.Response> waiting = send("waiting");
		Thread.sleep(ARRIVAL_MS);
		Future<Void> ended = this.fixture.terminate(0);
		this.heldAnswers.get(0).run();
		assertThat(GatewayFixture.await(waiting).status()).isEqualTo(503);
		assertThat(hasArrived("waiting")).isFalse();
		GatewayFixture.await(ended);
	}

	/** Guards against a fault in the placement of one request that stops the others. */
	@Test
	public void oneRequestThatWaitsFailsIfItsPlacementFails() throws Exception {
		startWithFullEngine(true, 8);
		List<Future<TestCaller.Response>> waiting = List.of(send("first"), send("second"));
		Thread.sleep(ARRIVAL_MS);
		this.clock.failIn(RequestPlacer.class, "placeWaiting");
		GatewayFixture.awaitTrue(this.clock::hasFailed);
		this.heldAnswers.get(0).run();
		assertThat(
				List.of(GatewayFixture.await(waiting.get(0)).status(), GatewayFixture.await(waiting.get(1)).status()))
			.containsExactlyInAnyOrder(200, 503);
	}

	/** Guards against requests without an answer after a fault of the queue itself. */
	@Test
	public void requestsThatWaitAreRefusedIfTheQueueFails() throws Exception {
		startWithFullEngine(true, 8);
		List<Future<TestCaller.Response>> waiting = List.of(send("first"), send("second"));
		Thread.sleep(ARRIVAL_MS);
		long failedAtNs = System.nanoTime();
		this.clock.failIn(ServiceQueue.class, "wake");
		assertThat(GatewayFixture.await(waiting.get(0)).status()).isEqualTo(503);
		assertThat(GatewayFixture.await(waiting.get(1)).status()).isEqualTo(503);
		assertThat((System.nanoTime() - failedAtNs) / 1_000_000).isLessThan(AT_ONCE_MS);
	}

	/** Guards against waits at services whose streams all have the same priority. */
	@Test
	public void requestOfAServiceThatIsNotRankedIsRefusedAtOnce() throws Exception {
		startWithFullEngine(false, 8);
		long sentAtNs = System.nanoTime();
		assertThat(call("refused").status()).isEqualTo(503);
		assertThat((System.nanoTime() - sentAtNs) / 1_000_000).isLessThan(AT_ONCE_MS);
		assertThat(this.fixture.get(this.fixture.metricsAddress(0), "/metrics").body())
			.doesNotContain("wigeontally_waits_total{");
	}

}
