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
 * Chooses whose chunk maps a host follows: a few hosts of its zone and region at random,
 * which together make a random graph of small diameter, and those that its duties depend
 * on. Used by one thread.
 */
final class PeerSelector {

	private static final int ZONE_PEERS = 6;

	private static final int REGION_PEERS = 2;

	private static final int CROSS_REGION_PEERS = 3;

	private static final int FOLLOWED_RANKS = 2;

	private final HostLocation self;

	private final Random random;

	private final Set<String> zonePeers = new LinkedHashSet<>();

	private final Set<String> regionPeers = new LinkedHashSet<>();

	private final Set<String> crossRegionPeers = new LinkedHashSet<>();

	private Collection<HostLocation> liveHosts = List.of();

	/** Sets that were filled since the last change and need no other look. */
	private final Set<Set<String>> filledSets = Collections.newSetFromMap(new IdentityHashMap<>());

	PeerSelector(HostLocation self, Random random) {
		this.self = self;
		this.random = random;
	}

	void updateHosts(Collection<HostLocation> places) {
		Set<String> names = new HashSet<>();
		places.forEach((place) -> names.add(place.host()));
		this.liveHosts = places;
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

	Set<String> peersToFollow(FetchAssignment duty, StripeState[] lanes) {
		fill(this.zonePeers, ZONE_PEERS, (place) -> place.zone().equals(this.self.zone()));
		fill(this.regionPeers, REGION_PEERS,
				(place) -> place.region().equals(this.self.region()) && !place.zone().equals(this.self.zone()));
		Set<String> follow = new HashSet<>(this.zonePeers);
		follow.addAll(this.regionPeers);
		for (int lane = 0; lane < lanes.length; lane++) {
			if (lanes[lane].rank > FOLLOWED_RANKS && !lanes[lane].takenOver || lanes[lane].rank < 0) {
				continue;
			}
			follow.addAll(firstOf(duty.rankedHosts(this.self.region(), lane), FOLLOWED_RANKS));
			if (!this.self.region().equals(duty.seedRegion(lane))) {
				addPeersOutsideRegion(duty, lane, follow);
			}
		}
		follow.remove(this.self.host());
		return follow;
	}

	private void addPeersOutsideRegion(FetchAssignment duty, int lane, Set<String> follow) {
		follow.addAll(firstOf(duty.rankedHosts(duty.seedRegion(lane), lane), FOLLOWED_RANKS));
		for (String other : duty.regions()) {
			if (!other.equals(this.self.region())) {
				follow.addAll(firstOf(duty.rankedHosts(other, lane), 1));
			}
		}
		fill(this.crossRegionPeers, CROSS_REGION_PEERS, (place) -> place.region().equals(duty.seedRegion(lane)));
		follow.addAll(this.crossRegionPeers);
	}

	private static List<String> firstOf(List<String> names, int count) {
		return names.subList(0, Math.min(count, names.size()));
	}

	private void fill(Set<String> chosen, int count, java.util.function.Predicate<HostLocation> fits) {
		if (!this.filledSets.add(chosen) || chosen.size() >= count) {
			return;
		}
		List<String> others = new ArrayList<>();
		for (HostLocation place : this.liveHosts) {
			if (fits.test(place) && !place.host().equals(this.self.host()) && !chosen.contains(place.host())) {
				others.add(place.host());
			}
		}
		Collections.shuffle(others, this.random);
		chosen.addAll(firstOf(others, count - chosen.size()));
	}

}
