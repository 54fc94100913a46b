package org.wigeontally.weights;

import java.util.ArrayList;
import java.util.List;

import org.testng.annotations.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests which engines may load a version at the same time, and when an older version is
 * skipped.
 */
public class VersionLoadPolicyTests {

	private static final long SHORT_MS = 1_000;

	private static final long LONG_MS = 20_000;

	/**
	 * Six of six engines hold the new version: half of them load it while the others
	 * serve requests, or fewer if there is time for more turns.
	 */
	@Test
	public void halfOfTheEnginesLoadFirst() {
		List<EngineLoadState> fleet = fleet("a", "a", "a", "a", "a", "a");
		assertThat(firstTurn(fleet, SHORT_MS)).hasSize(3);
		assertThat(firstTurn(fleet, LONG_MS)).hasSize(2);
	}

	/**
	 * Engines hold the version in the reverse order of their addresses, so that each
	 * finds itself before all that are loading.
	 */
	@Test
	public void loadingEnginesCountWhateverTheirOrder() {
		List<EngineLoadState> fleet = new ArrayList<>(fleet("a", "a", "a", "a", "a", "a"));
		fleet.replaceAll((engine) -> new EngineLoadState(engine.agent(), engine.region(), false, false));
		int loading = 0;
		for (int i = fleet.size() - 1; i >= 0; i--) {
			EngineLoadState own = fleet.get(i);
			boolean loads = VersionLoadPolicy.mayLoad(own, 1, others(fleet, own), SHORT_MS);
			loading += loads ? 1 : 0;
			fleet.set(i, new EngineLoadState(own.agent(), own.region(), loads, !loads));
		}
		assertThat(loading).isEqualTo(3);
	}

	/** Some requests may be served in one region only. */
	@Test
	public void everyRegionKeepsAnEngineInService() {
		List<EngineLoadState> fleet = fleet("a", "a", "b", "b", "c", "c");
		assertThat(firstTurn(fleet, SHORT_MS)).extracting(EngineLoadState::region).containsExactly("a", "b", "c");
	}

	@Test
	public void loadsAtOnceWithoutWeightsOrAfterTheDeadline() {
		List<EngineLoadState> fleet = fleet("a", "a", "a", "a", "a", "a");
		EngineLoadState last = fleet.get(5);
		assertThat(VersionLoadPolicy.mayLoad(last, 0, others(fleet, last), SHORT_MS)).isTrue();
		assertThat(VersionLoadPolicy.mayLoad(last, 1, others(fleet, last), 0)).isTrue();
		assertThat(VersionLoadPolicy.mayLoad(last, 1, others(fleet, last), SHORT_MS)).isFalse();
	}

	@Test
	public void singleEngineMayLoad() {
		List<EngineLoadState> fleet = fleet("a");
		assertThat(VersionLoadPolicy.mayLoad(fleet.get(0), 1, List.of(), SHORT_MS)).isTrue();
	}

	private static List<EngineLoadState> fleet(String... regions) {
		List<EngineLoadState> fleet = new ArrayList<>();
		for (String region : regions) {
			fleet.add(new EngineLoadState("agent-" + fleet.size(), region, false, true));
		}
		return fleet;
	}

	private static List<EngineLoadState> firstTurn(List<EngineLoadState> fleet, long remainingMs) {
		return fleet.stream()
			.filter((own) -> VersionLoadPolicy.mayLoad(own, 1, others(fleet, own), remainingMs))
			.toList();
	}

	private static List<EngineLoadState> others(List<EngineLoadState> fleet, EngineLoadState own) {
		return fleet.stream().filter((engine) -> engine != own).toList();
	}

	/**
	 * Two versions are announced 4 s apart. The first is complete 5 s after its
	 * announcement and has to be loaded 6.5 s after it; the second takes as long to
	 * fetch.
	 */
	@Test
	public void loadsOlderVersionWhenTheNewerArrivesTooLate() {
		long versionFetchMs = 5_000;
		int totalChunks = 96;
		long fetchingMs = 1_000;
		int heldChunks = (int) (totalChunks * fetchingMs / versionFetchMs);
		assertThat(VersionLoadPolicy.newerArrivesInTime(1_500, heldChunks, totalChunks, fetchingMs, 0)).isFalse();
		assertThat(VersionLoadPolicy.newerArrivesInTime(1_500, 0, totalChunks, fetchingMs, 0)).isFalse();
	}

	/**
	 * Two versions are announced 1 s apart, so the second is nearly complete when the
	 * first has to be loaded.
	 */
	@Test
	public void skipsOlderVersionWhenTheNewerArrivesInTime() {
		assertThat(VersionLoadPolicy.newerArrivesInTime(1_500, 80, 96, 4_000, 0)).isTrue();
		assertThat(VersionLoadPolicy.newerArrivesInTime(1_500, 96, 96, 5_000, 0)).isTrue();
	}

	/**
	 * The older version is complete when the newest is announced, and versions take 4 s.
	 * Guards against engines that load both, which takes each out of service twice.
	 */
	@Test
	public void skipsOlderVersionBeforeTheFirstChunkOfTheNewer() {
		assertThat(VersionLoadPolicy.newerArrivesInTime(5_000, 0, 96, 100, 4_000)).isTrue();
		assertThat(VersionLoadPolicy.newerArrivesInTime(3_000, 0, 96, 100, 4_000)).isFalse();
	}

	/** A fetch that is stuck must not keep an engine from loading the older version. */
	@Test
	public void loadsOlderVersionWhenTheNewerIsStuck() {
		assertThat(VersionLoadPolicy.newerArrivesInTime(4_000, 0, 96, 1_000, 4_000)).isFalse();
		assertThat(VersionLoadPolicy.newerArrivesInTime(4_000, 24, 96, 3_000, 4_000)).isFalse();
	}

}
