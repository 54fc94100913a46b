package org.wigeontally.emulator.spreading;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.TreeMap;

import org.wigeontally.spread.PacedUpload;
import org.wigeontally.weights.Fetch;
import org.wigeontally.weights.HostLocation;
import org.wigeontally.weights.LinkRateLimiter;
import org.wigeontally.weights.OriginConnectionLimit;
import org.wigeontally.weights.UploadSlots;
import org.wigeontally.weights.VersionFetchPolicy;

/**
 * A simulated host: its replicas, its uploads and its connections to the origin.
 */
final class SpreadHost {

	private static final double COLLECT_INTERVAL_MS = 50;

	private static final int ORIGIN_CONNECTIONS = 48;

	final HostLocation location;

	final SpreadSimulation simulation;

	private final LinkRateLimiter limiter;

	private final UploadSlots slots = new UploadSlots();

	private final TreeMap<Integer, SpreadReplica> replicas = new TreeMap<>();

	private final Deque<Runnable> waitingForOrigin = new ArrayDeque<>();

	private int originFetches;

	SpreadHost(SpreadSimulation simulation, HostLocation location) {
		this.simulation = simulation;
		this.location = location;
		this.limiter = LinkRateLimiter.ofKbps(simulation.setting.links().hostKbps() * simulation.setting.linkShare());
	}

	void learn(int version) {
		for (SpreadReplica older : this.replicas.values()) {
			if (!older.isWhole() && !VersionFetchPolicy.shouldFinish(older.heldCount(), chunks(),
					(long) (nowMs() - older.startedMs()), remainingMs(version - 1), remainingMs(version))) {
				older.close();
			}
		}
		startWhenAllowed(version, nowMs());
	}

	private void startWhenAllowed(int version, double learnedMs) {
		boolean olderInProgress = this.replicas.values()
			.stream()
			.anyMatch((older) -> !older.isWhole() && !older.isClosed());
		if (!VersionFetchPolicy.mayStartNewer(olderInProgress, (long) (nowMs() - learnedMs))) {
			this.simulation.time.after(COLLECT_INTERVAL_MS, () -> startWhenAllowed(version, learnedMs));
			return;
		}
		SpreadReplica replica = new SpreadReplica(this, version);
		this.replicas.put(version, replica);
		replica.start();
	}

	private long remainingMs(int version) {
		return (long) (this.simulation.loadDeadlineMs(version) - nowMs());
	}

	SpreadReplica replica(int version) {
		SpreadReplica replica = this.replicas.get(version);
		return (replica == null || replica.isClosed()) ? null : replica;
	}

	double wholeMs(int version) {
		SpreadReplica replica = this.replicas.get(version);
		return (replica != null) ? replica.wholeMs() : Double.POSITIVE_INFINITY;
	}

	void fetchFromOrigin(SpreadReplica replica, Fetch fetch) {
		this.waitingForOrigin.add(() -> this.simulation.call(this.location, null, () -> {
			this.simulation.count(null, this.location, replica.version());
			sendFromOrigin(replica, fetch, 0);
		}));
		startWaiting();
	}

	private void startWaiting() {
		int limit = OriginConnectionLimit.perHost(ORIGIN_CONNECTIONS, this.simulation.table().size());
		while (!this.waitingForOrigin.isEmpty() && this.originFetches < limit) {
			this.originFetches++;
			this.waitingForOrigin.poll().run();
		}
	}

	private void sendFromOrigin(SpreadReplica replica, Fetch fetch, int sentBytes) {
		if (sentBytes < chunkBytes()) {
			int bytes = Math.min(PacedUpload.segmentBytes(chunkBytes()), chunkBytes() - sentBytes);
			this.simulation.network.transmit(null, this.location, bytes,
					() -> sendFromOrigin(replica, fetch, sentBytes + bytes));
			return;
		}
		this.originFetches--;
		replica.handleReceived(fetch);
		startWaiting();
	}

	// Runs at the sending host.
	void upload(SpreadReplica receiver, Fetch fetch) {
		boolean crossRegion = !receiver.location().region().equals(this.location.region());
		SpreadReplica own = replica(receiver.version());
		if (own == null || !own.holds(fetch.chunk())) {
			this.simulation.call(this.location, receiver.location(),
					() -> receiver.handleFailure(fetch, Fetch.Failure.MISSING));
			return;
		}
		if (!this.slots.tryAcquire(crossRegion)) {
			this.simulation.call(this.location, receiver.location(),
					() -> receiver.handleFailure(fetch, Fetch.Failure.BUSY));
			return;
		}
		this.simulation.count(this.location, receiver.location(), receiver.version());
		send(receiver, fetch, crossRegion, 0);
	}

	private void send(SpreadReplica receiver, Fetch fetch, boolean crossRegion, int sentBytes) {
		if (!this.simulation.isAlive(this.location)) {
			receiver.handleFailure(fetch, Fetch.Failure.UNREACHABLE);
			return;
		}
		if (sentBytes == chunkBytes() || !this.simulation.isAlive(receiver.location())) {
			this.slots.release(crossRegion);
			receiver.handleReceived(fetch);
			return;
		}
		int bytes = Math.min(PacedUpload.segmentBytes(chunkBytes()), chunkBytes() - sentBytes);
		double waitMs = crossRegion ? this.limiter.reserveUrgent(bytes, nowMs()) : this.limiter.reserve(bytes, nowMs());
		this.simulation.time.after(Math.round(waitMs), () -> this.simulation.network.transmit(this.location,
				receiver.location(), bytes, () -> send(receiver, fetch, crossRegion, sentBytes + bytes)));
	}

	int chunks() {
		return this.simulation.setting.chunks();
	}

	private int chunkBytes() {
		return this.simulation.setting.chunkBytes();
	}

	private double nowMs() {
		return this.simulation.time.nowMs();
	}

}
