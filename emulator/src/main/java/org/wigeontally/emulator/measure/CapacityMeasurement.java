package org.wigeontally.emulator.measure;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;

import com.beust.jcommander.Parameter;

import org.wigeontally.emulator.experiment.ManagedProcess;
import org.wigeontally.emulator.experiment.Plan;
import org.wigeontally.emulator.experiment.Scenario;

/**
 * What control costs at the size aimed at, worked out from fresh slopes: the control
 * measurement gives bytes, heap and processor time for each host added, a small
 * deployment gives the memory of whole processes. The figures of {@code docs/CAPACITY.md}
 * come from here.
 */
final class CapacityMeasurement implements Measurement {

	private static final int ENTRIES_AIMED_AT = 980;

	private static final int HOSTS_AIMED_AT = ENTRIES_AIMED_AT + 10_000;

	private static final double BYTES_PER_SECOND_ALLOWED = 7 * 1024;

	private static final double CORES_ALLOWED = 0.026;

	private static final double KB_PER_MB = 1024;

	private static final long SETTLE_MS = 5000;

	private static final String RESIDENT = "VmRSS:";

	@Parameter(names = "--hosts", description = "Hosts of the larger of the two runs that give the slopes")
	private int hosts = 200;

	@Override
	public String name() {
		return "capacity";
	}

	@Override
	public Figures run(long seed) throws Exception {
		Map<String, Double> control = ControlMeasurement.of(this.hosts).run(seed).values();
		double hosts = control.get("hosts");
		double bytes = control.get("bytesPerSecond");
		double bytesSlope = control.get("slopeBytesPerSecond");
		Figures figures = Figures.create()
			.put("measuredHosts", hosts)
			.put("bytesPerSecond", bytes)
			.put("bytesSlopePerHost", bytesSlope)
			.put("bytesPerSecondAimedAt", bytes + bytesSlope * (HOSTS_AIMED_AT - hosts))
			.put("hostsWithinBytes", hosts + (BYTES_PER_SECOND_ALLOWED - bytes) / bytesSlope)
			.put("cpuCores", control.get("cpuCores"))
			.put("cpuCoresAllowed", CORES_ALLOWED)
			.put("heapMbPerNode", control.get("heapMb"))
			.put("heapMbAimedAt", control.get("heapMb") + control.get("slopeHeapMb") * (HOSTS_AIMED_AT - hosts))
			.put("inForceMaxMs", control.get("inForceMaxMs"));
		addMemory(figures);
		return figures;
	}

	private static void addMemory(Figures figures) throws Exception {
		try (Scenario scenario = Scenario.start(Plan.of(2, 1, 1), Files.createTempDirectory("wigeontally-capacity"))) {
			Thread.sleep(SETTLE_MS);
			String entry = scenario.deployment().entries().get(0);
			String agent = scenario.deployment().hosts().get(0);
			figures.put("entryResidentMb", residentMb(scenario.deployment().process(entry)))
				.put("agentResidentMb", residentMb(scenario.deployment().process(agent)));
		}
	}

	private static double residentMb(ManagedProcess process) throws Exception {
		for (String line : Files.readAllLines(Path.of("/proc", Long.toString(process.pid()), "status"))) {
			if (line.startsWith(RESIDENT)) {
				return Double.parseDouble(line.substring(RESIDENT.length()).replace("kB", "").trim()) / KB_PER_MB;
			}
		}
		throw new IllegalStateException("no resident size of " + process.name());
	}

}
