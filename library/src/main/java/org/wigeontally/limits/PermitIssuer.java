package org.wigeontally.limits;

/**
 * Issues the permits for the requests to one limited backend server, at the entry that
 * coordinates them. Used by one thread.
 *
 * <p>
 * A token bucket: permits accumulate at the rate of the limit. The bucket holds a few, so
 * that those that fall due between two requests are not lost, and few enough that a burst
 * stays within what the limit allows in a few seconds. It starts empty, since the
 * coordinator before may just have issued permits of its own.
 */
public final class PermitIssuer {

	/**
	 * Most permits that accumulate at any limit: one for each entry, up to this number.
	 */
	private static final int MAX_SAVED_PERMITS = 3;

	/** Time for which permits accumulate beyond that. */
	private static final double BURST_S = 0.05;

	private static final double MS_PER_SECOND = 1000;

	private double permits;

	private double perSecond;

	private long refilledAtMs;

	private PermitIssuer(double perSecond, long nowMs) {
		this.perSecond = perSecond;
		this.refilledAtMs = nowMs;
	}

	/**
	 * Creates an issuer without any permits.
	 * @param perSecond permits per second
	 * @param nowMs current time in milliseconds
	 * @return the issuer
	 */
	public static PermitIssuer create(double perSecond, long nowMs) {
		return new PermitIssuer(perSecond, nowMs);
	}

	/**
	 * Issues permits.
	 * @param requested number of requests that wait for one
	 * @param newPerSecond permits per second from now on
	 * @param entries number of entries that may ask
	 * @param nowMs current time in milliseconds
	 * @return the answer
	 */
	public PermitGrant issue(int requested, double newPerSecond, int entries, long nowMs) {
		refill(Math.min(MAX_SAVED_PERMITS, entries), nowMs);
		this.perSecond = newPerSecond;
		int granted = Math.max(0, Math.min(requested, (int) this.permits));
		this.permits -= granted;
		return new PermitGrant(granted, nextInMs());
	}

	private void refill(int savedPermits, long nowMs) {
		double elapsedS = Math.max(0, nowMs - this.refilledAtMs) / MS_PER_SECOND;
		double burst = savedPermits + BURST_S * this.perSecond;
		this.permits = Math.min(burst, this.permits + elapsedS * this.perSecond);
		this.refilledAtMs = nowMs;
	}

	private long nextInMs() {
		double missing = 1 - this.permits;
		return (missing <= 0) ? 0 : (long) Math.ceil(missing / this.perSecond * MS_PER_SECOND);
	}

}
