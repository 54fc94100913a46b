package org.wigeontally.weights;

import org.testng.annotations.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.offset;

/**
 * Tests the limits on weights that share a link with live streams.
 */
public class LinkRateLimiterTests {

	private static final int KBPS = 4_000;

	private static final int MESSAGE_BYTES = 2_000;

	private static final double MESSAGE_MS = 4;

	/** Longest time that the first event of a stream may wait in the link's queue. */
	private static final double MAX_QUEUE_MS = 50;

	/**
	 * Several uploads that start at once after the link was idle must not delay the first
	 * events of live streams.
	 */
	@Test
	public void burstAfterIdleTimeIsLimited() {
		LinkRateLimiter limiter = LinkRateLimiter.ofKbps(KBPS);
		double nowMs = 10_000;
		int burstMessages = 0;
		while (limiter.reserve(MESSAGE_BYTES, nowMs) == 0) {
			burstMessages++;
		}
		assertThat(burstMessages * MESSAGE_MS).isLessThanOrEqualTo(MAX_QUEUE_MS);
	}

	/**
	 * An engine without weights serves no requests, so weights may use its whole link
	 * until it has loaded them.
	 */
	@Test
	public void rateChangeAppliesToLaterReservations() {
		assertThat(countSent(KBPS, KBPS)).isCloseTo(countSent(0.8 * KBPS, 0.8 * KBPS) / 0.8, offset(20.0));
		assertThat(countSent(KBPS, KBPS / 2.0)).isBetween(countSent(KBPS / 2.0, KBPS / 2.0) + 100,
				countSent(KBPS, KBPS) - 100);
	}

	// Sends for one second at each rate and returns the number of messages.
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
