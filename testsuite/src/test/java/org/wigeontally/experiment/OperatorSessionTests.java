package org.wigeontally.experiment;

import java.nio.file.Files;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.testng.annotations.Test;

import org.wigeontally.emulator.experiment.Plan;
import org.wigeontally.emulator.experiment.Scenario;
import org.wigeontally.emulator.platform.SyntheticWeights;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * The operators of experiments, over real processes.
 */
public class OperatorSessionTests {

	/**
	 * Longer than an entry waits for the log before it says that an outcome is unknown.
	 */
	private static final long OUTAGE_MS = 3_000;

	/**
	 * The entry cannot read the log and appends nothing. The log is back before the
	 * operators give up.
	 */
	@Test
	public void changeWhoseOutcomeIsUnknownIsSentAgain() throws Exception {
		try (Scenario scenario = Scenario.start(Plan.of(1, 1, 1), Files.createTempDirectory("wigeontally-operators"))) {
			scenario.fault("log", "outage=true");
			CompletableFuture<Void> back = CompletableFuture.runAsync(() -> {
				try {
					scenario.fault("log", "outage=false");
				}
				catch (Exception ex) {
					throw new IllegalStateException(ex);
				}
			}, CompletableFuture.delayedExecutor(OUTAGE_MS, TimeUnit.MILLISECONDS));
			long revision = scenario.roll("second", "first",
					new SyntheticWeights(Plan.MODEL, Plan.SECOND_VERSION, Plan.WEIGHT_BYTES).modelInBundle());
			assertThat(revision).isPositive();
			back.get();
		}
	}

}
