package org.wigeontally.weights;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/**
 * Selects the chunks of one version that one host fetches next, and the source of each.
 *
 * <p>
 * Problem: the link of the origin and the links between regions can carry about one copy
 * of a version within the time allowed for its distribution. So almost every byte has to
 * come from a nearby peer. No host coordinates the distribution, and any host may fail.
 *
 * <p>
 * Approach: {@link FetchAssignment} divides the chunks into stripes and ranks the hosts
 * of each region for each stripe. The host of rank 0 brings the chunks of the stripe into
 * its region by <em>assigned</em> fetches: from the origin in the seed region of the
 * stripe, from a host of another region elsewhere. Within the region, each host follows
 * the chunk maps of a few peers and fetches the rarest chunks first. Among the peers that
 * hold a chunk it prefers those of its own availability zone. The number of followed
 * peers does not grow with the number of hosts, so neither does the control traffic of a
 * host.
 *
 * <p>
 * Takeover: the host of rank {@code r} takes over a stripe for which it has seen no
 * progress in the region for {@code r} jittered stall periods, and stops when another
 * host makes progress. A region that gets no chunks from other regions finally falls back
 * to the origin.
 *
 * <p>
 * Help: a version may become unavailable at the origin at any time, and one missing chunk
 * keeps it from all engines. So a host that has brought the chunks of its own stripes
 * into the region does not wait for a takeover: in the order of the ranks such hosts
 * fetch from the origin the chunks of a stripe without progress.
 *
 * <p>
 * Invariants: a chunk is fetched at most once at a time per host; a host has at most one
 * assigned fetch per stripe; a source that is backing off or does not hold the chunk is
 * never chosen. Peers are not trusted: {@link ChunkStore} verifies all bytes. Not
 * thread-safe: used only by the control thread.
 */
public final class ChunkScheduler {

	/**
	 * As many as a host uploads at once, see {@link UploadSlots}: with fewer, some hosts
	 * are asked for several chunks while others are idle. More fill the queue of this
	 * host's link and delay requests.
	 */
	private static final int MAX_PEER_FETCHES = 3;

	private static final int MAX_FETCHES_PER_STRIPE = 1;

	private static final long BUSY_PAUSE_MS = 80;

	/** Largest fraction by which a stall period is extended at random. */
	private static final double TAKEOVER_JITTER = 0.5;

	/** Stall periods between the takeover of a stripe and the fallback to the origin. */
	private static final int ORIGIN_FALLBACK_PERIODS = 3;

	private static final long ORIGIN_RETRY_INITIAL_MS = 200;

	/** No host gets weights before the origin is tried again after an outage. */
	private static final long ORIGIN_RETRY_MAX_MS = 1000;

	private final int chunkCount;

	private final HostLocation self;

	private final Random random;

	private final BitSet heldChunks = new BitSet();

	private final BitSet inFlight = new BitSet();

	/** Chunks that this host or a followed host of the region has held. */
	private final BitSet seenInRegion = new BitSet();

	private final BitSet seenOutsideRegion = new BitSet();

	private final ChunkSources sources;

	/** Time since which no known host of the region holds a chunk, by chunk. */
	private final Map<Integer, Long> lostSinceMs = new HashMap<>();

	private final StripeState[] stripes = new StripeState[FetchAssignment.STRIPES];

	private final PeerSelector peerSelector;

	private final Backoff originBackoff = new Backoff(ORIGIN_RETRY_INITIAL_MS, ORIGIN_RETRY_MAX_MS);

	private FetchAssignment assignment;

	private boolean heldInRegion;

	private int activePeerFetches;

	private ChunkScheduler(int chunkCount, HostLocation self, Random random, long nowMs) {
		this.chunkCount = chunkCount;
		this.self = self;
		this.random = random;
		this.sources = new ChunkSources(self, random);
		this.peerSelector = new PeerSelector(self, random);
		for (int stripe = 0; stripe < this.stripes.length; stripe++) {
			this.stripes[stripe] = new StripeState(nowMs, 1 + TAKEOVER_JITTER * random.nextDouble());
		}
	}

	/**
	 * Creates a scheduler for a host that holds no chunk yet.
	 * @param chunkCount number of chunks of the version
	 * @param self location of this host
	 * @param random source of jitter and random choices
	 * @param nowMs current time
	 * @return the scheduler
	 */
	public static ChunkScheduler create(int chunkCount, HostLocation self, Random random, long nowMs) {
		return new ChunkScheduler(chunkCount, self, random, nowMs);
	}

	/**
	 * Updates the live hosts.
	 * @param locations locations of the live hosts by name, including this host
	 * @param newAssignment assignment computed for the same hosts
	 * @param nowMs current time
	 */
	public void updateHosts(Map<String, HostLocation> locations, FetchAssignment newAssignment, long nowMs) {
		this.assignment = newAssignment;
		this.sources.updateHosts(locations).forEach((removed) -> recordLost(removed.chunks, nowMs));
		for (int stripe = 0; stripe < this.stripes.length; stripe++) {
			this.stripes[stripe].rank = newAssignment.rankedHosts(this.self.region(), stripe).indexOf(this.self.host());
		}
		this.peerSelector.updateHosts(locations.values());
	}

	/**
	 * Sets whether another host of the region holds the complete version. If so, no chunk
	 * is fetched from outside the region unless the stripe stalls.
	 * @param held true if another host holds the complete version
	 */
	public void setHeldInRegion(boolean held) {
		this.heldInRegion = held;
	}

	/**
	 * Returns the hosts whose chunk maps this host follows.
	 * @param nowMs current time
	 * @return names of hosts; empty once all chunks are held
	 */
	public Set<String> peersToFollow(long nowMs) {
		return (this.assignment == null || isComplete()) ? Set.of()
				: this.peerSelector.peersToFollow(this.assignment, this.stripes);
	}

	/**
	 * Adds chunks that a followed host holds.
	 * @param host name of the host
	 * @param chunks indexes of chunks
	 * @param nowMs current time
	 */
	public void addPeerChunks(String host, Iterable<Integer> chunks, long nowMs) {
		PeerState peer = this.sources.peer(host);
		if (peer == null) {
			return;
		}
		boolean inRegion = this.sources.isInRegion(peer);
		for (int chunk : chunks) {
			if (chunk >= 0 && chunk < this.chunkCount) {
				peer.chunks.set(chunk);
				if (peer.isReliable(nowMs)) {
					recordSeen(chunk, inRegion, nowMs);
				}
			}
		}
	}

	private void recordSeen(int chunk, boolean inRegion, long nowMs) {
		StripeState stripe = this.stripes[FetchAssignment.stripe(chunk)];
		if (!inRegion) {
			if (!this.seenOutsideRegion.get(chunk) && !this.seenInRegion.get(chunk)) {
				this.seenOutsideRegion.set(chunk);
				stripe.startWaiting(nowMs);
			}
			return;
		}
		this.lostSinceMs.remove(chunk);
		if (!this.seenInRegion.get(chunk)) {
			this.seenInRegion.set(chunk);
			stripe.recordProgress(nowMs);
			stripe.takenOver = stripe.takenOver && this.heldChunks.get(chunk);
		}
	}

	/**
	 * Discards the chunk map of a host after its map stream was interrupted.
	 * @param host name of the host
	 * @param nowMs current time
	 */
	public void clearPeerChunks(String host, long nowMs) {
		PeerState peer = this.sources.peer(host);
		if (peer != null) {
			BitSet lost = (BitSet) peer.chunks.clone();
			peer.chunks.clear();
			recordLost(lost, nowMs);
		}
		this.peerSelector.removePeer(host);
	}

	/**
	 * Marks a chunk as held and verified.
	 * @param chunk index of the chunk
	 * @param nowMs current time
	 */
	public void markHeld(int chunk, long nowMs) {
		this.heldChunks.set(chunk);
		this.lostSinceMs.remove(chunk);
		if (!this.seenInRegion.get(chunk)) {
			this.seenInRegion.set(chunk);
			this.stripes[FetchAssignment.stripe(chunk)].recordProgress(nowMs);
		}
	}

	/**
	 * Returns the fetches to start now. Each must be ended by {@link #fetchSucceeded} or
	 * {@link #fetchFailed}.
	 * @param nowMs current time
	 * @return the fetches
	 */
	public List<Fetch> nextFetches(long nowMs) {
		List<Fetch> fetches = new ArrayList<>();
		if (this.assignment == null || isComplete()) {
			return fetches;
		}
		for (int slot = 0; slot < this.stripes.length * MAX_FETCHES_PER_STRIPE; slot++) {
			int stripe = slot % this.stripes.length;
			Fetch assigned = nextAssignedFetch(stripe, nowMs);
			Fetch fetch = (assigned != null) ? assigned : nextLostChunkFetch(stripe, nowMs);
			if (fetch != null) {
				fetches.add(startFetch(fetch));
				this.stripes[stripe].activeFetches++;
			}
		}
		// Assigned fetches together take one slot of the peer fetches.
		int peerSlots = MAX_PEER_FETCHES - (hasAssignedFetch() ? 1 : 0);
		while (this.activePeerFetches < peerSlots) {
			Fetch fetch = nextPeerFetch(nowMs);
			if (fetch == null) {
				break;
			}
			fetches.add(startFetch(fetch));
			this.activePeerFetches++;
		}
		return fetches;
	}

	private Fetch startFetch(Fetch fetch) {
		this.inFlight.set(fetch.chunk());
		PeerState peer = this.sources.peer(fetch.source());
		if (peer != null) {
			peer.activeFetches++;
		}
		return fetch;
	}

	private Fetch nextAssignedFetch(int stripeIndex, long nowMs) {
		StripeState stripe = this.stripes[stripeIndex];
		boolean seedsFromOrigin = this.self.region().equals(this.assignment.seedRegion(stripeIndex));
		if (stripe.rank < 0 || stripe.activeFetches >= MAX_FETCHES_PER_STRIPE
				|| !isResponsibleFor(stripe, seedsFromOrigin, nowMs)) {
			return null;
		}
		boolean originFallback = stripe.isStalledFor(nowMs, stripe.takeoverPeriods() + ORIGIN_FALLBACK_PERIODS);
		for (int chunk = stripeIndex; chunk < this.chunkCount; chunk += FetchAssignment.STRIPES) {
			if (this.seenInRegion.get(chunk) || this.inFlight.get(chunk)) {
				continue;
			}
			PeerState source = seedsFromOrigin ? null : this.sources.choose(chunk, false, nowMs);
			if (source != null) {
				return new Fetch(chunk, source.location.host(), true);
			}
			if ((seedsFromOrigin || originFallback) && this.originBackoff.hasElapsed(nowMs)) {
				return new Fetch(chunk, "", true);
			}
		}
		return null;
	}

	private boolean hasAssignedFetch() {
		for (StripeState stripe : this.stripes) {
			if (stripe.activeFetches > 0) {
				return true;
			}
		}
		return false;
	}

	// Fetches a chunk that was seen in the region but whose holders there left, failed or
	// are backed off.
	private Fetch nextLostChunkFetch(int stripeIndex, long nowMs) {
		StripeState stripe = this.stripes[stripeIndex];
		if (this.lostSinceMs.isEmpty() || stripe.rank < 0 || stripe.activeFetches >= MAX_FETCHES_PER_STRIPE) {
			return null;
		}
		for (Map.Entry<Integer, Long> lost : this.lostSinceMs.entrySet()) {
			int chunk = lost.getKey();
			boolean due = nowMs - lost.getValue() >= StripeState.MIN_STALL_PERIOD_MS * (1 + stripe.takeoverPeriods())
					* stripe.jitter;
			if (FetchAssignment.stripe(chunk) != stripeIndex || !due || this.inFlight.get(chunk)) {
				continue;
			}
			PeerState outside = this.sources.choose(chunk, false, nowMs);
			if (outside != null) {
				return new Fetch(chunk, outside.location.host(), true);
			}
			if (this.originBackoff.hasElapsed(nowMs)) {
				return new Fetch(chunk, "", true);
			}
		}
		return null;
	}

	private void recordLost(BitSet chunks, long nowMs) {
		for (int chunk = chunks.nextSetBit(0); chunk >= 0; chunk = chunks.nextSetBit(chunk + 1)) {
			if (this.seenInRegion.get(chunk) && !this.heldChunks.get(chunk)
					&& !this.sources.isHeldInRegion(chunk, nowMs)) {
				this.lostSinceMs.putIfAbsent(chunk, nowMs);
			}
		}
	}

	// Returns whether this host fetches the stripe, and records a takeover that is due.
	private boolean isResponsibleFor(StripeState stripe, boolean fromOrigin, long nowMs) {
		if (this.heldInRegion && !stripe.isStalledFor(nowMs, 1 + stripe.takeoverPeriods())) {
			return false;
		}
		if (stripe.rank > 0 && !stripe.takenOver) {
			stripe.takenOver = stripe.isStalledFor(nowMs, stripe.takeoverPeriods())
					|| (fromOrigin && stripe.isStalledForIdleHost(nowMs) && !hasAssignedFetch());
		}
		return stripe.rank == 0 || stripe.takenOver;
	}

	private Fetch nextPeerFetch(long nowMs) {
		BitSet excluded = (BitSet) this.heldChunks.clone();
		excluded.or(this.inFlight);
		int chunk = this.sources.rarestChunk(excluded, nowMs);
		if (chunk < 0) {
			return null;
		}
		return new Fetch(chunk, this.sources.choose(chunk, true, nowMs).location.host(), false);
	}

	/**
	 * Ends a fetch whose chunk was verified and stored.
	 * @param fetch the fetch
	 * @param nowMs current time
	 */
	public void fetchSucceeded(Fetch fetch, long nowMs) {
		endFetch(fetch);
		markHeld(fetch.chunk(), nowMs);
		if (fetch.fromOrigin()) {
			this.originBackoff.reset();
		}
		PeerState peer = this.sources.peer(fetch.source());
		if (peer != null) {
			peer.retryBackoff.reset();
			peer.consecutiveFailures = 0;
		}
	}

	/**
	 * Ends a fetch that failed.
	 * @param fetch the fetch
	 * @param failure reason of the failure
	 * @param nowMs current time
	 */
	public void fetchFailed(Fetch fetch, Fetch.Failure failure, long nowMs) {
		endFetch(fetch);
		PeerState peer = this.sources.peer(fetch.source());
		if (fetch.fromOrigin()) {
			this.originBackoff.recordFailure(nowMs, this.random);
		}
		if (peer == null) {
			return;
		}
		switch (failure) {
			case BUSY -> peer.retryBackoff.pauseFor(nowMs, BUSY_PAUSE_MS, this.random);
			case MISSING -> {
				peer.chunks.clear(fetch.chunk());
				BitSet lost = new BitSet();
				lost.set(fetch.chunk());
				recordLost(lost, nowMs);
			}
			case CORRUPT -> {
				peer.corruptBackoff.recordFailure(nowMs, this.random);
				recordLost(peer.chunks, nowMs);
			}
			default -> {
				peer.retryBackoff.recordFailure(nowMs, this.random);
				peer.consecutiveFailures++;
				recordLost(peer.chunks, nowMs);
			}
		}
	}

	private void endFetch(Fetch fetch) {
		this.inFlight.clear(fetch.chunk());
		PeerState peer = this.sources.peer(fetch.source());
		if (peer != null && peer.activeFetches > 0) {
			peer.activeFetches--;
		}
		if (fetch.assigned()) {
			this.stripes[FetchAssignment.stripe(fetch.chunk())].activeFetches--;
		}
		else {
			this.activePeerFetches--;
		}
	}

	/** Allows the next fetch from the origin at once, because it is known to answer. */
	public void originAnswered() {
		this.originBackoff.reset();
	}

	/**
	 * Returns whether a fetch from a peer may start now.
	 * @param host name of the peer
	 * @param nowMs current time
	 * @return false if the peer is unknown or backing off
	 */
	public boolean isUsable(String host, long nowMs) {
		PeerState peer = this.sources.peer(host);
		return peer != null && peer.isUsable(nowMs);
	}

	/**
	 * Returns the number of chunks held.
	 * @return number of chunks
	 */
	public int heldCount() {
		return this.heldChunks.cardinality();
	}

	/**
	 * Returns whether all chunks are held.
	 * @return true if no chunk is missing
	 */
	public boolean isComplete() {
		return heldCount() == this.chunkCount;
	}

	@Override
	public String toString() {
		return this.self.host() + " holds " + heldCount() + " of " + this.chunkCount + ", in flight " + this.inFlight
				+ ", peer fetches " + this.activePeerFetches + ", lost " + this.lostSinceMs.keySet() + ", stripes "
				+ List.of(this.stripes);
	}

}
