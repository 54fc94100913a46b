package org.wigeontally.eventlog;

/**
 * Limits the log lines per second and counts those that are dropped. Thread-safe.
 */
public final class LineRateLimit {

	private static final long SECOND_MS = 1_000;

	private long startMs = Long.MIN_VALUE / 2;

	private int lines;

	private int droppedLines;

	/**
	 * Admits or drops a line.
	 * @param nowMs current monotonic time
	 * @param linesPerSecond maximum number of lines per second
	 * @return the number of lines dropped since the last one, or -1 if this line is to be
	 * dropped
	 */
	public synchronized int admit(long nowMs, int linesPerSecond) {
		if (nowMs - this.startMs >= SECOND_MS) {
			this.startMs = nowMs;
			this.lines = 0;
		}
		if (this.lines >= linesPerSecond) {
			this.droppedLines++;
			return -1;
		}
		this.lines++;
		int droppedBefore = this.droppedLines;
		this.droppedLines = 0;
		return droppedBefore;
	}

}
