package org.wigeontally.experiment;

import java.nio.file.Files;

import io.vertx.core.Future;
import io.vertx.core.json.JsonObject;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import org.wigeontally.emulator.experiment.Bundles;
import org.wigeontally.emulator.experiment.Fault;
import org.wigeontally.emulator.experiment.FaultRun;
import org.wigeontally.emulator.experiment.LoadOptions;
import org.wigeontally.emulator.experiment.LoadResult;
import org.wigeontally.emulator.experiment.Plan;
import org.wigeontally.emulator.experiment.Scenario;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Faults under load over real processes. Seen red before their causes were mended: a
 * drain of an agent that closed while entries still sent to it (3 of 600 outcomes
 * unknown), and a killed entry without claims (1 booking ran twice).
 */
public class ProcessFaultTests {

	private static final double PER_SECOND = 40;

	private static final long LOAD_MS = 8000;

	private static final long SEED = 7;

	@DataProvider
	public Object[][] faultsThatCutNothing() {
		return new Object[][] { { Fault.DRAIN_AGENT }, { Fault.DRAIN_ENTRY }, { Fault.LOST_REPLIES } };
	}

	@Test(dataProvider = "faultsThatCutNothing")
	public void everyRequestIsServedOnce(Fault fault) throws Exception {
		FaultRun run = run(fault);
		assertThat(run.violations()).as(run.summary()).isZero();
		assertThat(run.load().servedCount()).as(run.summary()).isEqualTo(run.load().sentCount());
	}

	@DataProvider
	public Object[][] faultsThatMayCut() {
		return new Object[][] { { Fault.KILL_ENTRY }, { Fault.KILL_AGENT }, { Fault.PAUSE_AGENT } };
	}

	@Test(dataProvider = "faultsThatMayCut")
	public void everyOutcomeIsTrue(Fault fault) throws Exception {
		FaultRun run = run(fault);
		assertThat(run.violations()).as(run.summary()).isZero();
	}

	private static FaultRun run(Fault fault) throws Exception {
		try (Scenario scenario = Scenario.start(Plan.of(3, 1, 1), Files.createTempDirectory("wigeontally-faults"))) {
			return FaultRun.run(scenario, fault, LoadOptions.mixed(PER_SECOND, LOAD_MS, Bundles.credential(1)), SEED);
		}
	}

	@Test
	public void aRolledVersionReachesEveryEngineUnderLoad() throws Exception {
		try (Scenario scenario = Scenario.start(Plan.of(2, 1, 1), Files.createTempDirectory("wigeontally-roll"))) {
			Future<LoadResult> load = scenario.load(LoadOptions.mixed(PER_SECOND, LOAD_MS, Bundles.credential(1)),
					SEED);
			scenario.rollVersion("second", "first", Plan.SECOND_VERSION);
			LoadResult result = Scenario.await(load);
			for (String host : scenario.deployment().hosts()) {
				String version = new JsonObject(scenario.get("engine-" + host, "/load")).getString("version");
				assertThat(version).isEqualTo(Plan.SECOND_VERSION);
			}
			assertThat(result.servedCount()).as(result.summary()).isEqualTo(result.sentCount());
			assertThat(result.lostCount() + result.crossedCount()).as(result.summary()).isZero();
		}
	}

}
