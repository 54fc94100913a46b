package org.wigeontally.weights;

import java.util.List;

import org.testng.annotations.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests which engines may load a version at the same time, and when an older version is
 * skipped.
 */
public class VersionLoadPolicyTests {

	private static final List<String> READY_AGENTS = List.of("a", "b", "c", "d", "e", "f");

	/**
	 * Six of six engines have the new version staged: half of them load it while the
	 * others serve requests.
	 */
	@Test
	public void halfOfTheEnginesLoadFirst() {
		long first = READY_AGENTS.stream()
			.filter((agent) -> VersionLoadPolicy.mayLoad(agent, 1, others(agent), 6, false))
			.count();
		assertThat(first).isEqualTo(3);
	}

	@Test
	public void loadsAtOnceWithoutWeightsOrNearTheDeadline() {
		assertThat(VersionLoadPolicy.mayLoad("f", 0, others("f"), 6, false)).isTrue();
		assertThat(VersionLoadPolicy.mayLoad("f", 1, others("f"), 6, true)).isTrue();
		assertThat(VersionLoadPolicy.mayLoad("f", 1, others("f"), 6, false)).isFalse();
	}

	@Test
	public void singleEngineMayLoad() {
		assertThat(VersionLoadPolicy.mayLoad("a", 1, List.of(), 1, false)).isTrue();
	}

	private static List<String> others(String self) {
		return READY_AGENTS.stream().filter((agent) -> !agent.equals(self)).toList();
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
		assertThat(VersionLoadPolicy.newerArrivesInTime(1_500, heldChunks, totalChunks, fetchingMs)).isFalse();
		assertThat(VersionLoadPolicy.newerArrivesInTime(1_500, 0, totalChunks, fetchingMs)).isFalse();
	}

	/**
	 * Two versions are announced 1 s apart, so the second is nearly complete when the
	 * first has to be loaded.
	 */
	@Test
	public void skipsOlderVersionWhenTheNewerArrivesInTime() {
		assertThat(VersionLoadPolicy.newerArrivesInTime(1_500, 80, 96, 4_000)).isTrue();
		assertThat(VersionLoadPolicy.newerArrivesInTime(1_500, 96, 96, 5_000)).isTrue();
	}

}
