package org.wigeontally.sidecar;

import java.util.Arrays;
import java.util.List;

import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import org.wigeontally.gateway.GatewayFixture;
import org.wigeontally.platform.standin.FakeEngine;
import org.wigeontally.platform.standin.FakeWeightOrigin;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against engines that answer requests with chunks that were missing, corrupt or
 * of another version when they were loaded.
 */
public class WrongWeightsTests {

	/** Longer than a chunk may be corrupt when it is loaded. */
	private static final long PAUSE_MS = 3_500;

	/** Together longer than that; each call is answered at last. */
	private static final long LONG_SILENCE_MS = 2_400;

	private static final long SHORT_SILENCE_MS = 900;

	/** Longer than an agent takes to load a version that it holds. */
	private static final long SETTLED_MS = 1_500;

	/** A chunk that is different in all versions. */
	private static final int CHUNK = 1;

	private static final long STAGING_MS = 700;

	private GatewayFixture fixture;

	private FakeEngine engine;

	@BeforeMethod
	public void start() throws Exception {
		this.fixture = new GatewayFixture();
		FakeWeightOrigin origin = GatewayFixture.await(FakeWeightOrigin.start(this.fixture.vertx()));
		this.fixture.writeEngineConfiguration(origin.port(), 48);
		this.fixture.startEntry();
		this.engine = GatewayFixture.await(FakeEngine.start(this.fixture.vertx(), 1));
	}

	@AfterMethod(alwaysRun = true)
	public void stop() throws Exception {
		this.fixture.close();
	}

	/** A sound engine is silent twice between the check of a chunk and the order. */
	@Test
	public void chunkThatTurnsBadDuringALongCheckIsNotLoaded() throws Exception {
		try (ReportingAgent agent = ReportingAgent.start(this.fixture, this.engine)) {
			this.engine.whenStagedChunkIsRead(CHUNK, () -> {
				this.engine.corruptStagedChunk(CHUNK);
				this.engine.fallSilent(LONG_SILENCE_MS);
			});
			this.engine.whenStagedChunksAreChecked(() -> this.engine.fallSilent(SHORT_SILENCE_MS));
			this.fixture.announceVersion(2);
			GatewayFixture.awaitTrue(() -> agent.offers(2));
			assertThat(this.engine.violations()).isEmpty();
		}
	}

	/** The engine accepts the order late, and what is staged then. */
	@Test
	public void chunkThatTurnsBadBeforeTheEngineAcceptsTheOrderIsNotServed() throws Exception {
		try (ReportingAgent agent = ReportingAgent.start(this.fixture, this.engine)) {
			this.engine.whenStagedChunksAreChecked(() -> {
				this.engine.corruptStagedChunk(CHUNK);
				this.engine.fallSilentOnOrder(PAUSE_MS);
			});
			this.fixture.announceVersion(2);
			assertWrongWeightsAreNotOffered(agent, 2);
		}
	}

	/** The order that was given up arrives while a newer version is being staged. */
	@Test
	public void orderWithoutAnswerDoesNotLoadChunksOfANewerVersion() throws Exception {
		try (ReportingAgent agent = ReportingAgent.start(this.fixture, this.engine)) {
			this.engine.holdNextOrderUntilChunkIsStaged();
			this.engine.whenStagedChunksAreChecked(() -> this.fixture.announceVersion(3));
			this.fixture.announceVersion(2);
			GatewayFixture.awaitTrue(() -> this.engine.loadedVersion() == 3 && agent.offers(3));
			assertThat(this.engine.violations()).isEmpty();
		}
	}

	/** The call was given up and repeated; its chunk arrives after it was replaced. */
	@Test
	public void chunkThatIsStagedLateIsNotServed() throws Exception {
		try (ReportingAgent agent = ReportingAgent.start(this.fixture, this.engine)) {
			this.engine.holdNextStagingUntilOrderOf(3);
			this.fixture.announceVersion(2);
			GatewayFixture.awaitTrue(() -> agent.offers(2));
			this.fixture.announceVersion(3);
			assertWrongWeightsAreNotOffered(agent, 3);
		}
	}

	/**
	 * Guards against requests on wrong weights after the agent that found them has been
	 * replaced: the next one has not seen the load, and while there is none, the engine's
	 * registration names the version.
	 */
	@Test
	public void wrongWeightsAreNotServedAfterTheAgentIsReplaced() throws Exception {
		ReportingAgent first = ReportingAgent.start(this.fixture, this.engine);
		try (first) {
			this.engine.whenStagedChunksAreChecked(() -> {
				this.engine.corruptStagedChunk(CHUNK);
				this.engine.fallSilentOnOrder(PAUSE_MS);
			});
			this.fixture.announceVersion(2);
			GatewayFixture
				.awaitTrue(() -> this.engine.loadedVersion() == 2 && first.lastStatus().getDisprovenOrders() > 0);
			assertThat(this.engine.isLoadedWrong()).isTrue();
			// The datagrams of this agent do not reach the entry, its calls do.
			Thread.sleep(SETTLED_MS);
		}
		try (ReportingAgent second = ReportingAgent.start(this.fixture, this.engine)) {
			GatewayFixture.awaitTrue(() -> second.lastStatus().getDisprovenOrders() > 0);
			assertThat(second.lastStatus().getLoadedVersion()).isZero();
			this.fixture.announceVersion(3);
			GatewayFixture.awaitTrue(() -> second.offers(3));
			assertThat(second.lastStatus().getDisprovenOrders()).isZero();
		}
	}

	// The engine with the wrong weights has to come back into service with another
	// version.
	private void assertWrongWeightsAreNotOffered(ReportingAgent agent, long version) throws Exception {
		GatewayFixture.awaitTrue(() -> this.engine.loadedVersion() == version);
		assertThat(this.engine.isLoadedWrong()).isTrue();
		int before = agent.reports().size();
		Thread.sleep(SETTLED_MS);
		List<ReportingAgent.Report> all = List.copyOf(agent.reports());
		List<ReportingAgent.Report> since = all.subList(before, all.size());
		assertThat(since).isNotEmpty()
			.allMatch((report) -> report.status().getLoadedVersion() != version || report.status().getLoading());
		this.fixture.announceVersion(version + 1);
		GatewayFixture.awaitTrue(() -> agent.offers(version + 1));
		assertThat(this.engine.isLoadedWrong()).isFalse();
	}

	/** The next process at the address has not begun an order either. */
	@Test
	public void chunksCheckedAtAnEngineThatWasReplacedAreNotLoadedByTheNext() throws Exception {
		try (ReportingAgent agent = ReportingAgent.start(this.fixture, this.engine)) {
			this.engine.whenStagedChunksAreChecked(this.engine::replace);
			this.fixture.announceVersion(2);
			GatewayFixture.awaitTrue(() -> agent.offers(2));
			assertThat(this.engine.violations()).isEmpty();
		}
	}

	/** A check without answers shows nothing, and one with spoilt answers little. */
	@Test
	public void soundWeightsAreServedThoughReadsOfThemFail() throws Exception {
		try (ReportingAgent agent = ReportingAgent.start(this.fixture, this.engine)) {
			this.engine.whenOrderIsAccepted(() -> this.engine.refuseReads(FakeWeightOrigin.CHUNKS));
			this.fixture.announceVersion(2);
			GatewayFixture.awaitTrue(() -> agent.offers(2));
			this.engine.whenOrderIsAccepted(() -> this.engine.spoilReads(FakeWeightOrigin.CHUNKS));
			this.fixture.announceVersion(3);
			GatewayFixture.awaitTrue(() -> agent.offers(3));
		}
	}

	/** One refused call ends an attempt whose other calls are still under way. */
	@Test
	public void chunksOfAFailedAttemptAreNotStagedBesideANewerVersion() throws Exception {
		try (ReportingAgent agent = ReportingAgent.start(this.fixture, this.engine)) {
			this.engine.setStagingDelayMs(STAGING_MS);
			this.fixture.announceVersion(2);
			GatewayFixture.awaitTrue(() -> !this.engine.stagings().isEmpty());
			this.fixture.announceVersion(3);
			GatewayFixture.awaitTrue(() -> agent.newestVerifiedVersion() == 3);
			this.engine.refuseNextStaging();
			GatewayFixture.awaitTrue(() -> agent.offers(3));
			List<Long> versions = this.engine.stagings().stream().map(WrongWeightsTests::versionOf).toList();
			assertThat(versions).contains(2L, 3L).isSorted();
			assertThat(this.engine.violations()).isEmpty();
		}
	}

	private static long versionOf(FakeEngine.Staging staging) {
		boolean isNewer = Arrays.equals(staging.bytes(), FakeWeightOrigin.chunk(3, staging.index()));
		return isNewer ? 3 : 2;
	}

}
