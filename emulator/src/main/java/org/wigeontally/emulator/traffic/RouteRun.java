package org.wigeontally.emulator.traffic;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;

/**
 * One run of a policy: callers, entries with lagging views, agents and engines in virtual
 * time. The decisions are those of the library; only time, network and engines are
 * models.
 */
public final class RouteRun {

	/** Time within which the first token is wanted. */
	public static final double FIRST_TOKEN_TARGET_MS = 920;

	private static final double WARM_UP_MS = 20_000;

	private static final double CONFIGURATION_DELAY_MS = 2_000;

	private static final int PREFIXES_CACHED = 12;

	private static final int ZONE_GONE = 2;

	private final RouteSetting setting;

	private final VirtualTime time = VirtualTime.create();

	private final Random random;

	private final Workload workload;

	private final RouteResult result;

	private final List<ModelEntry> entries = new ArrayList<>();

	private RouteRun(RouteSetting setting) {
		this.setting = setting;
		this.random = new Random(setting.seed());
		this.workload = Workload.create(setting.seed());
		this.result = new RouteResult(WARM_UP_MS, WARM_UP_MS + setting.windowMs());
	}

	/**
	 * Carries out a run.
	 * @param setting what it is made with
	 * @return what was seen
	 */
	public static RouteResult of(RouteSetting setting) {
		return new RouteRun(setting).run();
	}

	/**
	 * Measures what one engine alone does when its batch is always full and all prefixes
	 * are cached.
	 * @param windowMs length of the measured window
	 * @param seed seed of all draws
	 * @return what was seen; the completed rate is the capacity
	 */
	public static RouteResult alone(double windowMs, long seed) {
		VirtualTime time = VirtualTime.create();
		ModelEngine engine = ModelEngine.create(time, PREFIXES_CACHED);
		RouteResult result = new RouteResult(WARM_UP_MS, WARM_UP_MS + windowMs);
		Workload workload = Workload.create(seed);
		for (int i = 0; i < ModelAgent.CAPACITY; i++) {
			startAlone(time, engine, workload, result);
		}
		time.runUntil(WARM_UP_MS + windowMs);
		return result;
	}

	private static void startAlone(VirtualTime time, ModelEngine engine, Workload workload, RouteResult result) {
		double sentMs = time.nowMs();
		double[] lastMs = new double[1];
		ModelRequest request = workload.next();
		engine.start(request, (index) -> {
			double nowMs = time.nowMs();
			if (index == 0) {
				result.firstToken(nowMs, nowMs - sentMs);
			}
			else {
				result.betweenTokens(nowMs, nowMs - lastMs[0]);
			}
			lastMs[0] = nowMs;
		}, () -> {
			result.completed(time.nowMs(), request.organisation(), true);
			startAlone(time, engine, workload, result);
		});
	}

	private RouteResult run() {
		List<ModelAgent> agents = new ArrayList<>();
		for (int i = 0; i < this.setting.size().replicas(); i++) {
			ModelEngine engine = ModelEngine.create(this.time, PREFIXES_CACHED);
			boolean gated = this.setting.policy() != Policy.PLAIN_ROUND_ROBIN;
			agents.add(new ModelAgent(this.time, "backend-" + i, i % UserSize.ZONES, engine, gated, this.random));
		}
		for (int i = 0; i < this.setting.size().entries(); i++) {
			this.entries.add(new ModelEntry(i, this.setting, this.time, agents, this.result, this.random));
		}
		if (this.setting.zoneGone()) {
			scheduleZone(WARM_UP_MS + this.setting.windowMs() / 3, Set.of(ZONE_GONE));
			scheduleZone(WARM_UP_MS + this.setting.windowMs() * 2 / 3, Set.of());
		}
		this.time.after(0, this::arrive);
		this.time.runUntil(WARM_UP_MS + this.setting.windowMs());
		return this.result;
	}

	private void scheduleZone(double atMs, Set<Integer> zonesOut) {
		for (ModelEntry entry : this.entries) {
			double heardMs = atMs + this.random.nextDouble() * CONFIGURATION_DELAY_MS;
			this.time.after(heardMs, () -> entry.zonesOut(zonesOut));
		}
	}

	private void arrive() {
		ModelRequest request = this.workload.next();
		double sentMs = this.time.nowMs();
		this.result.offered(sentMs, request.organisation());
		send(request, sentMs, this.setting.size().clientMs());
		this.time.after(this.workload.gapMs(this.setting.offeredPerSecond()), this::arrive);
	}

	private void send(ModelRequest request, double sentMs, double delayMs) {
		ModelEntry entry = this.entries.get(this.random.nextInt(this.entries.size()));
		this.time.after(delayMs, () -> {
			if (entry.out()) {
				send(request, sentMs, 2 * this.setting.size().clientMs());
				return;
			}
			entry.take(request, sentMs);
		});
	}

	/**
	 * Returns the share of all replicas that take work, on average over the window.
	 * @param setting what the run is made with
	 * @return 1 if no zone is gone
	 */
	public static double shareInWork(RouteSetting setting) {
		if (!setting.zoneGone()) {
			return 1;
		}
		int replicas = setting.size().replicas();
		int gone = (replicas - ZONE_GONE + UserSize.ZONES - 1) / UserSize.ZONES;
		return 1 - gone / (3.0 * replicas);
	}

}
