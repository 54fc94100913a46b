package org.wigeontally.emulator.backend;

import com.beust.jcommander.Parameter;

/**
 * How an emulated model engine behaves. Filled by the command line or by the builder
 * methods before the engine starts.
 */
public final class EngineOptions {

	@Parameter(names = "--model", description = "Name of the model")
	private String model = "assist";

	@Parameter(names = "--version", description = "Version loaded at the start; empty for none")
	private String version = "";

	@Parameter(names = "--capacity", description = "Requests that run at once when warm")
	private int capacity = 8;

	@Parameter(names = "--first-token-ms", description = "Time to the first token when warm")
	private int firstTokenMs = 20;

	@Parameter(names = "--token-ms", description = "Time between tokens when warm")
	private int tokenMs = 5;

	@Parameter(names = "--load-ms", description = "Time to load a version")
	private int loadMs = 200;

	@Parameter(names = "--cold-ms", description = "Time after a load in which the engine is cold")
	private int coldMs = 500;

	@Parameter(names = "--cold-capacity", description = "Requests that it bears at once when cold")
	private int coldCapacity = 2;

	@Parameter(names = "--report-lag-ms", description = "Age of the load that it reports")
	private int reportLagMs = 200;

	@Parameter(names = "--checks-fence", description = "Refuse orders with an old fencing number")
	private boolean checksFence;

	/**
	 * Sets the version loaded at the start.
	 * @param value name of the version
	 * @return this object
	 */
	public EngineOptions version(String value) {
		this.version = value;
		return this;
	}

	/**
	 * Sets the speed.
	 * @param firstTokenMs time to the first token, in milliseconds
	 * @param tokenMs time between tokens, in milliseconds
	 * @return this object
	 */
	public EngineOptions speed(int firstTokenMs, int tokenMs) {
		this.firstTokenMs = firstTokenMs;
		this.tokenMs = tokenMs;
		return this;
	}

	/**
	 * Sets how many requests run at once.
	 * @param warm when warm
	 * @param cold when cold
	 * @return this object
	 */
	public EngineOptions capacity(int warm, int cold) {
		this.capacity = warm;
		this.coldCapacity = cold;
		return this;
	}

	/**
	 * Sets whether orders with an old fencing number are refused.
	 * @param value true if they are
	 * @return this object
	 */
	public EngineOptions checksFence(boolean value) {
		this.checksFence = value;
		return this;
	}

	String model() {
		return this.model;
	}

	String version() {
		return this.version;
	}

	int capacity() {
		return this.capacity;
	}

	int firstTokenMs() {
		return this.firstTokenMs;
	}

	int tokenMs() {
		return this.tokenMs;
	}

	int loadMs() {
		return this.loadMs;
	}

	int coldMs() {
		return this.coldMs;
	}

	int coldCapacity() {
		return this.coldCapacity;
	}

	int reportLagMs() {
		return this.reportLagMs;
	}

	boolean checksFence() {
		return this.checksFence;
	}

}
