package org.wigeontally.sidecar;

import java.util.ArrayList;
import java.util.List;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import org.wigeontally.eventlog.EventLog;
import org.wigeontally.gateway.GatewayFixture;
import org.wigeontally.misc.Clock;
import org.wigeontally.platform.standin.FakeEngine;
import org.wigeontally.platform.standin.FakeWeightOrigin;
import org.wigeontally.schema.generated.HostSettings;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that versions reach all engines while the origin, engines and agents fail. After
 * each test, no engine may have received an order to load an incomplete or corrupt set of
 * chunks.
 */
public class WeightDistributionTests {

	private static final int MAX_ORIGIN_CONNECTIONS = 48;

	/** Longer than entries remember an agent that sends no reports. */
	private static final long HOSTS_AWAY_MS = 1_800;

	private GatewayFixture fixture;

	private FakeWeightOrigin origin;

	private final List<FakeEngine> engines = new ArrayList<>();

	private final List<SidecarDaemon> agents = new ArrayList<>();

	@BeforeMethod
	public void start() throws Exception {
		this.engines.clear();
		this.agents.clear();
		this.fixture = new GatewayFixture();
		this.origin = GatewayFixture.await(FakeWeightOrigin.start(this.fixture.vertx()));
		this.fixture.writeEngineConfiguration(this.origin.port(), MAX_ORIGIN_CONNECTIONS);
		this.fixture.startEntry();
	}

	@AfterMethod(alwaysRun = true)
	public void stop() throws Exception {
		for (SidecarDaemon agent : this.agents) {
			agent.close();
		}
		this.fixture.close();
		for (FakeEngine engine : this.engines) {
			assertThat(engine.violations()).isEmpty();
		}
	}

	@Test
	public void announcedVersionReachesEveryEngineWithAboutOneCopyFromTheOrigin() throws Exception {
		startEngines(4, 1);
		this.fixture.announceVersion(2);
		awaitLoaded(2);
		// Chunks that both versions share are not fetched again.
		assertThat(this.origin.sentChunks()).isLessThanOrEqualTo((int) (1.5 * FakeWeightOrigin.CHUNKS));
	}

	/** An added engine has no chunks, and the agents of the others hold all of them. */
	@Test
	public void addedEngineGetsWeightsFromPeers() throws Exception {
		startEngines(2, 1);
		GatewayFixture.awaitTrue(() -> this.agents.stream().allMatch((agent) -> agent.newestVerifiedVersion() == 1));
		// Longer than the interval between two reports of an agent.
		Thread.sleep(600);
		startEngine(0);
		awaitLoaded(1);
		assertThat(this.origin.sentChunks()).isZero();
	}

	@Test
	public void allEnginesWithoutWeightsFetchFromTheOrigin() throws Exception {
		startEngines(3, 0);
		awaitLoaded(1);
		assertThat(this.origin.sentChunks()).isLessThanOrEqualTo(2 * FakeWeightOrigin.CHUNKS);
	}

	/**
	 * A host that loses power leaves its connections open at the origin, which keeps
	 * counting them against its limit.
	 */
	@Test
	public void enginesGetWeightsAfterThreeLossesOfPowerWhileChunksAreFetched() throws Exception {
		this.origin.setMaxConnections(MAX_ORIGIN_CONNECTIONS);
		this.origin.setChunkDelayMs(250);
		for (int loss = 0; loss < 3; loss++) {
			int before = this.origin.sentChunks();
			Vertx hosts = Vertx.vertx();
			startEnginesAtOnce(hosts, 6);
			GatewayFixture.awaitTrue(() -> this.origin.sentChunks() >= before + FakeWeightOrigin.CHUNKS / 2);
			loseHosts(hosts);
			Thread.sleep(HOSTS_AWAY_MS);
		}
		startEnginesAtOnce(this.fixture.vertx(), 6);
		awaitLoaded(1);
	}

	/** An agent that knew no other would fetch every chunk from the origin. */
	@Test
	public void agentsThatStartAtOnceFetchAboutOneCopyFromTheOrigin() throws Exception {
		this.origin.setChunkDelayMs(100);
		startEnginesAtOnce(this.fixture.vertx(), 6);
		awaitLoaded(1);
		assertThat(this.origin.sentChunks()).isLessThanOrEqualTo((int) (1.5 * FakeWeightOrigin.CHUNKS));
	}

	/** The agent of a removed engine would take a share of the links of all others. */
	@Test
	public void agentWithoutEngineFetchesNoWeights() throws Exception {
		FakeEngine removed = GatewayFixture.await(FakeEngine.start(this.fixture.vertx(), 0));
		GatewayFixture.await(removed.stop());
		startAgent(removed);
		startEngines(2, 0);
		awaitLoaded(1);
		Thread.sleep(1_000);
		assertThat(this.agents.get(0).newestVerifiedVersion()).isZero();
	}

	/**
	 * Guards against added engines that get their weights a second late: their agents
	 * waited for the engine to start before they fetched anything.
	 */
	@Test
	public void agentOfAnAddedHostFetchesWhileItsEngineStarts() throws Exception {
		startEngines(2, 1);
		GatewayFixture.awaitTrue(() -> this.agents.stream().allMatch((agent) -> agent.newestVerifiedVersion() == 1));
		// Longer than the interval between two reports of an agent.
		Thread.sleep(600);
		FakeEngine starting = GatewayFixture.await(FakeEngine.start(this.fixture.vertx(), 0));
		GatewayFixture.await(starting.stop());
		startAgent(starting);
		SidecarDaemon agent = this.agents.get(this.agents.size() - 1);
		GatewayFixture.awaitTrue(() -> agent.newestVerifiedVersion() == 1);
		assertThat(this.origin.sentChunks()).isZero();
	}

	/** An idle connection is lost to the origin if its host loses power. */
	@Test
	public void connectionsToTheOriginCloseWithTheResponse() throws Exception {
		startEngines(3, 0);
		awaitLoaded(1);
		assertThat(this.origin.requestsKeepingConnections()).isZero();
	}

	@Test
	public void corruptChunksAreFetchedAgain() throws Exception {
		this.origin.setCorruptionProbability(0.3);
		startEngines(3, 0);
		awaitLoaded(1);
	}

	@Test
	public void versionIsLoadedAfterOriginOutage() throws Exception {
		this.origin.setUnavailable(true);
		startEngines(3, 1);
		this.fixture.announceVersion(2);
		Thread.sleep(1_500);
		assertThat(this.engines).allMatch((engine) -> engine.loadedVersion() == 1);
		this.origin.setUnavailable(false);
		awaitLoaded(2);
	}

	/**
	 * Chunks that were found correct become corrupt while others are staged. The last
	 * chunk of a pass corrupts all others too, so that the next pass has to find them.
	 */
	@Test
	public void chunksCorruptedWhileOthersAreStagedAreReplacedBeforeTheLoadOrder() throws Exception {
		startEngines(2, 1);
		this.engines.get(0).corruptOthersWhileStaging(1);
		this.engines.get(1).corruptOthersWhileStaging(2 * FakeWeightOrigin.CHUNKS);
		this.fixture.announceVersion(2);
		awaitLoaded(2);
	}

	@Test
	public void newerVersionReplacesOneBeingFetched() throws Exception {
		startEngines(3, 1);
		this.fixture.announceVersion(2);
		Thread.sleep(80);
		this.fixture.announceVersion(3);
		awaitLoaded(3);
		assertThat(this.engines.get(0).orderedVersions()).contains(3L);
	}

	@Test
	public void crashedEngineIsReloadedFromAgentMemory() throws Exception {
		startEngines(2, 1);
		this.fixture.announceVersion(2);
		awaitLoaded(2);
		int before = this.origin.sentChunks();
		this.engines.get(0).crash();
		awaitLoaded(2);
		assertThat(this.origin.sentChunks()).isEqualTo(before);
	}

	/**
	 * The engine accepts the load order but its answer is lost. The order must not be
	 * sent again.
	 */
	@Test
	public void loadOrderWithoutAnswerIsNotSentAgain() throws Exception {
		startEngines(1, 1);
		this.engines.get(0).setDropsResponses(true);
		this.fixture.announceVersion(2);
		awaitLoaded(2);
		assertThat(this.engines.get(0).orderedVersions()).containsExactly(2L);
	}

	@Test
	public void restartedAgentReusesStagedChunks() throws Exception {
		startEngines(1, 1);
		this.fixture.announceVersion(2);
		awaitLoaded(2);
		int before = this.origin.sentChunks();
		this.agents.get(0).close();
		this.engines.get(0).crash();
		startAgent(this.engines.get(0));
		awaitLoaded(2);
		assertThat(this.origin.sentChunks()).isLessThanOrEqualTo(before + FakeWeightOrigin.CHUNKS / 4);
	}

	private void startEngines(int count, long version) throws Exception {
		for (int i = 0; i < count; i++) {
			startEngine(version);
		}
	}

	private void startEngine(long version) throws Exception {
		FakeEngine engine = GatewayFixture.await(FakeEngine.start(this.fixture.vertx(), version));
		this.engines.add(engine);
		startAgent(engine);
	}

	private void startAgent(FakeEngine engine) throws Exception {
		this.agents.add(GatewayFixture.await(startAgent(this.fixture.vertx(), engine)));
	}

	/** Starts engines without weights and their agents, all at the same time. */
	private void startEnginesAtOnce(Vertx hosts, int count) throws Exception {
		List<Future<SidecarDaemon>> starts = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			FakeEngine engine = GatewayFixture.await(FakeEngine.start(hosts, 0));
			this.engines.add(engine);
		}
		for (FakeEngine engine : this.engines) {
			starts.add(startAgent(hosts, engine));
		}
		for (Future<SidecarDaemon> start : starts) {
			this.agents.add(GatewayFixture.await(start));
		}
	}

	private void loseHosts(Vertx hosts) throws Exception {
		this.origin.abandonConnections();
		GatewayFixture.await(hosts.close());
		this.engines.clear();
		this.agents.clear();
	}

	private Future<SidecarDaemon> startAgent(Vertx host, FakeEngine engine) throws Exception {
		HostSettings settings = ReportingAgent.settings(this.fixture, engine, "127.0.0.1",
				GatewayFixture.freeAddress().getPort());
		return SidecarDaemon.start(host, settings, Clock.system(), EventLog.create(Clock.system(), settings.getHost()));
	}

	private void awaitLoaded(long version) throws InterruptedException {
		GatewayFixture.awaitTrue(() -> this.engines.stream().allMatch((engine) -> engine.loadedVersion() == version));
	}

}
