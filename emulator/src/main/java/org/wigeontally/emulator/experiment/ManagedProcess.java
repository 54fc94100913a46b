package org.wigeontally.emulator.experiment;

import java.io.File;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * A process that an experiment started; the experiment tool may start processes, the
 * system's own processes start none. Ended only by its own process id.
 */
public final class ManagedProcess implements AutoCloseable {

	private static final long END_TIMEOUT_S = 15;

	private final String name;

	private final Process process;

	private ManagedProcess(String name, Process process) {
		this.name = name;
		this.process = process;
	}

	/**
	 * Starts a Java process with the class path of this one.
	 * @param name name of the process and of its log file
	 * @param directory where its output goes
	 * @param heapMb most heap, in MiB
	 * @param mainClass class to run
	 * @param args its arguments
	 * @return the running process
	 * @throws IOException if it cannot be started
	 */
	public static ManagedProcess java(String name, Path directory, int heapMb, String mainClass, String... args)
			throws IOException {
		return java(name, directory, heapMb, Map.of(), mainClass, args);
	}

	/**
	 * Starts a Java process with the class path of this one and further variables.
	 * @param name name of the process and of its log file
	 * @param directory where its output goes
	 * @param heapMb most heap, in MiB
	 * @param environment variables beside those of this process
	 * @param mainClass class to run
	 * @param args its arguments
	 * @return the running process
	 * @throws IOException if it cannot be started
	 */
	public static ManagedProcess java(String name, Path directory, int heapMb, Map<String, String> environment,
			String mainClass, String... args) throws IOException {
		List<String> command = new ArrayList<>();
		command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
		command.add("-Xmx" + heapMb + "m");
		command.add("-XX:+UseSerialGC");
		command.add("-XX:TieredStopAtLevel=1");
		command.add("-Xshare:auto");
		command.add("-cp");
		command.add(System.getProperty("java.class.path"));
		command.add(mainClass);
		command.addAll(List.of(args));
		File output = directory.resolve(name + ".log").toFile();
		ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true)
			.redirectOutput(ProcessBuilder.Redirect.appendTo(output));
		builder.environment().putAll(environment);
		Process process = builder.start();
		// A process must not outlive an experiment that is itself ended early.
		Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
		return new ManagedProcess(name, process);
	}

	/**
	 * Returns the name.
	 * @return the name
	 */
	public String name() {
		return this.name;
	}

	/**
	 * Returns the process id.
	 * @return the id
	 */
	public long pid() {
		return this.process.pid();
	}

	/**
	 * Tells whether the process runs.
	 * @return true if it does
	 */
	public boolean isAlive() {
		return this.process.isAlive();
	}

	/**
	 * Ends the process at once, as a host that dies.
	 */
	public void kill() {
		this.process.destroyForcibly();
	}

	/**
	 * Freezes the process.
	 * @throws IOException if the signal cannot be sent
	 */
	public void pause() throws IOException {
		signal(this.process, "STOP");
	}

	/**
	 * Lets a frozen process go on.
	 * @throws IOException if the signal cannot be sent
	 */
	public void resume() throws IOException {
		signal(this.process, "CONT");
	}

	/**
	 * Sends SIGHUP.
	 * @throws IOException if the signal cannot be sent
	 */
	public void hangUp() throws IOException {
		signal(this.process, "HUP");
	}

	/** Asks the process to end, without waiting for it. */
	public void requestEnd() {
		this.process.destroy();
	}

	/**
	 * Asks the process to end and waits for it.
	 * @return true if it ended by itself in time
	 */
	public boolean terminate() {
		requestEnd();
		try {
			return this.process.waitFor(END_TIMEOUT_S, TimeUnit.SECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return false;
		}
	}

	/**
	 * Sends a signal to a process and waits until it has been sent.
	 * @param process the process
	 * @param name name of the signal
	 * @throws IOException if it cannot be sent
	 */
	public static void signal(Process process, String name) throws IOException {
		Process kill = new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start();
		try {
			kill.waitFor();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	@Override
	public void close() throws IOException {
		if (!this.process.isAlive()) {
			return;
		}
		resume();
		this.process.destroyForcibly();
	}

}
