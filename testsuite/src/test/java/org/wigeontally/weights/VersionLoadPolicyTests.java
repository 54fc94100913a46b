package org.wigeontally.weights;

import java.util.List;

import org.testng.annotations.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Which engines load a version at the same time.
 */
public class VersionLoadPolicyTests {

	private static final List<String> READY_AGENTS = List.of("a", "b", "c", "d", "e", "f");

	/** Six of six engines hold the new version: half of them go, the others serve. */
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
	 * Two versions named 4 s apart; the first is whole 5 s after its naming and has to be
	 * loaded 6.5 s after it. The second one comes at the same pace.
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

	/** Named 1 s apart, the second one is nearly here when the first has to be loaded. */
	@Test
	public void skipsOlderVersionWhenTheNewerArrivesInTime() {
		assertThat(VersionLoadPolicy.newerArrivesInTime(1_500, 80, 96, 4_000)).isTrue();
		assertThat(VersionLoadPolicy.newerArrivesInTime(1_500, 96, 96, 5_000)).isTrue();
	}

}
