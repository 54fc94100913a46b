package org.wigeontally.gateway;

import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.regex.Pattern;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import io.vertx.core.net.NetSocket;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import org.wigeontally.misc.Clock;
import org.wigeontally.platform.standin.FakeBackend;
import org.wigeontally.platform.standin.FakeConfiguration;
import org.wigeontally.platform.standin.TestCaller;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Slots of an engine that two routes of different priorities share, at an entry whose
 * clock stands still from the moment at which the engine is full.
 */
public class RankReservationGatewayTests {

	private static final int SLOTS = 16;

	/**
	 * Longer than the predicted first event with one free slot, 175 ms, and its margin.
	 * Requests that would be late leave more slots free than are reserved by rank.
	 */
	private static final int TARGET_MS = 300;

	/** Key of an organisation without a priority of its own. */
	private static final String KEY = "key-of-org-b";

	private static final Pattern RESERVED = Pattern
		.compile("wigeontally_reserved_slots\\{rank=\"1\",service=\"engines\"} [1-9]");

	private final AtomicReference<NetSocket> heldSocket = new AtomicReference<>();

	private StoppableClock clock;

	private GatewayFixture fixture;

	@BeforeMethod
	public void start() throws Exception {
		this.clock = new StoppableClock();
		this.heldSocket.set(null);
		this.fixture = new GatewayFixture(Vertx.vertx(), this.clock);
		JsonObject configuration = FakeConfiguration.create(1, List.of(), 6_000);
		JsonObject events = configuration.getJsonArray("routes").getJsonObject(2).put("target-latency-ms", TARGET_MS);
		JsonObject urgent = events.copy();
		configuration.getJsonArray("routes")
			.add(urgent.put("name", "urgent").put("path-prefix", "/urgent/").put("priority", 0));
		this.fixture.store().write("op", "config", configuration);
		this.fixture.startBackend("engine-0", "engines", "zone-a", this::respond);
		this.fixture.startEntry();
		this.fixture.awaitStatus(0, "events", 200);
	}

	@AfterMethod(alwaysRun = true)
	public void stop() throws Exception {
		this.fixture.close();
	}

	private void respond(FakeBackend.ReceivedRequest arrival, NetSocket socket) {
		boolean held = arrival.body().equals("held");
		String load = held ? FakeBackend.loadHeader(SLOTS, SLOTS) : "";
		socket.write(FakeBackend.eventStreamHead(arrival, FakeBackend.signatureHeader("s") + load)
				+ FakeBackend.eventChunks(0, 1) + (held ? "" : FakeBackend.LAST_CHUNK));
		if (held) {
			this.heldSocket.set(socket);
		}
	}

	/**
	 * Guards against a free slot that goes to the less urgent route after the urgent one
	 * was refused. The priority of an organisation counts before that of the route.
	 */
	@Test
	public void freeSlotIsKeptForTheUrgentRoute() throws Exception {
		Future<TestCaller.Response> held = send("events", KEY, "held");
		GatewayFixture.awaitTrue(() -> this.heldSocket.get() != null);
		GatewayFixture.awaitTrue(() -> status("urgent", KEY) == 503);
		this.clock.stop();
		assertThat(status("urgent", KEY)).isEqualTo(503);
		this.heldSocket.get().write(FakeBackend.LAST_CHUNK);
		GatewayFixture.await(held);
		assertThat(status("events", KEY)).isEqualTo(503);
		assertThat(status("urgent", GatewayFixture.API_KEY)).isEqualTo(503);
		assertThat(status("urgent", KEY)).isEqualTo(200);
		GatewayFixture.awaitTrue(() -> status("events", KEY) == 503 && RESERVED.matcher(metrics()).find());
		assertThat(metrics())
			.contains("wigeontally_ranked_refusals_total{rank=\"1\",reason=\"engines-full\",service=\"engines\"}");
	}

	private int status(String route, String key) {
		try {
			return GatewayFixture.await(send(route, key, "body")).status();
		}
		catch (Exception ex) {
			return -1;
		}
	}

	private Future<TestCaller.Response> send(String route, String key, String body) {
		return this.fixture.send(0, route, "id-" + System.nanoTime(), key, body);
	}

	private String metrics() {
		try {
			return this.fixture.get(this.fixture.metricsAddress(0), "/metrics").body();
		}
		catch (Exception ex) {
			return "";
		}
	}

	private static final class StoppableClock implements Clock {

		private final AtomicLong stoppedMs = new AtomicLong(-1);

		private void stop() {
			this.stoppedMs.set(Clock.system().monotonicMs());
		}

		@Override
		public long monotonicMs() {
			return (this.stoppedMs.get() >= 0) ? this.stoppedMs.get() : Clock.system().monotonicMs();
		}

		@Override
		public long wallMs() {
			return Clock.system().wallMs();
		}

	}

}
