package org.wigeontally.emulator.configuration;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.wigeontally.emulator.traffic.VirtualTime;

/**
 * The store, with a topic of configurations and one of registrations, which change each
 * 100 ms. Used by one thread.
 */
final class SimulatedStore {

	/** Bytes above which a response holds no further record. */
	private static final int MAX_PAGE_BYTES = 1_024 * 1_024;

	private static final double REGISTRATION_INTERVAL_MS = 100;

	private static final int REGISTRATION_BYTES = 400;

	private static final int REGISTRATIONS_BYTES = 20_000;

	/** Values are encoded as text in snapshots. */
	private static final double SNAPSHOT_FACTOR = 4 / 3.0;

	private static final int HEAD_BYTES = 200;

	private final VirtualTime time;

	private final int recordBytes;

	private final List<StoreCall> waiting = new ArrayList<>();

	private final Set<SimulatedEntry> turnedAway = new HashSet<>();

	private final Set<SimulatedEntry> cutOff = new HashSet<>();

	private final List<StoreCall> sending = new ArrayList<>();

	private long newestVersion = 1;

	private double downUntilMs;

	private double extraDelayMs;

	SimulatedStore(VirtualTime time, int recordBytes) {
		this.time = time;
		this.recordBytes = recordBytes;
	}

	long newestVersion() {
		return this.newestVersion;
	}

	void append() {
		this.newestVersion++;
		for (StoreCall call : List.copyOf(this.waiting)) {
			if (call.operator()) {
				this.waiting.remove(call);
				respond(call);
			}
		}
	}

	void slow(double delayMs) {
		this.extraDelayMs = delayMs;
	}

	void stopFor(double durationMs) {
		this.downUntilMs = this.time.nowMs() + durationMs;
		abort(List.copyOf(this.sending));
		abort(List.copyOf(this.waiting));
	}

	void turnAway(SimulatedEntry entry) {
		this.turnedAway.add(entry);
		abort(this.sending.stream().filter((call) -> call.entry() == entry).toList());
	}

	void cutOff(SimulatedEntry entry) {
		this.cutOff.add(entry);
	}

	boolean isCutOff(SimulatedEntry entry) {
		return this.cutOff.contains(entry);
	}

	private void abort(List<StoreCall> calls) {
		this.sending.removeAll(calls);
		this.waiting.removeAll(calls);
		calls.forEach(StoreCall::refuse);
	}

	/**
	 * Handles a call that has arrived.
	 * @param call the call
	 */
	void handle(StoreCall call) {
		if (this.cutOff.contains(call.entry())) {
			return;
		}
		if (this.time.nowMs() < this.downUntilMs || this.turnedAway.contains(call.entry())) {
			call.refuse();
			return;
		}
		this.time.after(this.extraDelayMs, () -> read(call));
	}

	private void read(StoreCall call) {
		if (call.snapshot() || call.start() < end(call)) {
			respond(call);
			return;
		}
		this.waiting.add(call);
		double waitMs = call.operator() ? call.waitMs() : Math.min(call.waitMs(), REGISTRATION_INTERVAL_MS);
		this.time.after(waitMs, () -> {
			if (this.waiting.remove(call)) {
				respond(call);
			}
		});
	}

	private long end(StoreCall call) {
		return call.operator() ? this.newestVersion + 1 : (long) (this.time.nowMs() / REGISTRATION_INTERVAL_MS) + 1;
	}

	private void respond(StoreCall call) {
		long end = end(call);
		double bytes = HEAD_BYTES;
		if (!call.operator()) {
			bytes += call.snapshot() ? REGISTRATIONS_BYTES : (end - call.start()) * REGISTRATION_BYTES;
		}
		else if (call.snapshot()) {
			bytes += this.recordBytes * SNAPSHOT_FACTOR;
		}
		else {
			long records = Math.min(end - call.start(), Math.max(1, MAX_PAGE_BYTES / this.recordBytes));
			end = call.start() + records;
			bytes += records * (double) this.recordBytes;
		}
		this.sending.add(call);
		call.send((int) bytes, end, () -> this.sending.contains(call) && !this.cutOff.contains(call.entry()),
				() -> this.sending.remove(call));
	}

}
