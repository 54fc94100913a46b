package org.wigeontally.weights;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * The peers of one host with the chunks that each holds. Selects the peer that a chunk is
 * fetched from and the chunk that is rarest among the peers of the region.
 *
 * <p>
 * Load pattern: all hosts of a region fetch the same version at once, on links that are
 * slow compared with its size. A host fetches one chunk at a time from each peer and from
 * several peers at once. Two fetches from one peer share that peer's link while another
 * peer's link is idle. Not thread-safe.
 */
final class ChunkSources {

	private static final int MAX_FETCHES_PER_PEER = 1;

	private final HostLocation self;

	private final Random random;

	private final Map<String, PeerState> peers = new HashMap<>();

	ChunkSources(HostLocation self, Random random) {
		this.self = self;
		this.random = random;
	}

	// Adds new peers, and removes and returns those that are no longer live.
	List<PeerState> updateHosts(Map<String, HostLocation> locations) {
		List<PeerState> removed = new ArrayList<>();
		for (String host : List.copyOf(this.peers.keySet())) {
			if (!locations.containsKey(host)) {
				removed.add(this.peers.remove(host));
			}
		}
		for (HostLocation location : locations.values()) {
			if (!location.host().equals(this.self.host())) {
				this.peers.computeIfAbsent(location.host(), (host) -> new PeerState(location));
			}
		}
		return removed;
	}

	// Returns null for a host that is not a live peer.
	PeerState peer(String host) {
		return this.peers.get(host);
	}

	boolean isInRegion(PeerState peer) {
		return peer.location.region().equals(this.self.region());
	}

	boolean isHeldInRegion(int chunk, long nowMs) {
		for (PeerState peer : this.peers.values()) {
			if (isInRegion(peer) && peer.chunks.get(chunk) && peer.isReliable(nowMs)) {
				return true;
			}
		}
		return false;
	}

	// Returns null if no peer is free that holds the chunk.
	PeerState choose(int chunk, boolean inRegion, long nowMs) {
		PeerState best = null;
		double lowestScore = Double.MAX_VALUE;
		for (PeerState peer : this.peers.values()) {
			if (isInRegion(peer) != inRegion || !peer.chunks.get(chunk) || !isFree(peer, nowMs)) {
				continue;
			}
			double score = this.random.nextDouble() / 2 + (peer.location.zone().equals(this.self.zone()) ? 0 : 1);
			if (score < lowestScore) {
				best = peer;
				lowestScore = score;
			}
		}
		return best;
	}

	// Returns the chunk that the fewest free peers of the region hold, or -1 if they hold
	// none but the excluded ones. Ties are broken at random.
	int rarestChunk(BitSet excluded, long nowMs) {
		BitSet candidates = new BitSet();
		List<PeerState> freePeers = new ArrayList<>();
		for (PeerState peer : this.peers.values()) {
			if (isInRegion(peer) && !peer.chunks.isEmpty() && isFree(peer, nowMs)) {
				freePeers.add(peer);
				candidates.or(peer.chunks);
			}
		}
		candidates.andNot(excluded);
		int rarest = -1;
		int fewestHolders = Integer.MAX_VALUE;
		int ties = 0;
		for (int chunk = candidates.nextSetBit(0); chunk >= 0; chunk = candidates.nextSetBit(chunk + 1)) {
			int holders = holders(chunk, freePeers);
			ties = (holders == fewestHolders) ? ties + 1 : 1;
			if (holders < fewestHolders || holders == fewestHolders && this.random.nextInt(ties) == 0) {
				rarest = chunk;
				fewestHolders = holders;
			}
		}
		return rarest;
	}

	private static int holders(int chunk, Collection<PeerState> peers) {
		int holders = 0;
		for (PeerState peer : peers) {
			holders += peer.chunks.get(chunk) ? 1 : 0;
		}
		return holders;
	}

	private static boolean isFree(PeerState peer, long nowMs) {
		return peer.activeFetches < MAX_FETCHES_PER_PEER && peer.isUsable(nowMs);
	}

}
