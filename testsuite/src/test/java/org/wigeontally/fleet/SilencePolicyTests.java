package org.wigeontally.fleet;

import org.testng.annotations.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** What the silence of a backend server leads to. */
public class SilencePolicyTests {

	private static final long TARGET_MS = 400;

	/** Guards against successors at backend servers that are silent themselves. */
	@Test
	public void backendThatIsSilentAsLongIsNoSuccessor() {
		for (RequestKind kind : RequestKind.values()) {
			long silentMs = SilencePolicy.successorAfterMs(kind, TARGET_MS, true);
			assertThat(SilencePolicy.isFitAsSuccessor(silentMs)).isFalse();
		}
		assertThat(SilencePolicy.isFitAsSuccessor(0)).isTrue();
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
