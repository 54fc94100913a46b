package org.wigeontally.emulator.measure;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BiFunction;

import com.beust.jcommander.Parameter;

import org.wigeontally.emulator.limits.LimitResult;
import org.wigeontally.emulator.limits.LimitSetting;
import org.wigeontally.emulator.limits.LimitSimulation;

/**
 * Backend servers that name a limit, over many loads and disruptions, in virtual time
 * with the real decision classes. Prints the worst of all loads. The baselines get the
 * same arrivals: entries that do not know of limits, and an equal share for each entry.
 */
final class BackendLimitMeasurement implements Measurement {

	private static final double[] LIMITS_PER_SECOND = { 0.1, 0.5, 1, 1.9, 20, 400 };

	private static final int[] ENTRIES = { 2, 8, 14, 49, 980 };

	private static final int DISRUPTED_ENTRIES = 9;

	/** Limit from which its end is noticed within 1.5 s, as a response comes so often. */
	private static final double RECOVERY_LIMIT_PER_SECOND = 1;

	@Parameter(names = "--verbose", description = "Print each load")
	private boolean verbose;

	@Override
	public String name() {
		return "server-limit";
	}

	@Override
	public Figures run(long seed) {
		Worst permits = new Worst();
		Worst disturbed = new Worst();
		Worst shares = new Worst();
		Worst baseline = new Worst();
		for (LimitSetting setting : loads()) {
			permits.add(setting, run(setting, seed, LimitSimulation::withPermits));
			shares.add(setting, run(setting, seed, LimitSimulation::withEqualShares));
			baseline.add(setting, run(setting, seed, LimitSimulation::withoutLimits));
		}
		for (LimitSetting setting : disruptions()) {
			disturbed.add(setting, run(setting, seed, LimitSimulation::withPermits));
		}
		return Figures.create()
			.put("brokenWindows", permits.brokenWindows + disturbed.brokenWindows)
			.put("worstShare", Math.max(permits.worstShare, disturbed.worstShare))
			.put("usedShare", permits.usedShare)
			.put("servedShare", permits.servedShare)
			.put("falseRefusals", permits.falseRefusals)
			.put("recoverMs", permits.recoverMs)
			.put("recoverSlowestMs", permits.recoverSlowestMs)
			.put("disturbedUsedShare", disturbed.usedShare)
			.put("disturbedServedShare", disturbed.servedShare)
			.put("disturbedFalseRefusals", disturbed.falseRefusals)
			.put("baselineBrokenWindows", baseline.brokenWindows)
			.put("baselineWorstShare", baseline.worstShare)
			.put("equalSharesBrokenWindows", shares.brokenWindows)
			.put("equalSharesUsedShare", shares.usedShare)
			.put("equalSharesFalseRefusals", shares.falseRefusals);
	}

	private LimitResult run(LimitSetting setting, long seed, BiFunction<LimitSetting, Long, LimitResult> simulation) {
		LimitResult result = simulation.apply(setting, seed);
		if (this.verbose) {
			System.out.println(setting + " " + result);
		}
		return result;
	}

	private static List<LimitSetting> loads() {
		List<LimitSetting> loads = new ArrayList<>();
		for (double perSecond : LIMITS_PER_SECOND) {
			for (int entries : ENTRIES) {
				for (int servers : new int[] { 1, 3 }) {
					loads.add(LimitSetting.allLimited(entries, servers, perSecond, false));
				}
				loads.add(LimitSetting.allLimited(entries, 1, perSecond, true));
				loads.add(LimitSetting.mixed(entries, perSecond));
			}
		}
		return loads;
	}

	private static List<LimitSetting> disruptions() {
		List<LimitSetting> loads = new ArrayList<>();
		for (LimitSetting.Disruption disruption : LimitSetting.Disruption.values()) {
			if (disruption == LimitSetting.Disruption.NONE) {
				continue;
			}
			for (double perSecond : LIMITS_PER_SECOND) {
				loads.add(LimitSetting.allLimited(DISRUPTED_ENTRIES, 2, perSecond, false).with(disruption));
				loads.add(LimitSetting.mixed(DISRUPTED_ENTRIES, perSecond).with(disruption));
			}
		}
		return loads;
	}

	/** The worst figures of several loads. */
	private static final class Worst {

		private int brokenWindows;

		private double worstShare;

		private double usedShare = Double.POSITIVE_INFINITY;

		private double servedShare = 1;

		private int falseRefusals;

		private double recoverMs;

		private double recoverSlowestMs;

		private void add(LimitSetting setting, LimitResult result) {
			this.brokenWindows += result.brokenWindows();
			this.worstShare = Math.max(this.worstShare, result.worstShare());
			this.servedShare = Math.min(this.servedShare, result.servedShare());
			this.falseRefusals += result.falseRefusals();
			this.recoverSlowestMs = Math.max(this.recoverSlowestMs, result.recoverMs());
			if (setting.unlimitedServers() == 0) {
				this.usedShare = Math.min(this.usedShare, result.usedShare());
			}
			if (setting.perSecond() >= RECOVERY_LIMIT_PER_SECOND) {
				this.recoverMs = Math.max(this.recoverMs, result.recoverMs());
			}
		}

	}

}
