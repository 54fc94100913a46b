package org.wigeontally.fleet;

import org.testng.annotations.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link CallerConnectionState}.
 */
public class CallerConnectionStateTests {

	private static final long DUE_MS = 5_000;

	private static CallerConnectionState inRequest() {
		CallerConnectionState state = CallerConnectionState.opened(0, CallerLimits.DEFAULT);
		state.headBegun(0, CallerLimits.DEFAULT);
		state.headReceived();
		state.handlingBegun(DUE_MS);
		return state;
	}

	@Test
	public void requestWithoutAnswerBecomesOverdueOnce() {
		CallerConnectionState state = inRequest();
		long limitMs = DUE_MS + CallerConnectionState.OVERDUE_MARGIN_MS;
		assertThat(state.detectOverdue(limitMs)).isFalse();
		assertThat(state.detectOverdue(limitMs + 1)).isTrue();
		assertThat(state.detectOverdue(limitMs + 2)).isFalse();
	}

	@Test
	public void answeredRequestNeverBecomesOverdue() {
		CallerConnectionState state = inRequest();
		state.answered(DUE_MS);
		assertThat(state.detectOverdue(10 * DUE_MS)).isFalse();
	}

	@Test
	public void nextRequestBecomesOverdueByItsOwnTime() {
		CallerConnectionState state = inRequest();
		state.answered(1_000);
		state.headBegun(4_000, CallerLimits.DEFAULT);
		state.headReceived();
		state.handlingBegun(2 * DUE_MS);
		assertThat(state.detectOverdue(DUE_MS + CallerConnectionState.OVERDUE_MARGIN_MS + 1)).isFalse();
		assertThat(state.detectOverdue(2 * DUE_MS + CallerConnectionState.OVERDUE_MARGIN_MS + 1)).isTrue();
	}

}
