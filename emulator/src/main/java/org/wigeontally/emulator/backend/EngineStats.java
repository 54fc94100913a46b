package org.wigeontally.emulator.backend;

import java.util.concurrent.atomic.AtomicLong;

import io.vertx.core.json.JsonObject;

/**
 * What an emulated engine counted. Safe for use by several threads.
 */
public final class EngineStats {

	private final AtomicLong started = new AtomicLong();

	private final AtomicLong finished = new AtomicLong();

	private final AtomicLong cancelled = new AtomicLong();

	private final AtomicLong crashes = new AtomicLong();

	private final AtomicLong fenced = new AtomicLong();

	private final AtomicLong coldExcess = new AtomicLong();

	private volatile long lastStartMs;

	void admitted(boolean cold, boolean overLimit) {
		this.started.incrementAndGet();
		this.lastStartMs = System.currentTimeMillis();
		if (cold && overLimit) {
			this.coldExcess.incrementAndGet();
		}
	}

	void finished() {
		this.finished.incrementAndGet();
	}

	void cancelled() {
		this.cancelled.incrementAndGet();
	}

	void crashed() {
		this.crashes.incrementAndGet();
	}

	void fenced() {
		this.fenced.incrementAndGet();
	}

	/**
	 * Returns how many requests started.
	 * @return the count
	 */
	public long started() {
		return this.started.get();
	}

	/**
	 * Returns how often more requests ran at once than the cold engine bears.
	 * @return the count
	 */
	public long coldExcess() {
		return this.coldExcess.get();
	}

	/**
	 * Returns how often a request crashed the engine.
	 * @return the count
	 */
	public long crashes() {
		return this.crashes.get();
	}

	/**
	 * Returns when the last request started.
	 * @return milliseconds since 1970; 0 for never
	 */
	public long lastStartMs() {
		return this.lastStartMs;
	}

	JsonObject json() {
		return new JsonObject().put("started", this.started.get())
			.put("finished", this.finished.get())
			.put("cancelled", this.cancelled.get())
			.put("crashes", this.crashes.get())
			.put("fenced", this.fenced.get())
			.put("coldExcess", this.coldExcess.get())
			.put("lastStartMs", this.lastStartMs);
	}

}
