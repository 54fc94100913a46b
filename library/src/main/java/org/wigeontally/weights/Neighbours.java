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
final class Neighbours {

	private static final int IN_ZONE = 6;

	private static final int IN_REGION = 2;

	private static final int OVER_BORDER = 3;

	private static final int WATCHED_RANKS = 2;

	private final HostPlace self;

	private final Random random;

	private final Set<String> zone = new LinkedHashSet<>();

	private final Set<String> region = new LinkedHashSet<>();

	private final Set<String> border = new LinkedHashSet<>();

	private Collection<HostPlace> live = List.of();

	/** Sets that were filled since the last change and need no other look. */
	private final Set<Set<String>> filled = Collections.newSetFromMap(new IdentityHashMap<>());

	Neighbours(HostPlace self, Random random) {
		this.self = self;
		this.random = random;
	}

	void hosts(Collection<HostPlace> places) {
		Set<String> names = new HashSet<>();
		places.forEach((place) -> names.add(place.host()));
		this.live = places;
		this.filled.clear();
		this.zone.retainAll(names);
		this.region.retainAll(names);
		this.border.retainAll(names);
	}

	void lost(String host) {
		this.zone.remove(host);
		this.region.remove(host);
		this.border.remove(host);
		this.filled.clear();
	}

	Set<String> toFollow(FetchDuty duty, Lane[] lanes) {
		fill(this.zone, IN_ZONE, (place) -> place.zone().equals(this.self.zone()));
		fill(this.region, IN_REGION,
				(place) -> place.region().equals(this.self.region()) && !place.zone().equals(this.self.zone()));
		Set<String> follow = new HashSet<>(this.zone);
		follow.addAll(this.region);
		for (int lane = 0; lane < lanes.length; lane++) {
			if (lanes[lane].rank > WATCHED_RANKS && !lanes[lane].takenOver || lanes[lane].rank < 0) {
				continue;
			}
			follow.addAll(firstOf(duty.order(this.self.region(), lane), WATCHED_RANKS));
			if (!this.self.region().equals(duty.entryRegion(lane))) {
				followOutside(duty, lane, follow);
			}
		}
		follow.remove(this.self.host());
		return follow;
	}

	private void followOutside(FetchDuty duty, int lane, Set<String> follow) {
		follow.addAll(firstOf(duty.order(duty.entryRegion(lane), lane), WATCHED_RANKS));
		for (String other : duty.regions()) {
			if (!other.equals(this.self.region())) {
				follow.addAll(firstOf(duty.order(other, lane), 1));
			}
		}
		fill(this.border, OVER_BORDER, (place) -> place.region().equals(duty.entryRegion(lane)));
		follow.addAll(this.border);
	}

	private static List<String> firstOf(List<String> names, int count) {
		return names.subList(0, Math.min(count, names.size()));
	}

	private void fill(Set<String> chosen, int count, java.util.function.Predicate<HostPlace> fits) {
		if (!this.filled.add(chosen) || chosen.size() >= count) {
			return;
		}
		List<String> others = new ArrayList<>();
		for (HostPlace place : this.live) {
			if (fits.test(place) && !place.host().equals(this.self.host()) && !chosen.contains(place.host())) {
				others.add(place.host());
			}
		}
		Collections.shuffle(others, this.random);
		chosen.addAll(firstOf(others, count - chosen.size()));
	}

}
