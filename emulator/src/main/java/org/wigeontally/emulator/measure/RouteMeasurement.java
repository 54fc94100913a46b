package org.wigeontally.emulator.measure;

import java.util.Arrays;

import com.beust.jcommander.Parameter;

import org.wigeontally.emulator.traffic.Policy;
import org.wigeontally.emulator.traffic.RouteResult;
import org.wigeontally.emulator.traffic.RouteRun;
import org.wigeontally.emulator.traffic.RouteSetting;
import org.wigeontally.emulator.traffic.UserSize;
import org.wigeontally.emulator.traffic.Workload;

/**
 * Goodput, latency and fairness of the policy at a load relative to the capacity. The
 * baselines get the same arrivals: round robin without admission, and the policy with
 * only its choice replaced by round robin or by the least reported load. In virtual time,
 * with the real decision classes.
 */
final class RouteMeasurement implements Measurement {

	private static final double ALONE_WINDOW_MS = 600_000;

	@Parameter(names = "--load", description = "Offered load relative to the capacity")
	private double load = 1;

	@Parameter(names = "--zone-gone", description = "Take one availability zone out for the middle third")
	private boolean zoneGone;

	@Parameter(names = "--users", description = "Whose sizes: koro or caroni")
	private String users = "koro";

	@Parameter(names = "--window-s", description = "Length of the measured window in virtual seconds")
	private int windowSeconds = 300;

	@Override
	public String name() {
		return "route";
	}

	@Override
	public Figures run(long seed) {
		UserSize size = UserSize.named(this.users);
		RouteResult alone = RouteRun.alone(ALONE_WINDOW_MS, seed);
		double fullCapacity = alone.completedPerSecond() * size.replicas();
		RouteSetting setting = setting(size, Policy.LEAST_LOADED_OF_FEW, fullCapacity, seed);
		double capacity = fullCapacity * RouteRun.shareInWork(setting);
		RouteResult policy = RouteRun.of(setting);
		RouteResult plain = RouteRun.of(setting(size, Policy.PLAIN_ROUND_ROBIN, fullCapacity, seed));
		RouteResult roundRobin = RouteRun.of(setting(size, Policy.ROUND_ROBIN, fullCapacity, seed));
		RouteResult leastReported = RouteRun.of(setting(size, Policy.LEAST_REPORTED, fullCapacity, seed));
		Figures figures = Figures.create().put("load", this.load).put("capacityPerSecond", capacity);
		put(figures, policy, capacity);
		figures.put("firstTokenP95VsRoundRobin", policy.firstTokenMs(95) / plain.firstTokenMs(95));
		figures.put("firstTokenP95VsGatedRoundRobin", policy.firstTokenMs(95) / roundRobin.firstTokenMs(95));
		figures.put("aloneFirstTokenP95Ms", alone.firstTokenMs(95));
		figures.put("aloneBetweenTokensP95Ms", alone.betweenTokensMs(95));
		putBaseline(figures, "roundRobin", plain, capacity);
		putBaseline(figures, "gatedRoundRobin", roundRobin, capacity);
		putBaseline(figures, "gatedLeastReported", leastReported, capacity);
		return figures;
	}

	private RouteSetting setting(UserSize size, Policy policy, double fullCapacity, long seed) {
		return new RouteSetting(size, policy, this.load * fullCapacity, this.zoneGone, this.windowSeconds * 1_000.0,
				seed);
	}

	private static void put(Figures figures, RouteResult result, double capacity) {
		double[] shares = result.shares(capacity);
		figures.put("goodputRatio", goodputRatio(result, capacity))
			.put("completedRatio", result.completedPerSecond() / Math.min(result.offeredPerSecond(), capacity))
			.put("firstTokenP50Ms", result.firstTokenMs(50))
			.put("firstTokenP95Ms", result.firstTokenMs(95))
			.put("firstTokenP99Ms", result.firstTokenMs(99))
			.put("betweenTokensP50Ms", result.betweenTokensMs(50))
			.put("betweenTokensP95Ms", result.betweenTokensMs(95))
			.put("betweenTokensP99Ms", result.betweenTokensMs(99))
			.put("jain", jain(shares))
			.put("worstSmallShare", worstSmall(shares))
			.put("refusalsPerRequest", result.refusalsPerRequest())
			.put("refusalP50Ms", result.refusalMs(50))
			.put("refusalP99Ms", result.refusalMs(99))
			.put("retriesPerRequest", result.retriesPerRequest());
	}

	private static void putBaseline(Figures figures, String name, RouteResult result, double capacity) {
		figures.put(name + "GoodputRatio", goodputRatio(result, capacity))
			.put(name + "FirstTokenP95Ms", result.firstTokenMs(95))
			.put(name + "RefusalsPerRequest", result.refusalsPerRequest())
			.put(name + "RefusalP99Ms", result.refusalMs(99));
	}

	private static double goodputRatio(RouteResult result, double capacity) {
		return result.goodPerSecond() / Math.min(result.offeredPerSecond(), capacity);
	}

	private static double jain(double[] shares) {
		double sum = Arrays.stream(shares).sum();
		double squares = Arrays.stream(shares).map((share) -> share * share).sum();
		return sum * sum / (shares.length * squares);
	}

	private static double worstSmall(double[] shares) {
		double worst = Double.POSITIVE_INFINITY;
		for (int i = 0; i < shares.length; i++) {
			if (!Workload.large(i)) {
				worst = Math.min(worst, shares[i]);
			}
		}
		return worst;
	}

}
