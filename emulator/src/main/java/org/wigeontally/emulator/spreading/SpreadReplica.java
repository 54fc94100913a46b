package org.wigeontally.emulator.spreading;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import org.wigeontally.weights.ChunkScheduler;
import org.wigeontally.weights.Fetch;
import org.wigeontally.weights.HostLocation;

/**
 * A simulated copy of one version. Follows chunk maps and starts fetches at the times at
 * which a host does.
 */
final class SpreadReplica {

	private static final double TICK_MS = 40;

	private static final double FOLLOW_INTERVAL_MS = 120;

	private static final double FOLLOW_RETRY_MS = 250;

	private static final double REFRESH_MS = 300;

	private static final double FLUSH_MS = 20;

	private final SpreadHost owner;

	private final SpreadSimulation simulation;

	private final int version;

	private final ChunkScheduler scheduler;

	private final List<Integer> held = new ArrayList<>();

	private final Map<SpreadReplica, Integer> sentCounts = new LinkedHashMap<>();

	private final Set<String> followed = new HashSet<>();

	private final Map<String, Double> nextFollowMs = new HashMap<>();

	private final double startedMs;

	private boolean flushScheduled;

	private boolean closed;

	private double wholeMs = Double.POSITIVE_INFINITY;

	private double nextFollowUpdateMs;

	private double nextRefreshMs;

	SpreadReplica(SpreadHost owner, int version) {
		this.owner = owner;
		this.simulation = owner.simulation;
		this.version = version;
		this.startedMs = nowMs();
		this.scheduler = ChunkScheduler.create(owner.chunks(), owner.location,
				new Random(this.simulation.random.nextLong()), (long) nowMs());
	}

	void start() {
		if (this.closed || isWhole() || !this.simulation.isAlive(this.owner.location)) {
			return;
		}
		if (nowMs() >= this.nextRefreshMs) {
			this.nextRefreshMs = nowMs() + REFRESH_MS;
			// A copy with the same order in every process, unlike Map.copyOf.
			this.scheduler.updateHosts(new LinkedHashMap<>(this.simulation.table()),
					this.simulation.assignment(this.version), (long) nowMs());
			this.scheduler.setHeldInRegion(this.simulation.isHeldInRegion(this.owner.location, this.version));
		}
		if (nowMs() >= this.nextFollowUpdateMs) {
			this.nextFollowUpdateMs = nowMs() + FOLLOW_INTERVAL_MS;
			updateFollowed();
		}
		startFetches();
		this.simulation.time.after(TICK_MS, this::start);
	}

	private void updateFollowed() {
		Set<String> wanted = this.scheduler.peersToFollow((long) nowMs());
		this.followed.retainAll(wanted);
		for (String host : wanted) {
			if (nowMs() >= this.nextFollowMs.getOrDefault(host, 0.0) && this.followed.add(host)) {
				HostLocation location = this.simulation.location(host);
				this.simulation.call(location(), location, () -> subscribe(location));
			}
		}
	}

	private void subscribe(HostLocation to) {
		SpreadHost host = this.simulation.host(to.host());
		SpreadReplica peer = (host != null) ? host.replica(this.version) : null;
		if (peer == null) {
			this.simulation.call(to, location(), () -> {
				this.followed.remove(to.host());
				this.nextFollowMs.put(to.host(),
						nowMs() + FOLLOW_RETRY_MS * (0.5 + this.simulation.random.nextDouble()));
				this.scheduler.clearPeerChunks(to.host(), (long) nowMs());
			});
			return;
		}
		peer.sentCounts.putIfAbsent(this, 0);
		peer.sendMap(this);
	}

	private void sendMap(SpreadReplica follower) {
		List<Integer> update = List.copyOf(this.held.subList(this.sentCounts.get(follower), this.held.size()));
		this.sentCounts.put(follower, this.held.size());
		this.simulation.call(location(), follower.location(), () -> {
			if (follower.followed.contains(location().host()) && !follower.closed) {
				follower.scheduler.addPeerChunks(location().host(), update, (long) nowMs());
				follower.startFetches();
			}
		});
	}

	private void flush() {
		this.flushScheduled = false;
		if (!this.closed && this.simulation.isAlive(location())) {
			List.copyOf(this.sentCounts.keySet()).forEach(this::sendMap);
		}
	}

	private void startFetches() {
		if (this.closed || !this.simulation.isAlive(location())) {
			return;
		}
		for (Fetch fetch : this.scheduler.nextFetches((long) nowMs())) {
			if (fetch.fromOrigin()) {
				this.owner.fetchFromOrigin(this, fetch);
				continue;
			}
			HostLocation source = this.simulation.location(fetch.source());
			this.simulation.call(location(), source, () -> {
				SpreadHost host = this.simulation.host(fetch.source());
				if (host == null) {
					handleFailure(fetch, Fetch.Failure.UNREACHABLE);
					return;
				}
				host.upload(this, fetch);
			});
		}
	}

	void handleReceived(Fetch fetch) {
		if (this.simulation.isCorrupted()) {
			handleFailure(fetch, Fetch.Failure.CORRUPT);
			return;
		}
		this.simulation.call(location(), location(), () -> {
			if (this.closed) {
				return;
			}
			this.scheduler.fetchSucceeded(fetch, (long) nowMs());
			this.held.add(fetch.chunk());
			this.wholeMs = this.scheduler.isComplete() ? nowMs() : this.wholeMs;
			if (!this.flushScheduled) {
				this.flushScheduled = true;
				this.simulation.time.after(FLUSH_MS, this::flush);
			}
			startFetches();
		});
	}

	void handleFailure(Fetch fetch, Fetch.Failure failure) {
		if (!this.closed) {
			this.scheduler.fetchFailed(fetch, failure, (long) nowMs());
			startFetches();
		}
	}

	void close() {
		this.closed = true;
	}

	boolean isClosed() {
		return this.closed;
	}

	boolean isWhole() {
		return Double.isFinite(this.wholeMs);
	}

	double startedMs() {
		return this.startedMs;
	}

	double wholeMs() {
		return this.wholeMs;
	}

	boolean holds(int chunk) {
		return this.held.contains(chunk);
	}

	int heldCount() {
		return this.held.size();
	}

	int version() {
		return this.version;
	}

	HostLocation location() {
		return this.owner.location;
	}

	private double nowMs() {
		return this.simulation.time.nowMs();
	}

}
