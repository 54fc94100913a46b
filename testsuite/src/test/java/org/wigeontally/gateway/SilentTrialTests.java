package org.wigeontally.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Pattern;

import io.vertx.core.Future;
import io.vertx.core.http.HttpClient;
import io.vertx.core.net.NetSocket;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import org.wigeontally.platform.standin.FakeBackend;
import org.wigeontally.platform.standin.FakeConfiguration;
import org.wigeontally.platform.standin.TestCaller;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * A request on trial for a part of its prompt whose engine is silent.
 */
public class SilentTrialTests {

	private static final long TIMEOUT_MS = 6_000;

	private static final long SILENCE_MS = 2_500;

	private static final String PART = "bad0";

	private static final Pattern CRASHES = Pattern.compile("wigeontally_backend_crashes_total\\{[^}]*\\} 2");

	private final List<FakeBackend> engines = new ArrayList<>();

	private GatewayFixture fixture;

	private HttpClient client;

	@BeforeMethod
	public void start() throws Exception {
		this.engines.clear();
		this.fixture = new GatewayFixture();
		this.client = this.fixture.vertx().createHttpClient();
		this.fixture.store().write("op", "config", FakeConfiguration.create(1, List.of(), TIMEOUT_MS));
	}

	@AfterMethod(alwaysRun = true)
	public void stop() throws Exception {
		this.fixture.close();
	}

	// A request on trial was given up, since its engine was silent.
	@Test
	public void silentTrialIsAnsweredAndHarmless() throws Exception {
		AtomicInteger arrivals = new AtomicInteger();
		startEngines((engine, arrival, socket) -> {
			int number = isSuspected(arrival) ? arrivals.incrementAndGet() : 0;
			if (number == 1 || number == 2) {
				EngineCrash.BEFORE_THE_HEAD.strike(engine, arrival, socket);
				return;
			}
			if (number == 3) {
				fallSilent(engine);
			}
			engine.silence()
				.whenOver(() -> socket
					.write(FakeBackend.partialEventStream(arrival, "s", 0, 4) + FakeBackend.LAST_CHUNK));
		});
		this.fixture.startEntry();
		this.fixture.awaitStatus(0, "events", 200);
		assertThat(GatewayFixture.await(send("crashes")).status()).isEqualTo(502);
		GatewayFixture.awaitTrue(this::knowsBothCrashes);
		Future<TestCaller.Response> trial = send("trial");
		GatewayFixture.awaitTrue(() -> arrivals.get() == 3);
		assertThat(GatewayFixture.await(send("other")).status()).isEqualTo(503);
		TestCaller.Response answer = GatewayFixture.await(trial);
		assertThat(answer.status()).isEqualTo(200);
		assertThat(answer.body()).endsWith("data: e3\n\n");
		assertThat(GatewayFixture.await(send("later")).status()).isEqualTo(200);
	}

	private boolean knowsBothCrashes() {
		try {
			return CRASHES.matcher(this.fixture.get(this.fixture.metricsAddress(0), "/metrics").body()).find();
		}
		catch (Exception ex) {
			return false;
		}
	}

	private void fallSilent(FakeBackend engine) {
		engine.silence().begin();
		this.fixture.vertx().setTimer(SILENCE_MS, (id) -> engine.silence().end());
	}

	private static boolean isSuspected(FakeBackend.ReceivedRequest arrival) {
		return arrival.headers().getOrDefault("x-prompt-prefix", "").contains(PART);
	}

	private Future<TestCaller.Response> send(String id) {
		return TestCaller.sendRequest(this.client, this.fixture.settings(0).getFront(), "/events/x", id,
				GatewayFixture.API_KEY, PART + ":200," + Integer.toHexString(id.hashCode()) + ":90", "body of " + id,
				TIMEOUT_MS);
	}

	private void startEngines(EngineBehaviour behaviour) throws Exception {
		for (int i = 0; i < 5; i++) {
			int number = i;
			this.engines.add(this.fixture.startBackend("engine-" + i, "engines", "zone-a",
					(arrival, socket) -> behaviour.respond(this.engines.get(number), arrival, socket)));
		}
	}

	/** Responds to the requests that an engine receives. */
	@FunctionalInterface
	private interface EngineBehaviour {

		void respond(FakeBackend engine, FakeBackend.ReceivedRequest arrival, NetSocket socket);

	}

}
