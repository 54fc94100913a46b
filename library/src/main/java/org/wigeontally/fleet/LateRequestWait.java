package org.wigeontally.fleet;

import java.util.OptionalLong;
import java.util.random.RandomGenerator;

/**
 * Decides whether a request that finds no slot waits at its entry.
 *
 * <p>
 * A caller that was rejected comes back once, after a burst, and gets nothing if it is
 * rejected again. Slots become free all the time, but a request that has missed its
 * target may only take those that requests on time leave over, so at the moment of its
 * return there is often none. It then looks again for a while. Requests that can still
 * meet their target do not wait: in the simulation, slots that go to requests that have
 * waited make more of the following requests late than they save, at every load.
 */
public final class LateRequestWait {

	/** Maximum time that a request waits. */
	static final long MAX_WAIT_MS = 1_800;

	/** Time before the deadline from which an answer would be cut off. */
	static final long MIN_SERVICE_MS = 1_500;

	private static final long RETRY_INTERVAL_MS = 80;

	private LateRequestWait() {
	}

	/**
	 * Returns when a request looks for a slot again.
	 * @param request the request
	 * @param waitedMs time that it has waited so far
	 * @param random source of the jitter
	 * @return milliseconds from now; empty if the request is to be rejected
	 */
	public static OptionalLong nextTryMs(EngineRequest request, double waitedMs, RandomGenerator random) {
		long delayMs = RETRY_INTERVAL_MS / 2 + random.nextLong(RETRY_INTERVAL_MS);
		boolean late = request.targetLeftMs() <= 0;
		if (!late || waitedMs + delayMs > MAX_WAIT_MS || request.deadlineLeftMs() - delayMs < MIN_SERVICE_MS) {
			return OptionalLong.empty();
		}
		return OptionalLong.of(delayMs);
	}

}
