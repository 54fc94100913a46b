package org.wigeontally.weights;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;

/**
 * Selects the peers whose chunk maps a host follows: a few random hosts of its
 * availability zone and region, which together form a random graph of small diameter, and
 * the hosts that its assigned fetches depend on. Not thread-safe.
 */
final class PeerSelector {

	/** With few peers, a host falls behind whose peers are busy with others. */
	private static final int ZONE_PEERS = 8;

	private static final int REGION_PEERS = 4;

	private static final int CROSS_REGION_PEERS = 3;

	/** Number of first-ranked hosts of a stripe that are followed. */
	private static final int FOLLOWED_RANKS = 2;

	private final HostLocation self;

	private final Random random;

	private final Set<String> zonePeers = new LinkedHashSet<>();

	private final Set<String> regionPeers = new LinkedHashSet<>();

	private final Set<String> crossRegionPeers = new LinkedHashSet<>();

	private Collection<HostLocation> liveHosts = List.of();

	/** Sets that were filled since the last change of hosts and need no refill. */
	private final Set<Set<String>> filledSets = Collections.newSetFromMap(new IdentityHashMap<>());

	PeerSelector(HostLocation self, Random random) {
		this.self = self;
		this.random = random;
	}

	void updateHosts(Collection<HostLocation> locations) {
		Set<String> names = new HashSet<>();
		locations.forEach((location) -> names.add(location.host()));
		this.liveHosts = locations;
		this.filledSets.clear();
		this.zonePeers.retainAll(names);
		this.regionPeers.retainAll(names);
		this.crossRegionPeers.retainAll(names);
	}

	void removePeer(String host) {
		this.zonePeers.remove(host);
		this.regionPeers.remove(host);
		this.crossRegionPeers.remove(host);
		this.filledSets.clear();
	}

	Set<String> peersToFollow(FetchAssignment assignment, StripeState[] stripes) {
		fill(this.zonePeers, ZONE_PEERS, (location) -> location.zone().equals(this.self.zone()));
		fill(this.regionPeers, REGION_PEERS, (location) -> location.region().equals(this.self.region())
				&& !location.zone().equals(this.self.zone()));
		Set<String> followed = new HashSet<>(this.zonePeers);
		followed.addAll(this.regionPeers);
		for (int stripe = 0; stripe < stripes.length; stripe++) {
			if (stripes[stripe].rank > FOLLOWED_RANKS && !stripes[stripe].takenOver || stripes[stripe].rank < 0) {
				continue;
			}
			followed.addAll(firstOf(assignment.rankedHosts(this.self.region(), stripe), FOLLOWED_RANKS));
			if (!this.self.region().equals(assignment.seedRegion(stripe))) {
				addPeersOutsideRegion(assignment, stripe, followed);
			}
		}
		followed.remove(this.self.host());
		return followed;
	}

	private void addPeersOutsideRegion(FetchAssignment assignment, int stripe, Set<String> followed) {
		followed.addAll(firstOf(assignment.rankedHosts(assignment.seedRegion(stripe), stripe), FOLLOWED_RANKS));
		for (String otherRegion : assignment.regions()) {
			if (!otherRegion.equals(this.self.region())) {
				followed.addAll(firstOf(assignment.rankedHosts(otherRegion, stripe), 1));
			}
		}
		fill(this.crossRegionPeers, CROSS_REGION_PEERS,
				(location) -> location.region().equals(assignment.seedRegion(stripe)));
		followed.addAll(this.crossRegionPeers);
	}

	private static List<String> firstOf(List<String> names, int count) {
		return names.subList(0, Math.min(count, names.size()));
	}

	private void fill(Set<String> chosen, int count, java.util.function.Predicate<HostLocation> eligible) {
		if (!this.filledSets.add(chosen) || chosen.size() >= count) {
			return;
		}
		List<String> candidates = new ArrayList<>();
		for (HostLocation location : this.liveHosts) {
			if (eligible.test(location) && !location.host().equals(this.self.host())
					&& !chosen.contains(location.host())) {
				candidates.add(location.host());
			}
		}
		Collections.shuffle(candidates, this.random);
		chosen.addAll(firstOf(candidates, count - chosen.size()));
	}

}
