package org.wigeontally.gateway;

/**
 * When the events of a stream were passed on to the caller. Runs on the event loop.
 */
final class StreamTimes {

	private static final long NONE = -1;

	private long firstEventMs = NONE;

	private long lastEventsAtMs;

	private long longestPauseMs;

	/**
	 * Records the first events.
	 * @param elapsedMs time since the request
	 * @param nowMs the current time
	 */
	void recordFirst(long elapsedMs, long nowMs) {
		this.firstEventMs = elapsedMs;
		this.lastEventsAtMs = nowMs;
	}

	/**
	 * Records that something arrived which may hold further events.
	 * @param nowMs the current time
	 */
	void recordArrival(long nowMs) {
		this.longestPauseMs = Math.max(this.longestPauseMs, nowMs - this.lastEventsAtMs);
	}

	/**
	 * Records events that the caller had not received before.
	 * @param nowMs the current time
	 */
	void recordProgress(long nowMs) {
		this.lastEventsAtMs = nowMs;
	}

	/**
	 * Returns the time from the request to the first event.
	 * @return milliseconds; -1 if there was none
	 */
	long firstEventMs() {
		return this.firstEventMs;
	}

	long longestPauseMs() {
		return this.longestPauseMs;
	}

	/**
	 * Returns for how long there have been no further events.
	 * @param nowMs the current time
	 * @return milliseconds
	 */
	long silentMs(long nowMs) {
		return nowMs - this.lastEventsAtMs;
	}

}
