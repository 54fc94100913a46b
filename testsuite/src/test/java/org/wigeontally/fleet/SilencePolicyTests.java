package org.wigeontally.fleet;

import org.testng.annotations.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** What the silence of a backend server leads to. */
public class SilencePolicyTests {

	private static final long TARGET_MS = 400;

	/** Guards against successors of streams at engines that are silent themselves. */
	@Test
	public void engineThatIsSilentAsLongIsNoSuccessor() {
		long silentMs = SilencePolicy.successorAfterMs(RequestKind.STREAM, TARGET_MS, true);
		assertThat(SilencePolicy.isFitAsSuccessor(RequestKind.STREAM, silentMs)).isFalse();
		assertThat(SilencePolicy.isFitAsSuccessor(RequestKind.STREAM, 0)).isTrue();
	}

	/**
	 * Guards against a backend server that is left out while it works on a long request.
	 */
	@Test
	public void backendServerAtWorkCanBeTheSecond() {
		assertThat(SilencePolicy.isFitAsSuccessor(RequestKind.IDEMPOTENT, 10 * TARGET_MS)).isTrue();
	}

	/** Guards against avoiding an engine that only has not begun yet. */
	@Test
	public void engineIsAvoidedNoSoonerThanItsStreamsAreTriedElsewhere() {
		long streamMs = SilencePolicy.successorAfterMs(RequestKind.STREAM, TARGET_MS, true);
		assertThat(SilencePolicy.isAvoided(streamMs, RequestKind.STREAM, TARGET_MS)).isFalse();
		assertThat(SilencePolicy.isAvoided(streamMs + 1, RequestKind.STREAM, TARGET_MS)).isTrue();
		assertThat(SilencePolicy.successorAfterMs(RequestKind.STREAM, TARGET_MS, false)).isGreaterThan(streamMs);
	}

}
