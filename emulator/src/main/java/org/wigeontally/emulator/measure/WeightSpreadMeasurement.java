package org.wigeontally.emulator.measure;

import com.beust.jcommander.Parameter;

import org.wigeontally.emulator.spreading.SpreadResult;
import org.wigeontally.emulator.spreading.SpreadSetting;
import org.wigeontally.emulator.spreading.SpreadSimulation;

/**
 * Spreads versions over limited links in virtual time. Times are ratios to the least time
 * in which the origin and a host's link carry a version.
 */
public final class WeightSpreadMeasurement implements Measurement {

	@Parameter(names = "--seeds", description = "Number of seeds, starting with the given one")
	private int seeds = 5;

	@Override
	public String name() {
		return "weight-spread";
	}

	@Override
	public Figures run(long seed) {
		Figures figures = Figures.create();
		for (int hosts : new int[] { 6, 24, 33, 55 }) {
			put(figures, "contended-" + hosts, SpreadSetting.contended(hosts), seed);
			put(figures, "uneven-" + hosts, SpreadSetting.uneven(hosts), seed);
		}
		for (SpreadSetting.Disruption disruption : SpreadSetting.Disruption.values()) {
			put(figures, "contended-33-" + disruption, SpreadSetting.contended(33).with(disruption), seed);
		}
		put(figures, "single-33", SpreadSetting.contended(33).withSingleVersion(), seed);
		return figures;
	}

	private void put(Figures figures, String name, SpreadSetting setting, long firstSeed) {
		double median = 0;
		double last = 0;
		double older = 0;
		double olderInTime = 0;
		double newestInTime = 0;
		double origin = 0;
		double border = 0;
		double live = 0;
		int incomplete = 0;
		for (long seed = firstSeed; seed < firstSeed + this.seeds; seed++) {
			SpreadResult result = SpreadSimulation.run(setting, seed);
			median += result.medianMs() / setting.leastMs() / this.seeds;
			last = Math.max(last, result.lastMs() / setting.leastMs());
			older += (double) result.olderMs().size() / setting.hosts() / this.seeds;
			olderInTime += result.olderInTime() / this.seeds;
			newestInTime += result.newestInTime() / this.seeds;
			origin = Math.max(origin, result.originCopies());
			border = Math.max(border, result.borderCopies());
			live = Math.max(live, result.liveDelayMs());
			incomplete = Math.max(incomplete, setting.hosts() - result.newestMs().size());
		}
		figures.put(name + " medianRatio", median)
			.put(name + " lastRatio", last)
			.put(name + " olderWhole", older)
			.put(name + " olderInTime", olderInTime)
			.put(name + " newestInTime", newestInTime)
			.put(name + " originCopies", origin)
			.put(name + " borderCopies", border)
			.put(name + " liveDelayMs", live)
			.put(name + " incomplete", incomplete);
	}

}
