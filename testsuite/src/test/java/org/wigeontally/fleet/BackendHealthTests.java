package org.wigeontally.fleet;

import org.testng.annotations.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Backoff after failed connects.
 */
public class BackendHealthTests {

	private static final long FAILED_AT_MS = 700;

	private static final long INITIAL_BACKOFF_MS = 250;

	// Connects that timed out together kept a backend server out for two seconds.
	@Test
	public void connectsThatFailTogetherCountOnce() {
		BackendHealth health = BackendHealth.create();
		for (int connect = 0; connect < 20; connect++) {
			health.recordConnectFailure(FAILED_AT_MS + connect);
		}
		assertThat(health.isBackingOff(FAILED_AT_MS + INITIAL_BACKOFF_MS - 1)).isTrue();
		assertThat(health.isBackingOff(FAILED_AT_MS + INITIAL_BACKOFF_MS)).isFalse();
	}

	// Requests avoided such a backend server for a quarter of a minute after its return.
	@Test
	public void connectsThatFailTogetherAreOneFailure() {
		BackendHealth together = BackendHealth.create();
		BackendHealth single = BackendHealth.create();
		single.recordConnectFailure(FAILED_AT_MS);
		for (int connect = 0; connect < 20; connect++) {
			together.recordConnectFailure(FAILED_AT_MS);
		}
		assertThat(together.failureRate(FAILED_AT_MS)).isEqualTo(single.failureRate(FAILED_AT_MS));
	}

	@Test
	public void backoffDoublesWithEachFurtherTry() {
		BackendHealth health = BackendHealth.create();
		long nowMs = FAILED_AT_MS;
		for (long expectedMs : new long[] { 250, 500, 1_000, 2_000, 2_000 }) {
			health.recordConnectFailure(nowMs);
			assertThat(health.isBackingOff(nowMs + expectedMs - 1)).isTrue();
			assertThat(health.isBackingOff(nowMs + expectedMs)).isFalse();
			nowMs += expectedMs;
		}
		health.recordSuccess(nowMs);
		health.recordConnectFailure(nowMs);
		assertThat(health.isBackingOff(nowMs + INITIAL_BACKOFF_MS)).isFalse();
	}

}
