package org.wigeontally.harmful;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import org.wigeontally.emulator.harmful.HarmfulPartResult;
import org.wigeontally.emulator.harmful.HarmfulPartSetting;
import org.wigeontally.emulator.harmful.HarmfulPartSimulation;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Requests that share a harmful part, among sound ones that share everything else with
 * them, at nine entries in virtual time.
 */
public class HarmfulPartSimulationTests {

	private static final int SEEDS = 5;

	private static final double MIN_SOUND_SHARE = 0.95;

	@DataProvider
	public Object[][] loads() {
		HarmfulPartSetting fleet = HarmfulPartSetting.SMALL_FLEET;
		return new Object[][] { { "one in two seconds", fleet.withHarmfulRequests(0.5, 0) }, { "two a second", fleet },
				{ "a seventh of all requests", fleet.withHarmfulRequests(20, 0) },
				{ "two parts, one of them rare", fleet.withHarmfulRequests(2, 0.5) },
				{ "four engines lost every five seconds", fleet.withCrashesTogether(4) },
				{ "nine of eleven engines lost every five seconds", fleet.withCrashesTogether(9) } };
	}

	/**
	 * No request with the part reaches an engine later than three seconds after its fifth
	 * crash, and sound requests begin as often as without it. The memory of whole
	 * requests is seen to fail on the same arrivals.
	 */
	@Test(dataProvider = "loads")
	public void harmfulPartsAreStoppedAndSoundRequestsAreServed(String load, HarmfulPartSetting setting) {
		for (int seed = 1; seed <= SEEDS; seed++) {
			HarmfulPartResult undisturbed = HarmfulPartSimulation.withTrials(setting.withoutHarmfulRequests(), seed);
			HarmfulPartResult trials = HarmfulPartSimulation.withTrials(setting, seed);
			assertThat(trials.sentAfterFifthCrash()).as("%s, seed %d", load, seed).isZero();
			assertThat(trials.soundShare()).as("%s, seed %d", load, seed)
				.isGreaterThanOrEqualTo(MIN_SOUND_SHARE * undisturbed.soundShare());
		}
		assertThat(HarmfulPartSimulation.withWholeRequests(setting, 1).sentAfterFifthCrash()).isPositive();
	}

}
