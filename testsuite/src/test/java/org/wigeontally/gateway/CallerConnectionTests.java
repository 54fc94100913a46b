package org.wigeontally.gateway;

import java.net.Socket;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.JsonObject;
import io.vertx.core.net.NetServer;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import org.wigeontally.platform.standin.FakeBackend;
import org.wigeontally.platform.standin.FakeConfiguration;
import org.wigeontally.schema.generated.Address;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * When an entry closes the connections of callers. All of it runs on one event loop, so
 * that a test can hold up the entry.
 */
public class CallerConnectionTests {

	private static final long HOLD_UP_MS = 800;

	private static final long MEBIBYTE = 1 << 20;

	private GatewayFixture fixture;

	private FakeBackend backend;

	private int nextConfigurationVersion = 1;

	@BeforeMethod
	public void start() throws Exception {
		this.fixture = new GatewayFixture(Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1)));
		this.backend = this.fixture.startBackend("desk-1", "desk", "zone-a", GatewayFixture.respondWithSuccess("ok"));
	}

	@AfterMethod(alwaysRun = true)
	public void stop() throws Exception {
		this.fixture.close();
	}

	private void writeLimits(long headerTimeoutMs, long idleTimeoutMs) {
		this.fixture.store()
			.write("op", "config",
					FakeConfiguration.create(this.nextConfigurationVersion++, List.of())
						.put("limits",
								new JsonObject().put("max-body-bytes", 2 * MEBIBYTE)
									.put("header-timeout-ms", headerTimeoutMs)
									.put("idle-timeout-ms", idleTimeoutMs)));
	}

	private void startEntry(long headerTimeoutMs, long idleTimeoutMs) throws Exception {
		writeLimits(headerTimeoutMs, idleTimeoutMs);
		this.fixture.startEntry();
		this.fixture.awaitStatus(0, "plain", 200);
	}

	private KeptConnection connect() throws Exception {
		return KeptConnection.open(front());
	}

	private Address front() {
		return this.fixture.settings(0).getFront();
	}

	/**
	 * Guards against closing a connection as idle although its request has arrived. The
	 * loop is held up while it reads another socket, as by a large record of the store.
	 */
	@Test
	public void requestThatArrivesWhileTheLoopIsHeldUpIsAnswered() throws Exception {
		startEntry(1_000, 1_000);
		CountDownLatch heldUp = new CountDownLatch(1);
		NetServer slowReader = GatewayFixture
			.await(this.fixture.vertx().createNetServer().connectHandler((socket) -> socket.handler((bytes) -> {
				heldUp.countDown();
				sleep(HOLD_UP_MS);
			})).listen(0, "127.0.0.1"));
		try (KeptConnection connection = connect(); Socket trigger = new Socket("127.0.0.1", slowReader.actualPort())) {
			assertThat(connection.call("plain", "first")).isEqualTo(200);
			Thread.sleep(400);
			trigger.getOutputStream().write(1);
			heldUp.await(1, TimeUnit.SECONDS);
			Thread.sleep(300);
			assertThat(connection.call("plain", "second")).isEqualTo(200);
		}
	}

	/** Guards against a lower idle limit that closes connections which callers use. */
	@Test
	public void lowerIdleLimitDoesNotApplyToConnectionsOpenedBefore() throws Exception {
		startEntry(1_000, 3_000);
		try (KeptConnection connection = connect()) {
			assertThat(connection.call("plain", "first")).isEqualTo(200);
			writeLimits(1_000, 1_000);
			Thread.sleep(2_000);
			assertThat(connection.call("plain", "second")).isEqualTo(200);
		}
	}

	/** Guards against an idle limit that no connection is ever closed by. */
	@Test
	public void idleConnectionIsClosed() throws Exception {
		startEntry(1_000, 500);
		try (KeptConnection connection = connect()) {
			assertThat(connection.call("plain", "first")).isEqualTo(200);
			long idleSinceNs = System.nanoTime();
			assertThat(connection.readStatus()).isEqualTo(KeptConnection.NO_ANSWER);
			assertThat((System.nanoTime() - idleSinceNs) / 1_000_000).isBetween(400L, 2_000L);
		}
	}

	/** Guards against a connection that counts as idle while it has a second request. */
	@Test
	public void pipelinedRequestIsAnsweredAfterTheIdleLimit() throws Exception {
		startEntry(1_000, 200);
		this.backend.setBehaviour((arrival, socket) -> this.fixture.vertx()
			.setTimer(arrival.attemptId().equals("second") ? 700 : 1,
					(id) -> socket.write(Buffer.buffer(FakeBackend.signedResponse(arrival, "ok")))));
		try (KeptConnection connection = connect()) {
			connection.send(KeptConnection.request("plain", "first") + KeptConnection.request("plain", "second"));
			assertThat(connection.readStatus()).isEqualTo(200);
			assertThat(connection.readStatus()).isEqualTo(200);
		}
	}

	/** Guards against counting the time as idle in which a slow caller reads. */
	@Test
	public void callerMayReuseAConnectionThatItHasJustReadTo() throws Exception {
		startEntry(1_000, 300);
		String large = "x".repeat((int) (7 * MEBIBYTE));
		this.backend.setBehaviour((arrival, socket) -> socket.write(
				Buffer.buffer(FakeBackend.signedResponse(arrival, arrival.attemptId().equals("large") ? large : ""))));
		try (KeptConnection connection = connect()) {
			connection.send(KeptConnection.request("plain", "large"));
			Thread.sleep(1_200);
			assertThat(connection.readStatus()).isEqualTo(200);
			assertThat(connection.call("plain", "next")).isEqualTo(200);
		}
	}

	/** Guards against a head that holds its connection without end. */
	@Test
	public void headThatDoesNotEndIsRefused() throws Exception {
		startEntry(400, 10_000);
		try (KeptConnection connection = connect()) {
			assertThat(connection.call("plain", "first")).isEqualTo(200);
			Thread.sleep(600);
			long startNs = System.nanoTime();
			connection.send(KeptConnection.request("plain", "second").substring(0, 30));
			assertThat(connection.readStatus()).isEqualTo(408);
			assertThat((System.nanoTime() - startNs) / 1_000_000).isBetween(300L, 1_500L);
			assertThat(connection.isClosing()).isTrue();
			assertThat(connection.readStatus()).isEqualTo(KeptConnection.NO_ANSWER);
		}
	}

	/**
	 * Guards against a change of the limits that cuts a body which was allowed before.
	 */
	@Test
	public void bodyThatIsStillComingWhenTheLimitsShrinkIsTaken() throws Exception {
		startEntry(1_000, 1_000);
		String body = "y".repeat(100_000);
		try (KeptConnection connection = connect()) {
			connection.send(KeptConnection.headOf("long", body.length(), "Expect: 100-continue\r\n"));
			// The head has been read.
			assertThat(connection.readStatus()).isEqualTo(100);
			this.fixture.store()
				.write("op", "config",
						FakeConfiguration.create(this.nextConfigurationVersion++, List.of())
							.put("limits",
									new JsonObject().put("max-body-bytes", 10)
										.put("header-timeout-ms", 100)
										.put("idle-timeout-ms", 100)));
			Thread.sleep(500);
			connection.send(body);
			assertThat(connection.readStatus()).isEqualTo(200);
		}
	}

	/** Guards against serving a request on a connection that is about to be closed. */
	@Test
	public void requestBehindARefusalThatClosesIsNotPassedOn() throws Exception {
		startEntry(1_000, 1_000);
		this.backend.setBehaviour((arrival, socket) -> this.fixture.vertx()
			.setTimer(700, (id) -> socket.write(Buffer.buffer(FakeBackend.signedResponse(arrival, "ok")))));
		try (KeptConnection connection = connect()) {
			String body = "z".repeat((int) (3 * MEBIBYTE));
			connection.send(KeptConnection.headOf("large", body.length(), "") + body
					+ KeptConnection.request("plain", "behind"));
			assertThat(connection.readStatus()).isEqualTo(413);
			assertThat(connection.isClosing()).isTrue();
			assertThat(connection.readStatus()).isEqualTo(KeptConnection.NO_ANSWER);
		}
		assertThat(this.backend.receivedRequests().stream().map(FakeBackend.ReceivedRequest::attemptId))
			.doesNotContain("behind");
	}

	/** Guards against a refusal that is lost because its caller is still sending. */
	@Test
	public void callerThatIsStillSendingItsBodyReadsTheRefusal() throws Exception {
		startEntry(1_000, 1_000);
		try (KeptConnection connection = connect()) {
			connection.send(KeptConnection.headOf("large", (int) (3 * MEBIBYTE), ""));
			for (int sent = 0; sent < 12; sent++) {
				Thread.sleep(100);
				connection.send("z".repeat((int) (MEBIBYTE / 4)));
			}
			assertThat(connection.readStatus()).isEqualTo(413);
		}
	}

	private static void sleep(long timeMs) {
		try {
			Thread.sleep(timeMs);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
