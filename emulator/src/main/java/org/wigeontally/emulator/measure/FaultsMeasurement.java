package org.wigeontally.emulator.measure;

import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;

import com.beust.jcommander.Parameter;

import org.wigeontally.emulator.experiment.Bundles;
import org.wigeontally.emulator.experiment.Fault;
import org.wigeontally.emulator.experiment.FaultRun;
import org.wigeontally.emulator.experiment.LoadOptions;
import org.wigeontally.emulator.experiment.Plan;
import org.wigeontally.emulator.experiment.Scenario;

/**
 * Faults under load over real processes: for each fault what became of every request.
 */
final class FaultsMeasurement implements Measurement {

	private static final int ZONES = 3;

	@Parameter(names = "--fault", description = "Faults to bring about; all by default")
	private List<Fault> faults = new ArrayList<>();

	@Parameter(names = "--rate", description = "Requests a second")
	private int rate = 60;

	@Parameter(names = "--seconds", description = "Length of the load of each fault")
	private int seconds = 12;

	@Override
	public String name() {
		return "faults";
	}

	@Override
	public Figures run(long seed) throws Exception {
		Figures figures = Figures.create();
		long violations = 0;
		List<Fault> chosen = this.faults.isEmpty() ? List.of(Fault.values()) : this.faults;
		for (Fault fault : chosen) {
			FaultRun run = run(fault, seed);
			System.out.println(fault + ": " + run.summary());
			violations += run.violations();
			figures.put(fault + ".servedShare", (double) run.load().servedCount() / run.load().sentCount())
				.put(fault + ".unknown", run.load().unknownCount())
				.put(fault + ".violations", run.violations());
		}
		return figures.put("violations", violations);
	}

	private FaultRun run(Fault fault, long seed) throws Exception {
		try (Scenario scenario = Scenario.start(Plan.of(ZONES, 1, 1),
				Files.createTempDirectory("wigeontally-faults"))) {
			LoadOptions options = LoadOptions.mixed(this.rate, this.seconds * 1000L, Bundles.credential(1));
			return FaultRun.run(scenario, fault, options, seed);
		}
	}

}
