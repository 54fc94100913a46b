package org.wigeontally.weights;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/**
 * Decides for one version on one host which chunk to fetch next and from whom.
 *
 * <p>
 * The problem: the origin and the borders between regions can carry about one copy in the
 * time the spread may take, so almost every byte must come from a peer nearby, while no
 * host is in charge and any may die. The idea: a chunk enters a region by a <em>duty</em>
 * fetch of the one host that {@link FetchDuty} ranks first for the chunk's lane, from the
 * origin in the origin's region and from a host over the border elsewhere. Inside the
 * region each host follows the chunk maps of a few peers and fetches rarest chunks first
 * from whichever of them has one, its own zone before others. The number of peers
 * followed does not grow with the number of hosts, so neither does control traffic.
 *
 * <p>
 * Take-over: the host of rank {@code r} starts on a lane that has made no progress in the
 * region, as far as it sees, for {@code r} jittered periods, and stops when somebody else
 * makes progress. A region that no border source serves goes to the origin in the end.
 *
 * <p>
 * Invariants: a chunk is in flight at most once per host; a lane has at most one duty
 * fetch per host; a source that is shunned, backing off or has no such chunk is never
 * chosen. Nothing here trusts a peer: bytes are verified by {@link ChunkStore}. Used by
 * one thread, the control thread.
 */
public final class ChunkScheduler {

	/** More at once fill the queue of the own link, where requests wait behind them. */
	private static final int PEER_FETCHES = 2;

	private static final int LANE_FETCHES = 1;

	private static final int FETCHES_PER_PEER = 2;

	private static final long BUSY_MS = 80;

	private static final double TAKEOVER_JITTER = 0.5;

	private static final int ORIGIN_FALLBACK_STEPS = 3;

	private static final long ORIGIN_RETRY_FIRST_MS = 200;

	private static final long ORIGIN_RETRY_MOST_MS = 5000;

	private final int chunkCount;

	private final HostPlace self;

	private final Random random;

	private final BitSet have = new BitSet();

	private final BitSet inFlight = new BitSet();

	/** Chunks that this host, or a followed host of the region, was seen to hold. */
	private final BitSet seenInRegion = new BitSet();

	private final BitSet seenOutside = new BitSet();

	private final Map<String, PeerChunks> peers = new HashMap<>();

	/** Chunks that no known host of the region holds any more, and since when. */
	private final Map<Integer, Long> lostSinceMs = new HashMap<>();

	private final Lane[] lanes = new Lane[FetchDuty.LANES];

	private final Neighbours neighbours;

	private final Backoff origin = new Backoff(ORIGIN_RETRY_FIRST_MS, ORIGIN_RETRY_MOST_MS);

	private FetchDuty duty;

	private boolean heldNearby;

	private int peerFetches;

	private ChunkScheduler(int chunkCount, HostPlace self, Random random, long nowMs) {
		this.chunkCount = chunkCount;
		this.self = self;
		this.random = random;
		this.neighbours = new Neighbours(self, random);
		for (int lane = 0; lane < this.lanes.length; lane++) {
			this.lanes[lane] = new Lane(nowMs, 1 + TAKEOVER_JITTER * random.nextDouble());
		}
	}

	/**
	 * Creates a scheduler that holds nothing yet.
	 * @param chunkCount number of chunks of the version
	 * @param self place of this host
	 * @param random source of jitter and choices
	 * @param nowMs current time
	 * @return the scheduler
	 */
	public static ChunkScheduler create(int chunkCount, HostPlace self, Random random, long nowMs) {
		return new ChunkScheduler(chunkCount, self, random, nowMs);
	}

	/**
	 * Takes in who is live.
	 * @param places live hosts, the own one among them
	 * @param newDuty duties ranked over the same hosts
	 * @param nowMs current time
	 */
	public void hosts(Map<String, HostPlace> places, FetchDuty newDuty, long nowMs) {
		this.duty = newDuty;
		for (String gone : List.copyOf(this.peers.keySet())) {
			if (!places.containsKey(gone)) {
				noteLost(this.peers.remove(gone).chunks, nowMs);
			}
		}
		for (HostPlace place : places.values()) {
			if (!place.host().equals(this.self.host())) {
				this.peers.computeIfAbsent(place.host(), (host) -> new PeerChunks(place));
			}
		}
		for (int lane = 0; lane < this.lanes.length; lane++) {
			this.lanes[lane].rank = newDuty.order(this.self.region(), lane).indexOf(this.self.host());
		}
		this.neighbours.hosts(places.values());
	}

	/**
	 * Says whether another host of the region holds the whole version. Then nothing has
	 * to come into the region, unless that host turns out not to give any.
	 * @param held true if one does
	 */
	public void heldNearby(boolean held) {
		this.heldNearby = held;
	}

	/**
	 * Says whose chunk maps to follow.
	 * @param nowMs current time
	 * @return names of hosts; empty once all chunks are held
	 */
	public Set<String> toFollow(long nowMs) {
		return (this.duty == null || complete()) ? Set.of() : this.neighbours.toFollow(this.duty, this.lanes);
	}

	/**
	 * Takes in chunks that a followed host holds.
	 * @param host the host
	 * @param chunks indexes of chunks
	 * @param nowMs current time
	 */
	public void mapAdded(String host, Iterable<Integer> chunks, long nowMs) {
		PeerChunks peer = this.peers.get(host);
		if (peer == null) {
			return;
		}
		boolean inRegion = peer.place.region().equals(this.self.region());
		for (int chunk : chunks) {
			if (chunk >= 0 && chunk < this.chunkCount) {
				peer.chunks.set(chunk);
				if (peer.counts(nowMs)) {
					seen(chunk, inRegion, nowMs);
				}
			}
		}
	}

	private void seen(int chunk, boolean inRegion, long nowMs) {
		Lane lane = this.lanes[FetchDuty.lane(chunk)];
		if (!inRegion) {
			if (!this.seenOutside.get(chunk) && !this.seenInRegion.get(chunk)) {
				this.seenOutside.set(chunk);
				lane.waiting(nowMs);
			}
			return;
		}
		this.lostSinceMs.remove(chunk);
		if (!this.seenInRegion.get(chunk)) {
			this.seenInRegion.set(chunk);
			lane.progress(nowMs);
			lane.takenOver = lane.takenOver && this.have.get(chunk);
		}
	}

	/**
	 * Forgets what a host holds, as its map stream broke off.
	 * @param host the host
	 * @param nowMs current time
	 */
	public void mapLost(String host, long nowMs) {
		PeerChunks peer = this.peers.get(host);
		if (peer != null) {
			BitSet lost = (BitSet) peer.chunks.clone();
			peer.chunks.clear();
			noteLost(lost, nowMs);
		}
		this.neighbours.lost(host);
	}

	/**
	 * Marks a chunk as held and verified.
	 * @param chunk index of the chunk
	 * @param nowMs current time
	 */
	public void hold(int chunk, long nowMs) {
		this.have.set(chunk);
		this.lostSinceMs.remove(chunk);
		if (!this.seenInRegion.get(chunk)) {
			this.seenInRegion.set(chunk);
			this.lanes[FetchDuty.lane(chunk)].progress(nowMs);
		}
	}

	/**
	 * Chooses fetches to start now; each must be ended by {@link #done} or
	 * {@link #failed}.
	 * @param nowMs current time
	 * @return the fetches
	 */
	public List<Fetch> next(long nowMs) {
		List<Fetch> fetches = new ArrayList<>();
		if (this.duty == null || complete()) {
			return fetches;
		}
		for (int slot = 0; slot < this.lanes.length * LANE_FETCHES; slot++) {
			int lane = slot % this.lanes.length;
			Fetch duties = dutyFetch(lane, nowMs);
			Fetch fetch = (duties != null) ? duties : lostFetch(lane, nowMs);
			if (fetch != null) {
				fetches.add(start(fetch));
				this.lanes[lane].fetches++;
			}
		}
		while (this.peerFetches < PEER_FETCHES - dutyFetches()) {
			Fetch fetch = peerFetch(nowMs);
			if (fetch == null) {
				break;
			}
			fetches.add(start(fetch));
			this.peerFetches++;
		}
		return fetches;
	}

	private int dutyFetches() {
		int fetches = 0;
		for (Lane lane : this.lanes) {
			fetches += lane.fetches;
		}
		return Math.min(fetches, 1);
	}

	private Fetch start(Fetch fetch) {
		this.inFlight.set(fetch.chunk());
		PeerChunks peer = this.peers.get(fetch.source());
		if (peer != null) {
			peer.fetches++;
		}
		return fetch;
	}

	private Fetch dutyFetch(int number, long nowMs) {
		Lane lane = this.lanes[number];
		if (lane.rank < 0 || lane.fetches >= LANE_FETCHES || !onDuty(lane, nowMs)) {
			return null;
		}
		boolean atOrigin = this.self.region().equals(this.duty.entryRegion(number));
		boolean fallBack = lane.stalledFor(nowMs, lane.steps() + ORIGIN_FALLBACK_STEPS);
		for (int chunk = number; chunk < this.chunkCount; chunk += FetchDuty.LANES) {
			if (this.seenInRegion.get(chunk) || this.inFlight.get(chunk)) {
				continue;
			}
			PeerChunks source = atOrigin ? null : source(chunk, false, nowMs);
			if (source != null) {
				return new Fetch(chunk, source.place.host(), true);
			}
			if ((atOrigin || fallBack) && this.origin.open(nowMs)) {
				return new Fetch(chunk, "", true);
			}
		}
		return null;
	}

	// Chunks once seen in the region whose holders are gone, dead or shunned.
	private Fetch lostFetch(int number, long nowMs) {
		Lane lane = this.lanes[number];
		if (this.lostSinceMs.isEmpty() || lane.rank < 0 || lane.fetches >= LANE_FETCHES) {
			return null;
		}
		for (Map.Entry<Integer, Long> lost : this.lostSinceMs.entrySet()) {
			int chunk = lost.getKey();
			boolean due = nowMs - lost.getValue() >= Lane.TAKEOVER_MS * (1 + lane.steps()) * lane.jitter;
			if (FetchDuty.lane(chunk) != number || !due || this.inFlight.get(chunk)) {
				continue;
			}
			PeerChunks outside = source(chunk, false, nowMs);
			if (outside != null) {
				return new Fetch(chunk, outside.place.host(), true);
			}
			if (this.origin.open(nowMs)) {
				return new Fetch(chunk, "", true);
			}
		}
		return null;
	}

	private void noteLost(BitSet chunks, long nowMs) {
		for (int chunk = chunks.nextSetBit(0); chunk >= 0; chunk = chunks.nextSetBit(chunk + 1)) {
			if (this.seenInRegion.get(chunk) && !this.have.get(chunk) && !heldNearby(chunk, nowMs)) {
				this.lostSinceMs.putIfAbsent(chunk, nowMs);
			}
		}
	}

	private boolean heldNearby(int chunk, long nowMs) {
		for (PeerChunks peer : this.peers.values()) {
			if (local(peer) && peer.chunks.get(chunk) && peer.counts(nowMs)) {
				return true;
			}
		}
		return false;
	}

	private boolean onDuty(Lane lane, long nowMs) {
		if (this.heldNearby && !lane.stalledFor(nowMs, 1 + lane.steps())) {
			return false;
		}
		if (lane.rank > 0 && !lane.takenOver) {
			lane.takenOver = lane.stalledFor(nowMs, lane.steps());
		}
		return lane.rank == 0 || lane.takenOver;
	}

	private Fetch peerFetch(long nowMs) {
		BitSet candidates = new BitSet(this.chunkCount);
		List<PeerChunks> usable = new ArrayList<>();
		for (PeerChunks peer : this.peers.values()) {
			if (local(peer) && peer.fetches < FETCHES_PER_PEER && !peer.chunks.isEmpty() && peer.usable(nowMs)) {
				usable.add(peer);
				candidates.or(peer.chunks);
			}
		}
		candidates.andNot(this.have);
		candidates.andNot(this.inFlight);
		int chunk = rarest(candidates, usable);
		if (chunk < 0) {
			return null;
		}
		return new Fetch(chunk, source(chunk, true, nowMs).place.host(), false);
	}

	private int rarest(BitSet candidates, List<PeerChunks> usable) {
		int best = -1;
		int fewest = Integer.MAX_VALUE;
		int ties = 0;
		for (int chunk = candidates.nextSetBit(0); chunk >= 0; chunk = candidates.nextSetBit(chunk + 1)) {
			int holders = 0;
			for (PeerChunks peer : usable) {
				holders += peer.chunks.get(chunk) ? 1 : 0;
			}
			ties = (holders == fewest) ? ties + 1 : 1;
			if (holders < fewest || holders == fewest && this.random.nextInt(ties) == 0) {
				best = chunk;
				fewest = holders;
			}
		}
		return best;
	}

	private PeerChunks source(int chunk, boolean inRegion, long nowMs) {
		PeerChunks best = null;
		double lowest = Double.MAX_VALUE;
		for (PeerChunks peer : this.peers.values()) {
			if (local(peer) != inRegion || !peer.chunks.get(chunk) || peer.fetches >= FETCHES_PER_PEER
					|| !peer.usable(nowMs)) {
				continue;
			}
			double score = peer.fetches + this.random.nextDouble() / 2
					+ (peer.place.zone().equals(this.self.zone()) ? 0 : FETCHES_PER_PEER);
			if (score < lowest) {
				best = peer;
				lowest = score;
			}
		}
		return best;
	}

	private boolean local(PeerChunks peer) {
		return peer.place.region().equals(this.self.region());
	}

	/**
	 * Ends a fetch whose chunk was verified and is held.
	 * @param fetch the fetch
	 * @param nowMs current time
	 */
	public void done(Fetch fetch, long nowMs) {
		end(fetch);
		hold(fetch.chunk(), nowMs);
		if (fetch.fromOrigin()) {
			this.origin.succeeded();
		}
		PeerChunks peer = this.peers.get(fetch.source());
		if (peer != null) {
			peer.retry.succeeded();
			peer.failures = 0;
		}
	}

	/**
	 * Ends a fetch that failed.
	 * @param fetch the fetch
	 * @param failure how it failed
	 * @param nowMs current time
	 */
	public void failed(Fetch fetch, Fetch.Failure failure, long nowMs) {
		end(fetch);
		PeerChunks peer = this.peers.get(fetch.source());
		if (fetch.fromOrigin()) {
			this.origin.failed(nowMs, this.random);
		}
		if (peer == null) {
			return;
		}
		switch (failure) {
			case BUSY -> peer.retry.pause(nowMs, BUSY_MS, this.random);
			case MISSING -> {
				peer.chunks.clear(fetch.chunk());
				BitSet lost = new BitSet();
				lost.set(fetch.chunk());
				noteLost(lost, nowMs);
			}
			case CORRUPT -> {
				peer.shun.failed(nowMs, this.random);
				noteLost(peer.chunks, nowMs);
			}
			default -> {
				peer.retry.failed(nowMs, this.random);
				peer.failures++;
				noteLost(peer.chunks, nowMs);
			}
		}
	}

	private void end(Fetch fetch) {
		this.inFlight.clear(fetch.chunk());
		PeerChunks peer = this.peers.get(fetch.source());
		if (peer != null && peer.fetches > 0) {
			peer.fetches--;
		}
		if (fetch.duty()) {
			this.lanes[FetchDuty.lane(fetch.chunk())].fetches--;
		}
		else {
			this.peerFetches--;
		}
	}

	/**
	 * Tells whether a source may be asked now.
	 * @param host name of a peer
	 * @param nowMs current time
	 * @return false if it is shunned, backing off or unknown
	 */
	public boolean usable(String host, long nowMs) {
		PeerChunks peer = this.peers.get(host);
		return peer != null && peer.usable(nowMs);
	}

	/**
	 * Returns the chunks held.
	 * @return number of chunks
	 */
	public int held() {
		return this.have.cardinality();
	}

	/**
	 * Tells whether all chunks are held.
	 * @return true if nothing is missing
	 */
	public boolean complete() {
		return held() == this.chunkCount;
	}

	@Override
	public String toString() {
		return this.self.host() + " holds " + held() + " of " + this.chunkCount + ", in flight " + this.inFlight
				+ ", peer fetches " + this.peerFetches + ", lost " + this.lostSinceMs.keySet() + ", lanes "
				+ List.of(this.lanes);
	}

}
