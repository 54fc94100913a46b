package org.wigeontally.emulator.limits;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.wigeontally.emulator.traffic.VirtualTime;
import org.wigeontally.schema.generated.Address;
import org.wigeontally.schema.generated.EntryNews;

/**
 * Entries, messages between them and what each hears of the others, in virtual time. Used
 * by one thread.
 */
final class LimitNetwork {

	/** Region of all entries and backend servers. */
	static final String REGION = "region-a";

	private static final double DELAY_MS = 3;

	private static final double LIVENESS_MS = 2_000;

	private static final double RECENT_MS = 30_000;

	private static final double EXCHANGE_INTERVAL_MS = 500;

	private final VirtualTime time = VirtualTime.create();

	private final List<SimulatedEntry> entries = new ArrayList<>();

	private final Map<Address, SimulatedEntry> entriesByAddress = new HashMap<>();

	// Views of an undisturbed network, which are the same at all times.
	private final Map<SimulatedEntry, List<EntryNews>> undisturbedViews = new HashMap<>();

	private boolean disturbed;

	private int groupBoundary;

	private double partitionStartMs = Double.MAX_VALUE;

	private double partitionEndMs = Double.MAX_VALUE;

	SimulatedEntry addEntry(double startedAtMs) {
		SimulatedEntry entry = new SimulatedEntry(this.entries.size(), startedAtMs);
		this.entries.add(entry);
		this.entriesByAddress.put(entry.news().getControl(), entry);
		this.undisturbedViews.clear();
		return entry;
	}

	List<SimulatedEntry> entries() {
		return this.entries;
	}

	SimulatedEntry entry(EntryNews news) {
		return this.entriesByAddress.get(news.getControl());
	}

	double nowMs() {
		return this.time.nowMs();
	}

	long monotonicMs() {
		return this.time.monotonicMs();
	}

	void after(double delayMs, Runnable action) {
		this.time.after(delayMs, action);
	}

	void runUntil(double endMs) {
		this.time.runUntil(endMs);
	}

	/**
	 * Marks that entries are paused, restarted, added or cut off, so that they hear
	 * different entries.
	 */
	void disturb() {
		this.disturbed = true;
	}

	void partition(int boundary, double lengthMs) {
		disturb();
		this.groupBoundary = boundary;
		this.partitionStartMs = nowMs();
		this.partitionEndMs = nowMs() + lengthMs;
	}

	boolean isPartitioned() {
		return nowMs() >= this.partitionStartMs && nowMs() < this.partitionEndMs;
	}

	boolean isReachable(SimulatedEntry from, SimulatedEntry to) {
		boolean separated = from.index() < this.groupBoundary != to.index() < this.groupBoundary;
		return from.isRunning() && to.isRunning() && !(separated && isPartitioned());
	}

	void send(SimulatedEntry from, SimulatedEntry to, Runnable arrival) {
		int life = to.life();
		after(DELAY_MS, () -> {
			if (to.life() == life && isReachable(from, to)) {
				arrival.run();
			}
		});
	}

	List<EntryNews> live(SimulatedEntry entry) {
		return this.disturbed ? heardWithin(entry, LIVENESS_MS) : undisturbedView(entry);
	}

	List<EntryNews> recent(SimulatedEntry entry) {
		return this.disturbed ? heardWithin(entry, RECENT_MS) : undisturbedView(entry);
	}

	private List<EntryNews> undisturbedView(SimulatedEntry entry) {
		return this.undisturbedViews.computeIfAbsent(entry,
				(key) -> this.entries.stream().filter((other) -> other != key).map(SimulatedEntry::news).toList());
	}

	private List<EntryNews> heardWithin(SimulatedEntry entry, double ageMs) {
		List<EntryNews> heard = new ArrayList<>();
		for (SimulatedEntry other : this.entries) {
			if (other != entry && nowMs() - lastHeardMs(entry, other) <= ageMs) {
				heard.add(other.news());
			}
		}
		return heard;
	}

	private double lastHeardMs(SimulatedEntry entry, SimulatedEntry other) {
		double sinceMs = Math.max(entry.startedAtMs(), other.startedAtMs()) + EXCHANGE_INTERVAL_MS;
		boolean separated = entry.index() < this.groupBoundary != other.index() < this.groupBoundary;
		double silentFromMs = other.isRunning() ? nowMs() : other.stoppedAtMs();
		if (separated && isPartitioned()) {
			silentFromMs = Math.min(silentFromMs, this.partitionStartMs);
		}
		return (silentFromMs >= sinceMs) ? silentFromMs : Double.NEGATIVE_INFINITY;
	}

}
