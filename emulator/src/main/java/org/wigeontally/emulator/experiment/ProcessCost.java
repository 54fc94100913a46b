package org.wigeontally.emulator.experiment;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Reads what a Java process has used: processor time from the kernel, live heap from a
 * class histogram, which collects garbage first.
 */
public final class ProcessCost {

	private static final double TICK_MS = 10;

	private static final int USER_TICKS = 11;

	private static final int SYSTEM_TICKS = 12;

	private static final int TOTAL_BYTES = 2;

	private ProcessCost() {
	}

	/**
	 * Returns the processor time used so far.
	 * @param process the process
	 * @return milliseconds
	 * @throws IOException if the kernel does not tell
	 */
	public static double cpuMs(ManagedProcess process) throws IOException {
		String stat = Files.readString(Path.of("/proc", Long.toString(process.pid()), "stat"));
		String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
		return (Long.parseLong(fields[USER_TICKS]) + Long.parseLong(fields[SYSTEM_TICKS])) * TICK_MS;
	}

	/**
	 * Returns the live heap.
	 * @param process the process
	 * @return bytes
	 * @throws IOException if the histogram cannot be read
	 */
	public static long liveHeapBytes(ManagedProcess process) throws IOException {
		Process histogram = new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "jcmd").toString(),
				Long.toString(process.pid()), "GC.class_histogram")
			.start();
		String text = new String(histogram.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
		int total = text.lastIndexOf("Total");
		if (total < 0) {
			throw new IOException("no histogram: " + text);
		}
		return Long.parseLong(text.substring(total).trim().split("\\s+")[TOTAL_BYTES]);
	}

}
