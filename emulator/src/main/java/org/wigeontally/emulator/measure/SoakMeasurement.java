package org.wigeontally.emulator.measure;

import java.nio.file.Files;
import java.nio.file.Path;

import com.beust.jcommander.Parameter;

import org.wigeontally.emulator.soak.SoakDisruptions;
import org.wigeontally.emulator.soak.SoakResult;
import org.wigeontally.emulator.soak.SoakRun;
import org.wigeontally.emulator.soak.SoakSetting;

/**
 * A randomised soak of the platform's entries as real processes. The processes' logs stay
 * in the directory that is printed.
 */
final class SoakMeasurement implements Measurement {

	@Parameter(names = "--seconds", description = "Time with disruptions")
	private int seconds = 60;

	@Parameter(names = "--entries", description = "Number of entry processes")
	private int entries = 4;

	@Parameter(names = "--callers", description = "Number of callers")
	private Integer callers;

	@Parameter(names = "--disruptions", description = "What disrupts the entries: FAULTS, SILENCES, SIGNALS or ALL")
	private SoakDisruptions disruptions = SoakDisruptions.FAULTS;

	@Override
	public String name() {
		return "soak";
	}

	@Override
	public Figures run(long seed) throws Exception {
		Path directory = Files.createTempDirectory("wigeontally-soak");
		SoakSetting usual = SoakSetting.usual(seed, this.seconds * 1_000L, this.disruptions);
		SoakResult result = SoakRun.run(new SoakSetting(this.entries, usual.plainBackends(), usual.engines(),
				(this.callers != null) ? this.callers : usual.callers(), usual.lengthMs(), this.disruptions, seed),
				directory);
		System.out.println("logs: " + directory);
		System.out.println(result.describe());
		return Figures.create()
			.put("seed", seed)
			.put("requests", result.requests())
			.put("servedShare", result.servedShare())
			.put("connections", result.connections())
			.put("longestStallMs", result.longestStallMs())
			.put("disruptions", result.disruptions().size())
			.put("violations", result.violations().size());
	}

}
