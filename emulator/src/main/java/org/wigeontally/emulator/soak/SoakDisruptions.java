package org.wigeontally.emulator.soak;

/**
 * What disrupts the entries of a soak, and how long its requests may take.
 */
public enum SoakDisruptions {

	/** Faults of processes, connections, the store and backend servers. */
	FAULTS(true, false, false, false, 1_500, 12_000),

	/**
	 * Sound backend servers fall silent and go on, beside planned work: configurations
	 * and stops of entries.
	 */
	SILENCES(false, true, false, false, 6_000, 5_000),

	/**
	 * Series of signals that overlap with starts, stops, configurations and changes of
	 * the settings. Requests are so short that entries take them until their end.
	 */
	SIGNALS(false, false, true, false, 400, 5_000),

	/**
	 * All of these, beside releases of backend servers and series of configurations that
	 * change limits, timeouts, routes and weights, while callers let their connections
	 * rest.
	 */
	ALL(true, true, true, true, 6_000, 12_000);

	/** Time that a caller waits beyond the timeout of the route. */
	private static final long CALLER_PATIENCE_MS = 1_500;

	private final boolean faults;

	private final boolean silences;

	private final boolean signals;

	private final boolean changes;

	private final long timeoutMs;

	private final long recoveryMs;

	SoakDisruptions(boolean faults, boolean silences, boolean signals, boolean changes, long timeoutMs,
			long recoveryMs) {
		this.faults = faults;
		this.silences = silences;
		this.signals = signals;
		this.changes = changes;
		this.timeoutMs = timeoutMs;
		this.recoveryMs = recoveryMs;
	}

	boolean hasFaults() {
		return this.faults;
	}

	boolean hasSilences() {
		return this.silences;
	}

	boolean hasSignals() {
		return this.signals;
	}

	boolean hasChanges() {
		return this.changes;
	}

	/**
	 * Returns the timeout of the routes.
	 * @return milliseconds
	 */
	long timeoutMs() {
		return this.timeoutMs;
	}

	/**
	 * Returns how long callers wait.
	 * @return milliseconds
	 */
	long callerTimeoutMs() {
		return this.timeoutMs + CALLER_PATIENCE_MS;
	}

	/**
	 * Returns the time after the last disruption until everything is to be served again.
	 * @return milliseconds
	 */
	long recoveryMs() {
		return this.recoveryMs;
	}

}
