package org.wigeontally.emulator.configuration;

import java.util.ArrayList;
import java.util.List;

import org.wigeontally.emulator.traffic.VirtualTime;
import org.wigeontally.fleet.StoreReadPlan;

/**
 * A large configuration on its way from the store to all entries.
 *
 * <p>
 * Links between two regions carry 14 to 23 Mbit/s, of which other traffic takes up to
 * 0.4; those of entries 28 to 140 Mbit/s. Transfers are sent in segments through queues,
 * so those that share a link divide it. Entries exchange messages as processes do.
 * Everything that they decide is decided by the real classes. Used by one thread.
 */
public final class SpreadSimulation {

	private static final double WRITTEN_AT_MS = 4_000;

	private static final double LENGTH_MS = 30_000;

	/** Time within which a configuration must be in force everywhere. */
	private static final double MAX_CHANGE_DELAY_MS = 3_000;

	private static final double REQUESTS_PER_MS = 0.02;

	private static final double SAMPLE_MS = 50;

	private static final double FREEZE_MS = 3_000;

	private static final double NEWER_AFTER_MS = 300;

	private static final double SERIES_INTERVAL_MS = 200;

	private static final int SERIES_LENGTH = 10;

	private static final int RESTARTED_TOGETHER = 4;

	private static final double RESTART_INTERVAL_MS = 1_000;

	private static final double RESTART_MS = 500;

	private static final double STORE_DELAY_MS = 300;

	private static final double STORE_DOWN_MS = 4_000;

	private final SpreadSetting setting;

	private final SpreadNetwork network;

	private final VirtualTime time;

	private final List<Double> writtenAtMs = new ArrayList<>();

	private double disturbedUntilMs = WRITTEN_AT_MS;

	private double lastEntryMs;

	private double otherAgeMs;

	private double staleRequests;

	private SpreadSimulation(SpreadSetting setting, long seed, SpreadPolicy policy) {
		this.setting = setting;
		this.network = new SpreadNetwork(setting, policy, seed);
		this.time = this.network.time();
	}

	/**
	 * Runs what entries do: contents by reference, in parts.
	 * @param setting load and disruption
	 * @param seed seed of all random choices
	 * @return the result
	 */
	public static SpreadResult withParts(SpreadSetting setting, long seed) {
		return new SpreadSimulation(setting, seed, SpreadPolicy.PARTS).run();
	}

	/**
	 * Runs what they did before: whole records in each exchange.
	 * @param setting load and disruption
	 * @param seed seed of all random choices
	 * @return the result
	 */
	public static SpreadResult withWholeRecords(SpreadSetting setting, long seed) {
		return new SpreadSimulation(setting, seed, SpreadPolicy.WHOLE_RECORDS).run();
	}

	private SpreadResult run() {
		this.network.entries().forEach((entry) -> entry.start(true));
		this.network.entries().forEach(SimulatedEntry::meetContacts);
		this.time.runUntil(WRITTEN_AT_MS);
		long[] bytesBefore = new long[this.setting.regions()];
		for (int region = 0; region < bytesBefore.length; region++) {
			bytesBefore[region] = this.network.bytesInto(region);
		}
		disturb();
		write();
		double nowMs = WRITTEN_AT_MS;
		while (nowMs < WRITTEN_AT_MS + LENGTH_MS && !(isFinished() && nowMs > this.disturbedUntilMs)) {
			nowMs += SAMPLE_MS;
			this.time.runUntil(nowMs);
			sample();
		}
		int unfinished = (int) this.network.entries()
			.stream()
			.filter((entry) -> entry.isAlive() && !hasNewest(entry))
			.count();
		double records = (double) this.setting.recordBytes() * this.writtenAtMs.size();
		double copies = 0;
		for (int region = 0; region < bytesBefore.length; region++) {
			copies = Math.max(copies, (this.network.bytesInto(region) - bytesBefore[region]) / records);
		}
		return new SpreadResult((unfinished > 0) ? LENGTH_MS : this.lastEntryMs, copies, this.otherAgeMs, unfinished,
				this.staleRequests);
	}

	private void write() {
		this.network.store().append();
		this.writtenAtMs.add(this.time.nowMs());
		this.disturbedUntilMs = Math.max(this.disturbedUntilMs, this.time.nowMs());
	}

	private boolean isFinished() {
		return this.network.entries().stream().allMatch((entry) -> !entry.isAlive() || hasNewest(entry));
	}

	private boolean hasNewest(SimulatedEntry entry) {
		return entry.version() == this.network.store().newestVersion();
	}

	private void sample() {
		double nowMs = this.time.nowMs();
		double newestAtMs = this.writtenAtMs.get(this.writtenAtMs.size() - 1);
		long dueVersion = 1 + this.writtenAtMs.stream().filter((atMs) -> nowMs - atMs > MAX_CHANGE_DELAY_MS).count();
		for (SimulatedEntry entry : this.network.entries()) {
			if (!entry.isAlive() || entry.isFrozen()) {
				continue;
			}
			if (!hasNewest(entry)) {
				this.lastEntryMs = Math.max(this.lastEntryMs, nowMs - Math.max(newestAtMs, entry.countsFromMs()));
			}
			if (entry.isReady()) {
				this.otherAgeMs = Math.max(this.otherAgeMs, entry.registrationAgeMs());
				this.staleRequests += (entry.version() < dueVersion) ? SAMPLE_MS * REQUESTS_PER_MS : 0;
			}
		}
	}

	private void disturb() {
		SimulatedEntry reader = reader();
		switch (this.setting.disruption()) {
			case READER_KILLED -> reader.onHalfReceived(reader::kill);
			case READER_FROZEN -> reader.onHalfReceived(() -> {
				reader.freezeFor(FREEZE_MS);
				this.disturbedUntilMs = this.time.nowMs() + FREEZE_MS;
			});
			case READER_CUT_OFF -> reader.onHalfReceived(() -> this.network.store().cutOff(reader));
			case READER_TURNED_AWAY -> reader.onHalfReceived(() -> this.network.store().turnAway(reader));
			case NEWER_MEANWHILE -> writeLater(NEWER_AFTER_MS);
			case TEN_IN_A_ROW -> {
				for (int i = 1; i < SERIES_LENGTH; i++) {
					writeLater(i * SERIES_INTERVAL_MS);
				}
			}
			case HALF_RESTARTING -> restartHalf();
			case STORE_SLOW -> this.network.store().slow(STORE_DELAY_MS);
			case STORE_DOWN -> reader.onHalfReceived(() -> this.network.store().stopFor(STORE_DOWN_MS));
			default -> {
			}
		}
	}

	// The reader of a region without the store.
	private SimulatedEntry reader() {
		SimulatedEntry any = this.network.entries().get(1);
		return this.network.entry(StoreReadPlan.reader(any.news(), any.table().liveEntries((long) this.time.nowMs())));
	}

	private void writeLater(double delayMs) {
		this.disturbedUntilMs = Math.max(this.disturbedUntilMs, this.time.nowMs() + delayMs);
		this.time.after(delayMs, this::write);
	}

	private void restartHalf() {
		for (int i = 0; i < this.setting.entries() / 2; i++) {
			SimulatedEntry entry = this.network.entries().get(i);
			double atMs = i / RESTARTED_TOGETHER * RESTART_INTERVAL_MS;
			this.time.after(atMs, entry::kill);
			this.time.after(atMs + RESTART_MS, () -> entry.start(false));
			this.disturbedUntilMs = Math.max(this.disturbedUntilMs, this.time.nowMs() + atMs + RESTART_MS);
		}
	}

}
