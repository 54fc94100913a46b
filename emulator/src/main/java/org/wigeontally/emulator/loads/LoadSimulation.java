package org.wigeontally.emulator.loads;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import org.wigeontally.emulator.traffic.VirtualTime;
import org.wigeontally.fleet.VersionSchedule;
import org.wigeontally.weights.EngineLoadState;
import org.wigeontally.weights.VersionLoadPolicy;

/**
 * Agents in virtual time that decide when their engines load versions 2 and 3.
 *
 * <p>
 * Agents look at their engine each 50 ms, report each 300 ms and at once before a load,
 * and are told of the others' last reports each 400 ms. A report takes 40 ms. An agent
 * without a report for 1.5 s is left out. From the notice of its load an engine takes no
 * requests; 120 ms later it is ordered to load, ends what is running in 1 to 2 s, and
 * loads for 500 ms. The bound is 8 s. Addresses of a region are neighbours. Used by one
 * thread.
 */
public final class LoadSimulation {

	private static final long BOUND_MS = 8_000;

	private static final long POLL_MS = 50;

	private static final long REPORT_MS = 300;

	private static final long BRIEFING_MS = 400;

	private static final long REPORT_DELAY_MS = 40;

	private static final long CALL_MS = 5;

	private static final long AGENT_TIMEOUT_MS = 1_500;

	private static final long NOTICE_MS = 120;

	private static final long MIN_DRAIN_MS = 1_000;

	private static final long LOAD_MS = 500;

	private static final long SAMPLE_MS = 10;

	private static final int TOTAL_CHUNKS = 96;

	private static final int FIRST_NEW_VERSION = 2;

	private static final int LAST_VERSION = 3;

	private final LoadSetting setting;

	private final LoadPolicy policy;

	private final VersionSchedule schedule = VersionSchedule.of(BOUND_MS);

	private final Random random;

	private final VirtualTime time = VirtualTime.create();

	private final List<Engine> engines = new ArrayList<>();

	private final long[] announcedMs = new long[LAST_VERSION + 1];

	private boolean disrupted;

	private double largestShareOut;

	private double missingCapacityMs;

	private long regionWithoutEngineMs;

	private LoadSimulation(LoadSetting setting, LoadPolicy policy, long seed) {
		this.setting = setting;
		this.policy = policy;
		this.random = new Random(seed);
		this.announcedMs[LAST_VERSION] = setting.versionGapMs();
		for (int i = 0; i < setting.engines(); i++) {
			this.engines.add(new Engine(i));
		}
	}

	/**
	 * Plays a setting with loads in turns.
	 * @param setting the setting
	 * @param seed seed of arrivals and durations
	 * @return what happened
	 */
	public static LoadResult inTurns(LoadSetting setting, long seed) {
		return new LoadSimulation(setting, new TurnPolicy(), seed).run();
	}

	/**
	 * Plays a setting with loads in the order of addresses.
	 * @param setting the setting
	 * @param seed seed of arrivals and durations
	 * @return what happened
	 */
	public static LoadResult byAddress(LoadSetting setting, long seed) {
		return new LoadSimulation(setting, new AddressOrderPolicy(), seed).run();
	}

	private LoadResult run() {
		long endMs = this.setting.versionGapMs() + 2 * BOUND_MS;
		for (Engine engine : this.engines) {
			every(POLL_MS, this.random.nextInt((int) POLL_MS), engine::decide);
			every(REPORT_MS, this.random.nextInt((int) REPORT_MS), engine::report);
			every(BRIEFING_MS, this.random.nextInt((int) BRIEFING_MS), engine::receiveBriefing);
		}
		every(SAMPLE_MS, 0, this::sample);
		this.time.runUntil(endMs);
		long longestIdleMs = this.engines.stream().mapToLong((engine) -> engine.idleMs).max().orElse(0);
		return new LoadResult(this.largestShareOut, this.missingCapacityMs, this.regionWithoutEngineMs,
				firstLoadDelayMs(), longestIdleMs);
	}

	private void every(long intervalMs, long delayMs, Runnable action) {
		this.time.after(delayMs, () -> {
			action.run();
			every(intervalMs, intervalMs, action);
		});
	}

	private long nowMs() {
		return this.time.monotonicMs();
	}

	private int requiredVersion() {
		int required = 1;
		for (int version = FIRST_NEW_VERSION; version <= LAST_VERSION; version++) {
			required = (nowMs() - this.announcedMs[version] >= this.schedule.placementEndMs()) ? version : required;
		}
		return required;
	}

	private void sample() {
		int out = 0;
		for (int region = 0; region < this.setting.regions(); region++) {
			int known = 0;
			int inService = 0;
			for (Engine engine : this.engines) {
				if (engine.region == region) {
					known++;
					inService += engine.isInService() ? 1 : 0;
					out += (engine.loadingVersion > 0 && !engine.loadIsForced) ? 1 : 0;
					engine.idleMs += engine.isIdle() ? SAMPLE_MS : 0;
				}
			}
			double missing = 1 - (double) inService / known;
			this.missingCapacityMs += missing * missing * SAMPLE_MS / this.setting.regions();
			this.regionWithoutEngineMs += (inService == 0) ? SAMPLE_MS : 0;
		}
		this.largestShareOut = Math.max(this.largestShareOut, (double) out / this.engines.size());
	}

	private long firstLoadDelayMs() {
		long heldMs = Long.MAX_VALUE;
		long loadMs = Long.MAX_VALUE;
		for (Engine engine : this.engines) {
			heldMs = Math.min(heldMs, engine.heldAtMs[FIRST_NEW_VERSION]);
			loadMs = Math.min(loadMs, engine.firstLoadMs);
		}
		return loadMs - heldMs;
	}

	private final class Engine {

		private final int index;

		private final int region;

		private final long[] heldAtMs = new long[LAST_VERSION + 1];

		private long firstLoadMs = Long.MAX_VALUE;

		private long idleMs;

		private int loadedVersion = 1;

		private int loadingVersion;

		private boolean loadIsForced;

		private boolean agentDead;

		private Report lastReport = new Report(0, 1, 1, false);

		private int reportedHeldVersion = 1;

		private int reportedLoadedVersion = 1;

		private long heldReportedAtMs;

		private List<Report> briefing = List.of();

		private long briefingAtMs;

		private Engine(int index) {
			this.index = index;
			this.region = index * LoadSimulation.this.setting.regions() / LoadSimulation.this.setting.engines();
			LoadSetting setting = LoadSimulation.this.setting;
			for (int version = FIRST_NEW_VERSION; version <= LAST_VERSION; version++) {
				long arrivalMs = setting.firstArrivalMs() + (long) (LoadSimulation.this.random.nextDouble()
						* (setting.lastArrivalMs() - setting.firstArrivalMs()));
				this.heldAtMs[version] = Math.max(LoadSimulation.this.announcedMs[version] + arrivalMs,
						this.heldAtMs[version - 1]);
			}
		}

		private int heldVersion() {
			int held = 1;
			for (int version = FIRST_NEW_VERSION; version <= LAST_VERSION; version++) {
				held = (nowMs() >= this.heldAtMs[version]) ? version : held;
			}
			return held;
		}

		private boolean isInService() {
			return this.loadingVersion == 0 && this.loadedVersion >= requiredVersion();
		}

		private boolean isIdle() {
			return !this.agentDead && this.loadingVersion == 0 && this.loadedVersion < requiredVersion()
					&& heldVersion() > this.loadedVersion;
		}

		private void report() {
			if (this.agentDead) {
				return;
			}
			int held = heldVersion();
			this.heldReportedAtMs = (held > this.reportedHeldVersion) ? nowMs() : this.heldReportedAtMs;
			this.reportedHeldVersion = held;
			this.reportedLoadedVersion = this.loadedVersion;
			Report report = new Report(nowMs(), this.loadedVersion, held, this.loadingVersion > 0);
			LoadSimulation.this.time.after(REPORT_DELAY_MS, () -> this.lastReport = report);
		}

		private void receiveBriefing() {
			this.briefing = LoadSimulation.this.engines.stream().map((engine) -> engine.lastReport).toList();
			this.briefingAtMs = nowMs();
		}

		private void decide() {
			int version = heldVersion();
			LoadPolicy policy = LoadSimulation.this.policy;
			boolean changed = this.reportedHeldVersion != version || this.reportedLoadedVersion != this.loadedVersion;
			if (policy.reportsChanges() && changed) {
				report();
			}
			if (this.agentDead || this.loadingVersion > 0 || version <= this.loadedVersion || this.briefing.isEmpty()) {
				return;
			}
			int target = (nowMs() >= LoadSimulation.this.announcedMs[LAST_VERSION]) ? LAST_VERSION : FIRST_NEW_VERSION;
			long remainingMs = remainingMs(this.loadedVersion + 1);
			if (version < target && remainingMs > 0 && arrivesInTime(target, remainingMs)) {
				return;
			}
			List<EngineLoadState> others = new ArrayList<>();
			for (Engine other : LoadSimulation.this.engines) {
				Report report = this.briefing.get(other.index);
				if (other != this && nowMs() - report.atMs < AGENT_TIMEOUT_MS + BRIEFING_MS) {
					boolean waiting = report.loadedVersion < version && report.heldVersion >= version;
					others.add(new EngineLoadState(other.address(), other.regionName(), report.loading, waiting));
				}
			}
			EngineLoadState own = new EngineLoadState(address(), regionName(), false, true);
			if (!policy.mayLoad(own, others, remainingMs, remainingMs(version))) {
				return;
			}
			if (remainingMs > 0
					&& !policy.isViewCurrent(nowMs() - this.heldReportedAtMs, nowMs() - this.briefingAtMs)) {
				LoadSimulation.this.time.after(CALL_MS, this::receiveBriefing);
				return;
			}
			load(version, remainingMs <= 0);
		}

		private String address() {
			return "10.0." + this.region + "." + (100 + this.index);
		}

		private String regionName() {
			return "region-" + this.region;
		}

		private long remainingMs(int version) {
			return LoadSimulation.this.schedule.loadDeadlineMs() + LoadSimulation.this.announcedMs[version] - nowMs();
		}

		private boolean arrivesInTime(int version, long remainingMs) {
			long startMs = LoadSimulation.this.announcedMs[version];
			long fetchingMs = nowMs() - startMs;
			int held = (int) (TOTAL_CHUNKS * fetchingMs / (this.heldAtMs[version] - startMs));
			return VersionLoadPolicy.newerArrivesInTime(remainingMs, held, TOTAL_CHUNKS, fetchingMs,
					this.heldAtMs[version - 1] - LoadSimulation.this.announcedMs[version - 1]);
		}

		private void load(int version, boolean forced) {
			this.loadingVersion = version;
			this.loadIsForced = forced;
			this.firstLoadMs = Math.min(this.firstLoadMs, nowMs());
			report();
			LoadSetting setting = LoadSimulation.this.setting;
			boolean first = !LoadSimulation.this.disrupted;
			LoadSimulation.this.disrupted = true;
			if (first && setting.agentDies()) {
				// Its order is never sent, and entries place requests on the engine
				// again.
				this.agentDead = true;
				LoadSimulation.this.time.after(AGENT_TIMEOUT_MS, () -> this.loadingVersion = 0);
				return;
			}
			long drainMs = MIN_DRAIN_MS + LoadSimulation.this.random.nextInt((int) MIN_DRAIN_MS);
			long silenceMs = first ? setting.silenceMs() : 0;
			LoadSimulation.this.time.after(NOTICE_MS + drainMs + LOAD_MS + silenceMs, () -> {
				this.loadedVersion = version;
				this.loadingVersion = 0;
			});
		}

	}

	private record Report(long atMs, int loadedVersion, int heldVersion, boolean loading) {

	}

}
