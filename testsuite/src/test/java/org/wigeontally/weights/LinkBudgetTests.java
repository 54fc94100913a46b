package org.wigeontally.weights;

import org.testng.annotations.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.offset;

/**
 * Weights beside live streams on one link.
 */
public class LinkBudgetTests {

	private static final int KBPS = 4_000;

	private static final int BYTES = 2_000;

	private static final double BYTES_MS = 4;

	/** Longest time for which a first event may wait in the queue of the link. */
	private static final double QUEUE_LIMIT_MS = 50;

	/** Several uploads begin at once after the link was idle. */
	@Test
	public void idleTimeIsNotMadeUpForAtOnce() {
		LinkRateLimiter budget = LinkRateLimiter.ofKbps(KBPS);
		double nowMs = 10_000;
		int atOnce = 0;
		while (budget.reserve(BYTES, nowMs) == 0) {
			atOnce++;
		}
		assertThat(atOnce * BYTES_MS).isLessThanOrEqualTo(QUEUE_LIMIT_MS);
	}

	/** An engine without weights serves nobody, so its link is free until it has them. */
	@Test
	public void rateFollowsWhetherTheEngineServes() {
		assertThat(sent(KBPS, KBPS)).isCloseTo(sent(0.8 * KBPS, 0.8 * KBPS) / 0.8, offset(20.0));
		assertThat(sent(KBPS, KBPS / 2.0)).isBetween(sent(KBPS / 2.0, KBPS / 2.0) + 100, sent(KBPS, KBPS) - 100);
	}

	// Sends for a second at each rate and returns the number of pieces.
	private static double sent(double firstKbps, double secondKbps) {
		LinkRateLimiter budget = LinkRateLimiter.ofKbps(firstKbps);
		int sent = 0;
		double nowMs = 0;
		while (nowMs < 2_000) {
			if (nowMs >= 1_000) {
				budget.setRateKbps(secondKbps);
			}
			nowMs += budget.reserve(BYTES, nowMs);
			sent++;
		}
		return sent;
	}

}
