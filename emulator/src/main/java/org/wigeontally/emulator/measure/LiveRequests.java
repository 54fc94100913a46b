package org.wigeontally.emulator.measure;

import java.util.List;
import java.util.Random;

import io.vertx.core.Vertx;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.SynchronizedHistogram;

import org.wigeontally.emulator.platform.Links;
import org.wigeontally.emulator.platform.WeightFleet;

/**
 * A stream of small live requests from entry hosts of each region to random live hosts,
 * over the same links as the weights. An answer takes an engine some time before its
 * bytes are sent.
 */
final class LiveRequests {

	private static final long INTERVAL_MS = 10;

	private static final int REQUEST_BYTES = 256;

	private static final int ANSWER_BYTES = 512;

	private static final long LEAST_SERVICE_MS = 90;

	private static final int SERVICE_SPREAD_MS = 20;

	private final Vertx vertx;

	private final Links links;

	private final WeightFleet fleet;

	private final List<String> entries;

	private final Random random;

	private volatile Histogram histogram = histogram();

	private long timer;

	LiveRequests(Vertx vertx, Links links, WeightFleet fleet, List<String> entries, Random random) {
		this.vertx = vertx;
		this.links = links;
		this.fleet = fleet;
		this.entries = entries;
		this.random = random;
	}

	private static Histogram histogram() {
		return new SynchronizedHistogram(3);
	}

	void start() {
		this.timer = this.vertx.setPeriodic(INTERVAL_MS, (id) -> one());
	}

	void stop() {
		this.vertx.cancelTimer(this.timer);
	}

	// Returns the 99th percentile since the last call, in ms.
	double p99Ms() {
		Histogram ended = this.histogram;
		this.histogram = histogram();
		return ended.getValueAtPercentile(99) / 1000.0;
	}

	private void one() {
		List<String> hosts = this.fleet.hosts();
		String host = hosts.get(this.random.nextInt(hosts.size()));
		String entry = this.entries.get(this.random.nextInt(this.entries.size()));
		long serviceMs = LEAST_SERVICE_MS + this.random.nextInt(SERVICE_SPREAD_MS);
		long startNs = System.nanoTime();
		Histogram current = this.histogram;
		this.links.travel(entry, host, REQUEST_BYTES).onSuccess((arrived) -> this.vertx.setTimer(serviceMs, (id) -> {
			if (this.fleet.hosts().contains(host)) {
				this.fleet.node(host).recordLiveTraffic(ANSWER_BYTES);
			}
			this.links.travel(host, entry, ANSWER_BYTES)
				.onSuccess((back) -> current.recordValue((System.nanoTime() - startNs) / 1000));
		}));
	}

}
