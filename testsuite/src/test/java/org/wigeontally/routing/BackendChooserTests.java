package org.wigeontally.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import org.testng.annotations.Test;

import static org.assertj.core.api.Assertions.assertThat;

public class BackendChooserTests {

	private static final RoutingRequest REQUEST = RoutingRequest.of("assist-llm");

	private final PrefixAffinity affinity = PrefixAffinity.create(100);

	private final BackendChooser chooser = LeastLoadedOfFew.create("r1", "z1", this.affinity, new Random(1));

	@Test
	public void choosesOnlyEligibleBackendServers() {
		Candidate good = candidate("good", "z1").withAdapters(Set.of("fr"));
		List<Candidate> fleet = List.of(candidate("down", "z1").withState(false, false, 16),
				candidate("shut", "z1").withState(true, true, 0), candidate("no-adapter", "z1"),
				Candidate.of("old", "r1", "z1", "assist-llm", "v1", 16).withAdapters(Set.of("fr")),
				Candidate.of("other", "r1", "z1", "order-desk", "v2", 16).withAdapters(Set.of("fr")),
				candidate("tried", "z1").withAdapters(Set.of("fr")), good);
		RoutingRequest request = REQUEST.withVersion("v2").withAdapter("fr").withTried("tried");
		for (int i = 0; i < 100; i++) {
			assertThat(this.chooser.choose(request, fleet)).contains(good);
		}
		assertThat(this.chooser.choose(request.withTried("good"), fleet)).isEmpty();
	}

	@Test
	public void prefersOwnZoneAndSpillsOverWhenItIsBusier() {
		Candidate otherRegion = Candidate.of("far", "r2", "z9", "assist-llm", "v2", 16).withReport(4, 0, 0);
		assertThat(choose(candidate("near", "z1").withReport(4, 0, 0), otherRegion)).isEqualTo("near");
		assertThat(choose(candidate("near", "z1").withReport(12, 0, 0), otherRegion)).isEqualTo("far");
	}

	@Test
	public void ownRequestsDecideWhenReportsAreMissingOrStale() {
		assertThat(choose(candidate("a", "z1").withOwnInFlight(3), candidate("b", "z1").withOwnInFlight(1)))
			.isEqualTo("b");
		Candidate staleIdle = candidate("a", "z1").withReport(0, 0, 600_000).withOwnInFlight(3);
		Candidate staleBusy = candidate("b", "z1").withReport(16, 0, 600_000).withOwnInFlight(1);
		assertThat(choose(staleIdle, staleBusy)).isEqualTo("b");
	}

	@Test
	public void followsPrefixOnlyBelowTheLoadBound() {
		RoutingRequest request = REQUEST.withPrefix(List.of(1L, 2L));
		this.affinity.recordStored("holder", List.of(1L, 2L));
		Candidate other = candidate("other", "z1").withReport(2, 0, 0);
		Candidate third = candidate("third", "z1").withReport(2, 0, 0);
		assertThat(this.chooser.choose(request, List.of(candidate("holder", "z1").withReport(3, 0, 0), other, third)))
			.get()
			.extracting(Candidate::host)
			.isEqualTo("holder");
		assertThat(this.chooser.choose(request, List.of(candidate("holder", "z1").withReport(9, 0, 0), other, third)))
			.get()
			.extracting(Candidate::host)
			.isNotEqualTo("holder");
		this.affinity.removeHost("holder");
		assertThat(this.affinity.cachedFraction("holder", List.of(1L, 2L))).isZero();
	}

	/**
	 * Guards against herding: nine entries share one stale report in which one backend
	 * server appears idle. Fails if {@link LoadEstimate} ignores the entry's own requests
	 * in flight.
	 */
	@Test
	public void entriesWithOneStaleReportDoNotHerd() {
		Map<String, Integer> sent = new HashMap<>();
		for (int entry = 0; entry < 9; entry++) {
			BackendChooser own = LeastLoadedOfFew.create("r1", "z1", PrefixAffinity.create(1), new Random(entry));
			Map<String, Integer> inFlight = new HashMap<>();
			for (int i = 0; i < 20; i++) {
				String host = own.choose(REQUEST, staleFleet(inFlight)).orElseThrow().host();
				inFlight.merge(host, 1, Integer::sum);
				sent.merge(host, 1, Integer::sum);
			}
		}
		assertThat(sent.get("idle")).isLessThan(3 * 9 * 20 / 12);
	}

	@Test
	public void subsetIsStableWhenAHostIsRemoved() {
		List<Candidate> fleet = new ArrayList<>();
		for (int i = 0; i < 1_000; i++) {
			fleet.add(candidate("b" + i, "z1"));
		}
		Set<Candidate> before = new HashSet<>(FleetSubset.of("entry-1", fleet, 32));
		fleet.remove(before.iterator().next());
		Set<Candidate> after = new HashSet<>(FleetSubset.of("entry-1", fleet, 32));
		after.retainAll(before);
		assertThat(after).hasSize(31);
		assertThat(FleetSubset.of("entry-2", fleet, 32)).isNotEqualTo(FleetSubset.of("entry-1", fleet, 32));
	}

	private static List<Candidate> staleFleet(Map<String, Integer> inFlight) {
		List<Candidate> fleet = new ArrayList<>();
		fleet.add(candidate("idle", "z1").withReport(7, 0, 400).withOwnInFlight(inFlight.getOrDefault("idle", 0)));
		for (int i = 1; i < 12; i++) {
			String host = "b" + i;
			fleet.add(candidate(host, "z1").withReport(8, 0, 400).withOwnInFlight(inFlight.getOrDefault(host, 0)));
		}
		return fleet;
	}

	private String choose(Candidate... candidates) {
		return this.chooser.choose(REQUEST, List.of(candidates)).orElseThrow().host();
	}

	private static Candidate candidate(String host, String zone) {
		return Candidate.of(host, "r1", zone, "assist-llm", "v2", 16);
	}

}
