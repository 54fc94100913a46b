package org.wigeontally.weights;

import org.testng.annotations.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.offset;

/**
 * Weights beside live streams on one link.
 */
public class LinkRateLimiterTests {

	private static final int KBPS = 4_000;

	private static final int MESSAGE_BYTES = 2_000;

	private static final double MESSAGE_MS = 4;

	/** Longest time for which a first event may wait in the queue of the link. */
	private static final double MAX_QUEUE_MS = 50;

	/** Several uploads begin at once after the link was idle. */
	@Test
	public void burstAfterIdleTimeIsLimited() {
		LinkRateLimiter limiter = LinkRateLimiter.ofKbps(KBPS);
		double nowMs = 10_000;
		int burst = 0;
		while (limiter.reserve(MESSAGE_BYTES, nowMs) == 0) {
			burst++;
		}
		assertThat(burst * MESSAGE_MS).isLessThanOrEqualTo(MAX_QUEUE_MS);
	}

	/** An engine without weights serves nobody, so its link is free until it has them. */
	@Test
	public void rateChangeAppliesToLaterReservations() {
		assertThat(countSent(KBPS, KBPS)).isCloseTo(countSent(0.8 * KBPS, 0.8 * KBPS) / 0.8, offset(20.0));
		assertThat(countSent(KBPS, KBPS / 2.0)).isBetween(countSent(KBPS / 2.0, KBPS / 2.0) + 100,
				countSent(KBPS, KBPS) - 100);
	}

	// Sends for a second at each rate and returns the number of pieces.
	private static double countSent(double firstKbps, double secondKbps) {
		LinkRateLimiter limiter = LinkRateLimiter.ofKbps(firstKbps);
		int sent = 0;
		double nowMs = 0;
		while (nowMs < 2_000) {
			if (nowMs >= 1_000) {
				limiter.setRateKbps(secondKbps);
			}
			nowMs += limiter.reserve(MESSAGE_BYTES, nowMs);
			sent++;
		}
		return sent;
	}

}
