package org.wigeontally.emulator.measure;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BiFunction;

import com.beust.jcommander.Parameter;

import org.wigeontally.emulator.configuration.SpreadResult;
import org.wigeontally.emulator.configuration.SpreadSetting;
import org.wigeontally.emulator.configuration.SpreadSimulation;

/**
 * A large configuration on its way to all entries over links of limited bandwidth, in
 * virtual time with the real decision classes. Prints the worst of all loads. The
 * baseline is what entries did before: whole records in each exchange.
 */
final class ConfigurationSpreadMeasurement implements Measurement {

	private static final int TYPICAL_BYTES = 700_000;

	private static final int LARGEST_BYTES = 4_000_000;

	private static final int[] RECORD_BYTES = { 10_000, 100_000, TYPICAL_BYTES, LARGEST_BYTES };

	private static final int TYPICAL_ENTRIES = 40;

	private static final int MANY_ENTRIES = 980;

	/** Links drawn for each load. */
	private static final int DRAWS = 3;

	@Parameter(names = "--verbose", description = "Print each load")
	private boolean verbose;

	@Override
	public String name() {
		return "configuration-spread";
	}

	@Override
	public Figures run(long seed) {
		List<SpreadSetting> typical = List.of(SpreadSetting.undisturbed(TYPICAL_ENTRIES, 3, TYPICAL_BYTES),
				SpreadSetting.undisturbed(TYPICAL_ENTRIES, 5, TYPICAL_BYTES));
		SpreadSetting largest = SpreadSetting.undisturbed(TYPICAL_ENTRIES, 3, LARGEST_BYTES);
		Worst typicalWorst = worst(typical, seed, SpreadSimulation::withParts);
		Worst all = worst(loads(), seed, SpreadSimulation::withParts);
		Worst many = new Worst();
		many.add(run(SpreadSetting.undisturbed(MANY_ENTRIES, 5, TYPICAL_BYTES), seed, SpreadSimulation::withParts));
		Worst largestWorst = worst(List.of(largest), seed, SpreadSimulation::withParts);
		Worst disturbed = worst(disruptions(), seed, SpreadSimulation::withParts);
		Worst killed = worst(typical.stream().map((load) -> load.with(SpreadSetting.Disruption.READER_KILLED)).toList(),
				seed, SpreadSimulation::withParts);
		Worst baseline = worst(typical, seed, SpreadSimulation::withWholeRecords);
		Worst baselineLargest = worst(List.of(largest), seed, SpreadSimulation::withWholeRecords);
		return Figures.create()
			.put("lastEntryMs", typicalWorst.lastEntryMs)
			.put("disturbedLastEntryMs", disturbed.lastEntryMs)
			.put("borderCopies", Math.max(all.borderCopies, many.borderCopies))
			.put("disturbedBorderCopies", killed.borderCopies)
			.put("anyDisturbedBorderCopies", disturbed.borderCopies)
			.put("otherAgeMs", Math.max(all.otherAgeMs, many.otherAgeMs))
			.put("unfinished", all.unfinished + many.unfinished + disturbed.unfinished)
			.put("staleHomes", all.staleRequests + many.staleRequests + disturbed.staleRequests)
			.put("lastEntryMs4Mb", largestWorst.lastEntryMs)
			.put("lastEntryMs980", many.lastEntryMs)
			.put("baselineLastEntryMs", baseline.lastEntryMs)
			.put("baselineBorderCopies", baseline.borderCopies)
			.put("baselineUnfinished", baseline.unfinished)
			.put("baselineUnfinished4Mb", baselineLargest.unfinished)
			.put("baselineBorderCopies4Mb", baselineLargest.borderCopies);
	}

	private static List<SpreadSetting> loads() {
		List<SpreadSetting> loads = new ArrayList<>();
		for (int bytes : RECORD_BYTES) {
			loads.add(SpreadSetting.undisturbed(8, 3, bytes));
			loads.add(SpreadSetting.undisturbed(TYPICAL_ENTRIES, 3, bytes));
			loads.add(SpreadSetting.undisturbed(TYPICAL_ENTRIES, 5, bytes));
		}
		return loads;
	}

	private static List<SpreadSetting> disruptions() {
		List<SpreadSetting> loads = new ArrayList<>();
		for (SpreadSetting.Disruption disruption : SpreadSetting.Disruption.values()) {
			if (disruption != SpreadSetting.Disruption.NONE) {
				loads.add(SpreadSetting.undisturbed(8, 3, TYPICAL_BYTES).with(disruption));
				loads.add(SpreadSetting.undisturbed(TYPICAL_ENTRIES, 3, TYPICAL_BYTES).with(disruption));
				loads.add(SpreadSetting.undisturbed(TYPICAL_ENTRIES, 5, TYPICAL_BYTES).with(disruption));
			}
		}
		return loads;
	}

	private Worst worst(List<SpreadSetting> loads, long seed,
			BiFunction<SpreadSetting, Long, SpreadResult> simulation) {
		Worst worst = new Worst();
		for (SpreadSetting load : loads) {
			for (int draw = 0; draw < DRAWS; draw++) {
				worst.add(run(load, seed * DRAWS + draw, simulation));
			}
		}
		return worst;
	}

	private SpreadResult run(SpreadSetting load, long seed, BiFunction<SpreadSetting, Long, SpreadResult> simulation) {
		SpreadResult result = simulation.apply(load, seed);
		if (this.verbose) {
			System.out.println(load + " " + result);
		}
		return result;
	}

	/** The worst figures of several loads. */
	private static final class Worst {

		private double lastEntryMs;

		private double borderCopies;

		private double otherAgeMs;

		private int unfinished;

		private double staleRequests;

		private void add(SpreadResult result) {
			this.lastEntryMs = Math.max(this.lastEntryMs, result.lastEntryMs());
			this.borderCopies = Math.max(this.borderCopies, result.borderCopies());
			this.otherAgeMs = Math.max(this.otherAgeMs, result.otherAgeMs());
			this.unfinished += result.unfinished();
			this.staleRequests += result.staleRequests();
		}

	}

}
