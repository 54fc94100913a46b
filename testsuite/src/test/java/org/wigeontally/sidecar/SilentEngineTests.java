package org.wigeontally.sidecar;

import java.util.Arrays;
import java.util.List;

import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import org.wigeontally.gateway.GatewayFixture;
import org.wigeontally.placement.BackendLoad;
import org.wigeontally.platform.standin.FakeEngine;
import org.wigeontally.platform.standin.FakeWeightOrigin;
import org.wigeontally.schema.generated.EngineStatus;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests the agent of a sound engine that falls silent for a second or two and goes on.
 */
public class SilentEngineTests {

	private static final long SILENCE_MS = 1_500;

	private static final long LONG_SILENCE_MS = 2_500;

	private GatewayFixture fixture;

	private FakeWeightOrigin origin;

	private FakeEngine engine;

	private ReportingAgent agent;

	@BeforeMethod
	public void start() throws Exception {
		this.fixture = new GatewayFixture();
		this.origin = GatewayFixture.await(FakeWeightOrigin.start(this.fixture.vertx()));
		this.fixture.writeEngineConfiguration(this.origin.port(), 48);
		this.fixture.startEntry();
		this.engine = GatewayFixture.await(FakeEngine.start(this.fixture.vertx(), 1));
	}

	@AfterMethod(alwaysRun = true)
	public void stop() throws Exception {
		this.agent.close();
		this.fixture.close();
		assertThat(this.engine.violations()).isEmpty();
	}

	/** An entry takes an engine without recent reports for one whose host is gone. */
	@Test
	public void reportsGoOnWhileTheEngineIsSilent() throws Exception {
		this.agent = ReportingAgent.start(this.fixture, this.engine);
		int before = this.agent.reports().size();
		this.engine.fallSilent(LONG_SILENCE_MS);
		Thread.sleep(LONG_SILENCE_MS);
		List<ReportingAgent.Report> all = List.copyOf(this.agent.reports());
		List<ReportingAgent.Report> during = all.subList(before - 1, all.size());
		long longestGapMs = 0;
		for (int i = 1; i < during.size(); i++) {
			longestGapMs = Math.max(longestGapMs, during.get(i).atMs() - during.get(i - 1).atMs());
		}
		assertThat(longestGapMs).isLessThan(BackendLoad.MAX_REPORT_AGE_MS);
		assertThat(during).allMatch((report) -> report.status().getReachable());
	}

	/** The engine accepts the order after the agent's call has timed out. */
	@Test
	public void loadOrderAcceptedLateIsSentOnce() throws Exception {
		this.agent = ReportingAgent.start(this.fixture, this.engine);
		this.engine.fallSilentOnOrder(SILENCE_MS);
		this.fixture.announceVersion(2);
		awaitLoaded(2);
		// Longer than the agent takes for another order.
		Thread.sleep(SILENCE_MS);
		assertThat(this.engine.receivedOrders()).isEqualTo(1);
	}

	/** Entries would send requests to an engine that may accept the order any moment. */
	@Test
	public void noticeOfALoadLastsWhileItsOrderMayBeAcceptedLate() throws Exception {
		this.agent = ReportingAgent.start(this.fixture, this.engine);
		this.engine.fallSilentOnOrder(LONG_SILENCE_MS);
		this.fixture.announceVersion(2);
		awaitLoaded(2);
		List<ReportingAgent.Report> all = List.copyOf(this.agent.reports());
		int firstLoading = 0;
		while (!all.get(firstLoading).status().getLoading()) {
			firstLoading++;
		}
		for (ReportingAgent.Report report : all.subList(firstLoading, all.size())) {
			assertThat(report.status().getLoading() || report.status().getLoadedVersion() == 2).isTrue();
		}
	}

	/**
	 * The load begins and ends while the engine is silent, and a newer version that is
	 * announced cannot be fetched.
	 */
	@Test
	public void engineIsBackInServiceAfterALoadDuringItsSilence() throws Exception {
		this.agent = ReportingAgent.start(this.fixture, this.engine);
		this.engine.fallSilentAfterOrder(SILENCE_MS);
		this.fixture.announceVersion(2);
		GatewayFixture.awaitTrue(() -> !this.engine.orderedVersions().isEmpty());
		this.origin.setUnavailable(true);
		this.fixture.announceVersion(3);
		awaitLoaded(2);
		GatewayFixture.awaitTrue(() -> {
			EngineStatus last = this.agent.lastStatus();
			return last.getLoadedVersion() == 2 && !last.getLoading();
		});
	}

	@Test
	public void stagedChunksAreNotStagedAgainAfterASilence() throws Exception {
		this.agent = ReportingAgent.start(this.fixture, this.engine);
		GatewayFixture.awaitTrue(() -> this.agent.newestVerifiedVersion() == 1);
		this.engine.fallSilentOnStagedRead(changedChunks(), SILENCE_MS);
		this.fixture.announceVersion(2);
		awaitLoaded(2);
		assertThat(this.engine.stagedChunkCount()).isEqualTo(changedChunks());
	}

	private static int changedChunks() {
		int changed = 0;
		for (int index = 0; index < FakeWeightOrigin.CHUNKS; index++) {
			changed += Arrays.equals(FakeWeightOrigin.chunk(1, index), FakeWeightOrigin.chunk(2, index)) ? 0 : 1;
		}
		return changed;
	}

	@Test
	public void weightsStagedAtASilentEngineAreNotFetchedAgain() throws Exception {
		this.engine.fallSilentOnStagedRead(0, SILENCE_MS);
		this.agent = ReportingAgent.start(this.fixture, this.engine);
		GatewayFixture.awaitTrue(() -> this.agent.newestVerifiedVersion() == 1);
		assertThat(this.origin.sentChunks()).isZero();
	}

	private void awaitLoaded(long version) throws InterruptedException {
		GatewayFixture.awaitTrue(() -> this.engine.loadedVersion() == version);
	}

}
