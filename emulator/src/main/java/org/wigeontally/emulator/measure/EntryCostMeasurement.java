package org.wigeontally.emulator.measure;

import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import com.beust.jcommander.Parameter;

import org.wigeontally.emulator.entries.EntryFleet;

/**
 * What one entry process costs beside many others: its processor time until it listens,
 * in its first seconds and afterwards, by thread, and its messages and bytes by kind. The
 * process runs with the command of the platform, so {@code bin/build-release} comes
 * first. The other entries and the agents are stand-ins.
 */
final class EntryCostMeasurement implements Measurement {

	private static final double TICK_MS = 10;

	private static final int USER_TICKS = 11;

	private static final int SYSTEM_TICKS = 12;

	private static final long POLL_MS = 20;

	private static final long START_TIMEOUT_MS = 30_000;

	@Parameter(names = "--entries", description = "Number of entries, the measured one included")
	private int entries = 67;

	@Parameter(names = "--agents", description = "Number of agents")
	private int agents = 55;

	@Parameter(names = "--seconds", description = "Length of the whole run; the second half counts as steady")
	private int seconds = 50;

	@Parameter(names = "--rate", description = "Requests per second")
	private double rate = 3.4;

	@Parameter(names = "--release", description = "Directory that holds target/release and deploy/system.toml")
	private String release = ".";

	@Parameter(names = "--java", description = "Further option of the Java runtime, such as a profiler")
	private String javaOption = "";

	@Override
	public String name() {
		return "entry";
	}

	@Override
	public Figures run(long seed) throws Exception {
		Path directory = Files.createTempDirectory("wigeontally-entry");
		Path output = directory.resolve("entry.log");
		Path settings = directory.resolve("entry.yaml");
		Figures figures = Figures.create().put("entries", this.entries).put("agents", this.agents);
		try (EntryFleet fleet = new EntryFleet(this.entries, this.agents)) {
			fleet.writeSettings(settings);
			ProcessBuilder builder = new ProcessBuilder(command()).directory(Path.of(this.release).toFile())
				.redirectErrorStream(true)
				.redirectOutput(output.toFile());
			builder.environment().put("WIGEONTALLY_CONFIG", settings.toString());
			Process process = builder.start();
			try {
				measure(process, output, fleet, figures);
			}
			finally {
				process.destroy();
				process.waitFor();
			}
		}
		return figures;
	}

	private List<String> command() throws IOException {
		String run = Files.readAllLines(Path.of(this.release, "deploy", "system.toml"))
			.stream()
			.filter((line) -> line.startsWith("run = ") && line.endsWith(" entry\""))
			.findFirst()
			.orElseThrow();
		String command = run.substring(run.indexOf('"') + 1, run.length() - 1);
		return Arrays.asList(command.replaceFirst("java ", "java " + this.javaOption + " ").trim().split(" +"));
	}

	private void measure(Process process, Path output, EntryFleet fleet, Figures figures) throws Exception {
		long startMs = System.currentTimeMillis();
		while (!Files.readString(output).contains("event=start")) {
			if (!process.isAlive() || System.currentTimeMillis() - startMs > START_TIMEOUT_MS) {
				throw new IOException("entry did not start, see " + output);
			}
			Thread.sleep(POLL_MS);
		}
		double listening = cpuMs(process);
		figures.put("cpuMsUntilListening", listening);
		fleet.startRequests(this.rate);
		long halfMs = this.seconds * 500L;
		Thread.sleep(Math.max(1, startMs + halfMs - System.currentTimeMillis()));
		double half = cpuMs(process);
		Map<String, Double> threads = threadCpuMs(process);
		fleet.traffic().take();
		long beganMs = System.currentTimeMillis();
		Thread.sleep(halfMs);
		double steadyS = (System.currentTimeMillis() - beganMs) / 1_000.0;
		double end = cpuMs(process);
		figures.put("cpuMsFirstHalf", half)
			.put("cpuMsWhole", end)
			.put("coresWhole", end / (this.seconds * 1_000))
			.put("coresSteady", (end - half) / (steadyS * 1_000))
			.put("answers", fleet.answers())
			.put("peakResidentMb", peakResidentMb(process));
		threadCpuMs(process).forEach((thread, ms) -> figures.put("coresSteady " + thread,
				(ms - threads.getOrDefault(thread, 0.0)) / (steadyS * 1_000)));
		fleet.traffic()
			.take()
			.forEach((kind, total) -> figures.put(kind + "/s", total[0] / steadyS)
				.put(kind + " B/s", total[1] / steadyS));
	}

	private static double cpuMs(Process process) throws IOException {
		return cpuMs(Path.of("/proc", Long.toString(process.pid()), "stat"));
	}

	private static double cpuMs(Path statFile) throws IOException {
		String stat = Files.readString(statFile);
		String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
		return (Long.parseLong(fields[USER_TICKS]) + Long.parseLong(fields[SYSTEM_TICKS])) * TICK_MS;
	}

	// Compiler threads come and go, so those of one name are added up.
	private static Map<String, Double> threadCpuMs(Process process) throws IOException {
		Map<String, Double> threads = new TreeMap<>();
		try (DirectoryStream<Path> tasks = Files.newDirectoryStream(Path.of("/proc", "" + process.pid(), "task"))) {
			for (Path task : tasks) {
				try {
					String name = Files.readString(task.resolve("comm")).trim();
					threads.merge(name, cpuMs(task.resolve("stat")), Double::sum);
				}
				catch (NoSuchFileException ex) {
					continue;
				}
			}
		}
		threads.values().removeIf((ms) -> ms == 0);
		return threads;
	}

	private static double peakResidentMb(Process process) throws IOException {
		return Files.readAllLines(Path.of("/proc", Long.toString(process.pid()), "status"))
			.stream()
			.filter((line) -> line.startsWith("VmHWM:"))
			.mapToDouble((line) -> Double.parseDouble(line.replaceAll("\\D", "")) / 1_024)
			.findFirst()
			.orElse(0);
	}

}
