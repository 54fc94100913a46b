package org.wigeontally.limits;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import org.wigeontally.emulator.limits.LimitResult;
import org.wigeontally.emulator.limits.LimitSetting;
import org.wigeontally.emulator.limits.LimitSimulation;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Limited backend servers in virtual time, with the decisions of running entries.
 */
public class LimitSimulationTests {

	/** Part of what the platform allows. */
	private static final double MAX_WORST_SHARE = 0.8;

	private static final double MIN_USED_SHARE = 0.9;

	private static final double MIN_SERVED_SHARE = 0.95;

	private static final double MAX_RECOVER_MS = 1_500;

	@DataProvider
	public Object[][] overloaded() {
		return new Object[][] { { LimitSetting.allLimited(2, 1, 0.5, false) },
				{ LimitSetting.allLimited(8, 1, 1, true) }, { LimitSetting.allLimited(9, 3, 1.9, false) },
				{ LimitSetting.allLimited(49, 3, 20, false) }, { LimitSetting.allLimited(980, 1, 20, false) },
				{ LimitSetting.allLimited(8, 1, 400, false) } };
	}

	/** More demand than the limits admit: they are used, and kept to. */
	@Test(dataProvider = "overloaded")
	public void limitsAreKeptToAndUsedWithoutOtherBackendServers(LimitSetting setting) {
		for (long seed = 1; seed <= 3; seed++) {
			LimitResult result = LimitSimulation.withPermits(setting, seed);
			assertThat(result.worstShare()).isLessThanOrEqualTo(MAX_WORST_SHARE);
			assertThat(result.usedShare()).isGreaterThanOrEqualTo(MIN_USED_SHARE);
			assertThat(result.falseRefusals()).isZero();
			if (setting.perSecond() >= 1) {
				assertThat(result.recoverMs()).isLessThanOrEqualTo(MAX_RECOVER_MS);
			}
		}
	}

	@DataProvider
	public Object[][] mixed() {
		return new Object[][] { { LimitSetting.mixed(2, 0.1) }, { LimitSetting.mixed(8, 1) },
				{ LimitSetting.mixed(14, 1.9) }, { LimitSetting.mixed(49, 20) }, { LimitSetting.mixed(980, 1) } };
	}

	/** Two of six backend servers are limited, and the others have room. */
	@Test(dataProvider = "mixed")
	public void requestsGoToBackendServersWithoutALimit(LimitSetting setting) {
		LimitResult result = LimitSimulation.withPermits(setting, 1);
		assertThat(result.worstShare()).isLessThanOrEqualTo(MAX_WORST_SHARE);
		assertThat(result.servedShare()).isGreaterThanOrEqualTo(MIN_SERVED_SHARE);
		assertThat(result.falseRefusals()).isZero();
	}

	@DataProvider
	public Object[][] disruptions() {
		Object[][] cases = new Object[LimitSetting.Disruption.values().length][];
		for (int i = 0; i < cases.length; i++) {
			cases[i] = new Object[] { LimitSetting.Disruption.values()[i] };
		}
		return cases;
	}

	/**
	 * Around pauses, restarts, cuts and additions of entries two coordinators never spend
	 * the limit twice.
	 */
	@Test(dataProvider = "disruptions")
	public void limitsAreKeptToDuringDisruptions(LimitSetting.Disruption disruption) {
		for (double perSecond : new double[] { 1, 20, 100 }) {
			LimitSetting setting = LimitSetting.allLimited(9, 2, perSecond, false).with(disruption);
			for (long seed = 1; seed <= 3; seed++) {
				assertThat(LimitSimulation.withPermits(setting, seed).worstShare())
					.isLessThanOrEqualTo(MAX_WORST_SHARE);
			}
		}
	}

	/** The bound of the platform is broken by entries that do not know of limits. */
	@Test
	public void entriesThatDoNotKnowOfLimitsExceedThem() {
		assertThat(LimitSimulation.withoutLimits(LimitSetting.allLimited(9, 2, 1.9, false), 1).brokenWindows())
			.isPositive();
	}

}
