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
 * Schedulers of a few hosts in three regions, moved in steps of one clock; a fetch ends
 * in the step after it started. Seen red with the take-over left out, with the shun left
 * out, and with every host on duty for every lane.
 */
public class ChunkSchedulerTests {

	private static final int CHUNKS = 24;

	private static final long STEP_MS = 50;

	private static final int MOST_STEPS = 1200;

	@Test
	public void oneCopyLeavesTheOriginAndOneCrossesEachBorder() {
		Fleet fleet = new Fleet(12, 1);
		fleet.runUntilComplete();
		assertThat(fleet.originFetches).isEqualTo(CHUNKS);
		assertThat(fleet.borderFetches).isEqualTo(2 * CHUNKS);
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
	public void survivesTheDeathOfTheHostOnDutyAtAnyChunk(int chunk) {
		Fleet fleet = new Fleet(12, 2 + chunk);
		String first = fleet.duty().rankedHosts("r0", 0).get(0);
		String second = fleet.duty().rankedHosts("r1", 1).get(0);
		while (fleet.heldBy(first) < chunk && fleet.steps < MOST_STEPS) {
			fleet.step();
		}
		fleet.kill(first);
		fleet.kill(second);
		fleet.runUntilComplete();
		assertThat(fleet.originFetches).isLessThanOrEqualTo(CHUNKS + CHUNKS / 2);
	}

	@Test
	public void takesOverFromAHostOnDutyThatStaysInTheTableButStalls() {
		Fleet fleet = new Fleet(12, 5);
		fleet.stalled = fleet.duty().rankedHosts("r0", 2).get(0);
		fleet.runUntilComplete();
		assertThat(fleet.originFetches).isLessThanOrEqualTo(CHUNKS + CHUNKS / 2);
	}

	@Test
	public void shunsAPeerThatSendsCorruptChunks() {
		Fleet fleet = new Fleet(6, 3);
		fleet.liar = "h5";
		fleet.runUntilComplete();
		assertThat(fleet.lies).isBetween(1, 20);
	}

	@Test
	public void joinsLateWithoutTheOrigin() {
		Fleet fleet = new Fleet(12, 4);
		fleet.runUntilComplete();
		fleet.add("h99", "r1");
		int before = fleet.originFetches + fleet.borderFetches;
		fleet.runUntilComplete();
		assertThat(fleet.originFetches + fleet.borderFetches).isEqualTo(before);
	}

	private static final class Fleet {

		private final Map<String, HostLocation> places = new LinkedHashMap<>();

		private final Map<String, ChunkScheduler> schedulers = new LinkedHashMap<>();

		private final Map<String, BitSet> held = new LinkedHashMap<>();

		private final Map<String, List<Fetch>> running = new LinkedHashMap<>();

		private final Random random;

		private String liar = "";

		private String stalled = "";

		private int lies;

		private int originFetches;

		private int borderFetches;

		private int steps;

		Fleet(int hosts, long seed) {
			this.random = new Random(seed);
			for (int host = 0; host < hosts; host++) {
				add("h" + host, "r" + host % 3);
			}
		}

		void add(String host, String region) {
			HostLocation place = new HostLocation(host, region, region + "-a");
			this.places.put(host, place);
			this.schedulers.put(host,
					ChunkScheduler.create(CHUNKS, place, new Random(this.random.nextLong()), this.steps * STEP_MS));
			this.held.put(host, new BitSet());
			this.running.put(host, new ArrayList<>());
			hosts();
		}

		void kill(String host) {
			if (this.places.remove(host) != null) {
				this.schedulers.remove(host);
				this.running.remove(host);
				hosts();
			}
		}

		private void hosts() {
			this.schedulers.values()
				.forEach((scheduler) -> scheduler.updateHosts(Map.copyOf(this.places), duty(), nowMs()));
		}

		FetchAssignment duty() {
			return FetchAssignment.of("m", this.places.values(), "r0");
		}

		int heldBy(String host) {
			return this.held.get(host).cardinality();
		}

		void runUntilComplete() {
			while (this.schedulers.keySet().stream().anyMatch(this::missesChunks)) {
				step();
				assertThat(this.steps).as("steps").isLessThan(MOST_STEPS);
			}
		}

		private boolean missesChunks(String host) {
			return !host.equals(this.stalled) && !this.schedulers.get(host).isComplete();
		}

		void step() {
			this.steps++;
			for (String host : this.schedulers.keySet()) {
				if (!host.equals(this.stalled)) {
					end(host);
				}
			}
			for (String host : this.schedulers.keySet()) {
				ChunkScheduler scheduler = this.schedulers.get(host);
				for (String peer : scheduler.peersToFollow(nowMs())) {
					if (this.places.containsKey(peer)) {
						scheduler.addPeerChunks(peer, this.held.get(peer).stream().boxed().toList(), nowMs());
					}
				}
				start(host, scheduler.nextFetches(nowMs()));
			}
		}

		private void start(String host, List<Fetch> fetches) {
			this.running.get(host).addAll(fetches);
			for (Fetch fetch : fetches) {
				if (fetch.fromOrigin()) {
					this.originFetches++;
				}
				else if (!this.places.get(fetch.source()).region().equals(this.places.get(host).region())) {
					this.borderFetches++;
				}
			}
		}

		private void end(String host) {
			List<Fetch> ended = List.copyOf(this.running.get(host));
			this.running.get(host).clear();
			for (Fetch fetch : ended) {
				if (!fetch.fromOrigin() && !this.places.containsKey(fetch.source())) {
					this.schedulers.get(host).fetchFailed(fetch, Fetch.Failure.UNREACHABLE, nowMs());
				}
				else if (fetch.source().equals(this.liar) && !this.liar.isEmpty()) {
					this.lies++;
					this.schedulers.get(host).fetchFailed(fetch, Fetch.Failure.CORRUPT, nowMs());
				}
				else {
					this.schedulers.get(host).fetchSucceeded(fetch, nowMs());
					this.held.get(host).set(fetch.chunk());
				}
			}
		}

		private long nowMs() {
			return this.steps * STEP_MS;
		}

	}

}
