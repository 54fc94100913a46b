package org.wigeontally.harmful;

/**
 * The loss of a backend server as far as it concerns one content that ran there.
 * Immutable.
 *
 * @param atMs when it happened, on this process's monotonic clock
 * @param cleared true if the content has proved harmless since
 * @param trial whether the content was on trial there
 * @param trialId identifies that trial; 0 for none
 * @param clearedAtMs when this process cleared it or heard that it is cleared; 0 if it is
 * not cleared
 */
record Loss(long atMs, boolean cleared, Trial trial, long trialId, long clearedAtMs) {

	/** The id of no trial. */
	static final long NO_TRIAL = 0;

	/**
	 * Whether a content was on trial when a backend server was lost. A later constant
	 * says more than an earlier one.
	 */
	enum Trial {

		/** It was not on trial. */
		NONE,
		/** Other contents of the same request were on trial too. */
		WITH_OTHERS,
		/** It was the only content of its request that was on trial. */
		ALONE

	}

	static Loss of(long atMs) {
		return of(atMs, Trial.NONE, NO_TRIAL);
	}

	static Loss of(long atMs, Trial trial, long trialId) {
		return new Loss(atMs, false, trial, trialId, 0);
	}

	Loss clear(long nowMs) {
		return this.cleared ? this : new Loss(this.atMs, true, this.trial, this.trialId, nowMs);
	}

	Loss merge(Loss other) {
		Trial strongest = (this.trial.compareTo(other.trial) >= 0) ? this.trial : other.trial;
		return new Loss(Math.min(this.atMs, other.atMs), this.cleared || other.cleared, strongest,
				Math.max(this.trialId, other.trialId), firstClearedAtMs(other));
	}

	private long firstClearedAtMs(Loss other) {
		if (this.cleared && other.cleared) {
			return Math.min(this.clearedAtMs, other.clearedAtMs);
		}
		return this.cleared ? this.clearedAtMs : other.clearedAtMs;
	}

}
