package org.wigeontally.weights;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Runs the schedulers of a few hosts in three regions on a simulated clock. A fetch ends
 * in the step after the one that started it. The tests fail without the takeover of
 * stalled stripes, without the backoff after corrupt chunks, or if every host fetches
 * every stripe from outside its region.
 */
public class ChunkSchedulerTests {

	private static final int CHUNKS = 24;

	private static final long STEP_MS = 50;

	private static final int MAX_STEPS = 1200;

	@Test
	public void fetchesOneCopyFromTheOriginAndOnePerOtherRegion() {
		SimulatedFleet fleet = new SimulatedFleet(12, 1);
		fleet.runUntilComplete();
		assertThat(fleet.originFetches).isEqualTo(CHUNKS);
		assertThat(fleet.crossRegionFetches).isEqualTo(2 * CHUNKS);
	}

	@DataProvider
	public Object[][] chunks() {
		Object[][] rows = new Object[CHUNKS][];
		for (int chunk = 0; chunk < CHUNKS; chunk++) {
			rows[chunk] = new Object[] { chunk };
		}
		return rows;
	}

	@Test(dataProvider = "chunks")
	public void completesWhenAssignedHostsFailAtAnyChunk(int chunk) {
		SimulatedFleet fleet = new SimulatedFleet(12, 2 + chunk);
		String firstHost = fleet.assignment().rankedHosts("r0", 0).get(0);
		String secondHost = fleet.assignment().rankedHosts("r1", 1).get(0);
		while (fleet.heldCount(firstHost) < chunk && fleet.steps < MAX_STEPS) {
			fleet.step();
		}
		fleet.remove(firstHost);
		fleet.remove(secondHost);
		fleet.runUntilComplete();
		assertThat(fleet.originFetches).isLessThanOrEqualTo(CHUNKS + CHUNKS / 2);
	}

	/**
	 * Guards against versions that miss the chunks of one stripe for the length of an
	 * outage of the origin: the host that fetched them was killed, and the origin went
	 * away before another one took over.
	 */
	@Test
	public void hostsThatAreDoneHelpBeforeAStripeIsTakenOver() {
		for (int seed = 0; seed < 20; seed++) {
			SimulatedFleet undisturbed = new SimulatedFleet(24, seed);
			undisturbed.runUntilComplete();
			SimulatedFleet fleet = new SimulatedFleet(24, seed);
			fleet.stalledHost = fleet.assignment().rankedHosts("r0", seed % FetchAssignment.STRIPES).get(0);
			fleet.runUntilComplete();
			assertThat((fleet.steps - undisturbed.steps) * STEP_MS).isLessThanOrEqualTo(1_000);
			assertThat(fleet.originFetches).isLessThanOrEqualTo(CHUNKS * 5 / 4);
		}
	}

	@Test
	public void takesOverFromAStalledAssignedHostThatStaysLive() {
		SimulatedFleet fleet = new SimulatedFleet(12, 5);
		fleet.stalledHost = fleet.assignment().rankedHosts("r0", 2).get(0);
		fleet.runUntilComplete();
		assertThat(fleet.originFetches).isLessThanOrEqualTo(CHUNKS + CHUNKS / 2);
	}

	/** An outage of the origin fails one fetch of each stripe at the same time. */
	@Test
	public void failuresOfConcurrentFetchesFromTheOriginDelayTheNextOneOnce() {
		HostLocation self = new HostLocation("h0", "r0", "r0-a");
		ChunkScheduler scheduler = ChunkScheduler.create(CHUNKS, self, new Random(7), 0);
		scheduler.updateHosts(Map.of("h0", self), FetchAssignment.of("m", List.of(self), "r0"), 0);
		List<Fetch> fetches = scheduler.nextFetches(0);
		assertThat(fetches).hasSize(FetchAssignment.STRIPES);
		fetches.forEach((fetch) -> scheduler.fetchFailed(fetch, Fetch.Failure.UNREACHABLE, 10));
		assertThat(scheduler.nextFetches(500)).isNotEmpty();
	}

	/** The bounds of a recovery leave no time for long pauses after an outage. */
	@Test
	public void originIsTriedWithinTwoSecondsAfterALongOutage() {
		HostLocation self = new HostLocation("h0", "r0", "r0-a");
		ChunkScheduler scheduler = ChunkScheduler.create(CHUNKS, self, new Random(7), 0);
		scheduler.updateHosts(Map.of("h0", self), FetchAssignment.of("m", List.of(self), "r0"), 0);
		long nowMs = 0;
		for (int failures = 0; failures < 20; nowMs += STEP_MS) {
			for (Fetch fetch : scheduler.nextFetches(nowMs)) {
				scheduler.fetchFailed(fetch, Fetch.Failure.UNREACHABLE, nowMs);
				failures++;
			}
		}
		assertThat(scheduler.nextFetches(nowMs + 2_000)).isNotEmpty();
	}

	@Test
	public void backsOffFromAPeerThatSendsCorruptChunks() {
		SimulatedFleet fleet = new SimulatedFleet(6, 3);
		fleet.corruptingHost = "h5";
		fleet.runUntilComplete();
		assertThat(fleet.corruptFetches).isBetween(1, 20);
	}

	@Test
	public void lateHostFetchesOnlyWithinItsRegion() {
		SimulatedFleet fleet = new SimulatedFleet(12, 4);
		fleet.runUntilComplete();
		fleet.add("h99", "r1");
		int before = fleet.originFetches + fleet.crossRegionFetches;
		fleet.runUntilComplete();
		assertThat(fleet.originFetches + fleet.crossRegionFetches).isEqualTo(before);
	}

	private static final class SimulatedFleet {

		private final Map<String, HostLocation> locations = new LinkedHashMap<>();

		private final Map<String, ChunkScheduler> schedulers = new LinkedHashMap<>();

		private final Map<String, BitSet> heldChunks = new LinkedHashMap<>();

		private final Map<String, List<Fetch>> activeFetches = new LinkedHashMap<>();

		private final Random random;

		private String corruptingHost = "";

		private String stalledHost = "";

		private int corruptFetches;

		private int originFetches;

		private int crossRegionFetches;

		private int steps;

		SimulatedFleet(int hosts, long seed) {
			this.random = new Random(seed);
			for (int host = 0; host < hosts; host++) {
				add("h" + host, "r" + host % 3);
			}
		}

		void add(String host, String region) {
			HostLocation location = new HostLocation(host, region, region + "-a");
			this.locations.put(host, location);
			this.schedulers.put(host,
					ChunkScheduler.create(CHUNKS, location, new Random(this.random.nextLong()), this.steps * STEP_MS));
			this.heldChunks.put(host, new BitSet());
			this.activeFetches.put(host, new ArrayList<>());
			updateHosts();
		}

		void remove(String host) {
			if (this.locations.remove(host) != null) {
				this.schedulers.remove(host);
				this.activeFetches.remove(host);
				updateHosts();
			}
		}

		private void updateHosts() {
			// A copy with the same order in every process, unlike Map.copyOf.
			Map<String, HostLocation> copy = new LinkedHashMap<>(this.locations);
			this.schedulers.values().forEach((scheduler) -> scheduler.updateHosts(copy, assignment(), nowMs()));
		}

		FetchAssignment assignment() {
			return FetchAssignment.of("m", this.locations.values(), "r0");
		}

		int heldCount(String host) {
			return this.heldChunks.get(host).cardinality();
		}

		void runUntilComplete() {
			while (this.schedulers.keySet().stream().anyMatch(this::missesChunks)) {
				step();
				assertThat(this.steps).as("steps").isLessThan(MAX_STEPS);
			}
		}

		private boolean missesChunks(String host) {
			return !host.equals(this.stalledHost) && !this.schedulers.get(host).isComplete();
		}

		void step() {
			this.steps++;
			for (String host : this.schedulers.keySet()) {
				if (!host.equals(this.stalledHost)) {
					endFetches(host);
				}
			}
			for (String host : this.schedulers.keySet()) {
				ChunkScheduler scheduler = this.schedulers.get(host);
				for (String peer : scheduler.peersToFollow(nowMs())) {
					if (this.locations.containsKey(peer)) {
						scheduler.addPeerChunks(peer, this.heldChunks.get(peer).stream().boxed().toList(), nowMs());
					}
				}
				startFetches(host, scheduler.nextFetches(nowMs()));
			}
		}

		private void startFetches(String host, List<Fetch> fetches) {
			this.activeFetches.get(host).addAll(fetches);
			for (Fetch fetch : fetches) {
				if (fetch.fromOrigin()) {
					this.originFetches++;
				}
				else if (!this.locations.get(fetch.source()).region().equals(this.locations.get(host).region())) {
					this.crossRegionFetches++;
				}
			}
		}

		private void endFetches(String host) {
			List<Fetch> ended = List.copyOf(this.activeFetches.get(host));
			this.activeFetches.get(host).clear();
			for (Fetch fetch : ended) {
				if (!fetch.fromOrigin() && !this.locations.containsKey(fetch.source())) {
					this.schedulers.get(host).fetchFailed(fetch, Fetch.Failure.UNREACHABLE, nowMs());
				}
				else if (fetch.source().equals(this.corruptingHost) && !this.corruptingHost.isEmpty()) {
					this.corruptFetches++;
					this.schedulers.get(host).fetchFailed(fetch, Fetch.Failure.CORRUPT, nowMs());
				}
				else {
					this.schedulers.get(host).fetchSucceeded(fetch, nowMs());
					this.heldChunks.get(host).set(fetch.chunk());
				}
			}
		}

		private long nowMs() {
			return this.steps * STEP_MS;
		}

	}

}
