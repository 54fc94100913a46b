package org.wigeontally.gateway;

import io.vertx.core.buffer.Buffer;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import org.wigeontally.platform.standin.FakeBackend;
import org.wigeontally.schema.generated.Address;
import org.wigeontally.schema.generated.EngineStatus;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against requests on weights that an agent has found wrong, after that agent has
 * ended: the registration names the version, and the next agent takes it for proven. The
 * test fails if an entry forgets what an agent has disproven.
 */
public class DisprovenWeightsTests {

	/** Longer than a report counts. */
	private static final long REPORT_EXPIRY_MS = 1_300;

	/** Start of the engine's process, as it registers it. */
	private static final long ENGINE_START_MS = 1;

	private GatewayFixture fixture;

	private FakeBackend engine;

	private long sequence;

	@BeforeMethod
	public void start() throws Exception {
		this.fixture = new GatewayFixture();
		this.fixture.writeConfiguration();
		this.engine = this.fixture.startBackend("engine-1", "engines", "zone-a", (arrival, socket) -> socket
			.write(FakeBackend.partialEventStream(arrival, "s1", 0, 3) + FakeBackend.LAST_CHUNK));
		this.fixture.startEntry();
		this.fixture.awaitStatus(0, "events", 200);
	}

	@AfterMethod(alwaysRun = true)
	public void stop() throws Exception {
		this.fixture.close();
	}

	@Test
	public void engineWithWrongWeightsGetsNothingUntilItHasLoadedOthers() throws Exception {
		report(report(1).setStartedOrders(2).setDisprovenOrders(2));
		this.fixture.awaitStatus(0, "events", 503);
		int arrivals = this.engine.receivedRequests().size();
		Thread.sleep(REPORT_EXPIRY_MS);
		assertThat(this.fixture.call("events").status()).as("without an agent").isEqualTo(503);
		report(report(2).setStartedOrders(2).setLoadedVersion(1));
		Thread.sleep(100);
		assertThat(this.fixture.call("events").status()).as("next agent").isEqualTo(503);
		assertThat(this.engine.receivedRequests()).hasSize(arrivals);
		report(report(2).setStartedOrders(3).setLoadedVersion(1));
		this.fixture.awaitStatus(0, "events", 200);
	}

	private EngineStatus.Builder report(long incarnation) throws Exception {
		return EngineStatus.newBuilder()
			.setAgent(GatewayFixture.freeAddress())
			.setBackend(Address.newBuilder().setIp("127.0.0.1").setPort(this.engine.port()))
			.setIncarnation(incarnation)
			.setSequence(++this.sequence)
			.setReachable(true)
			.setEngineBorn(ENGINE_START_MS);
	}

	private void report(EngineStatus.Builder status) throws Exception {
		GatewayFixture.await(this.fixture.vertx()
			.createDatagramSocket()
			.send(Buffer.buffer(status.build().toByteArray()), this.fixture.settings(0).getInternalPort(),
					"127.0.0.1"));
	}

}
