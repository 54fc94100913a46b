package org.wigeontally.admission;

/**
 * Learns how many requests at once a backend server bears.
 *
 * <p>
 * It starts with the cold capacity and doubles once there were as many more prompt
 * answers than late ones as places were added by the step before (slow start), provided
 * that the limit was reached meanwhile. Places that long streams occupy give no more
 * answers, so all places cannot be asked for. A timer would grow the limit whether the
 * backend server warms up or not. An answer is prompt if its first part came within
 * {@link #PROMPT_FACTOR} of the usual time, which is learnt while the limit is at the
 * capacity, or of the best time of this ramp while nothing better is known.
 *
 * <p>
 * A backend server may turn cold without a word. Two answers in a row, or two that are
 * still outstanding, beyond {@link #COLD_FACTOR} of the usual time take the limit back to
 * the cold capacity. The backend server's own word goes first: while it says that it is
 * cold, the limit stays at the cold capacity whatever the measurements are. Used by the
 * gate's thread.
 */
final class AdaptiveConcurrencyLimit {

	private static final double PROMPT_FACTOR = 2;

	private static final double COLD_FACTOR = 4;

	private static final long COLD_MARGIN_MS = 50;

	private static final int COLD_ANSWERS = 2;

	private static final double USUAL_SMOOTHING = 0.1;

	private final AdmissionLimits limits;

	private int limit;

	private boolean saidCold;

	private boolean usedUp;

	private int prompt;

	private int needed;

	private int late;

	private double usualMs;

	private double bestOfRampMs = Double.POSITIVE_INFINITY;

	AdaptiveConcurrencyLimit(AdmissionLimits limits) {
		this.limits = limits;
		this.limit = limits.coldCapacity();
		this.needed = this.limit;
	}

	int limit() {
		return this.limit;
	}

	boolean isCold() {
		return this.saidCold || this.limit <= this.limits.coldCapacity() && this.limit < this.limits.capacity();
	}

	void recordLimitReached() {
		this.usedUp = true;
	}

	void applyReportedState(EngineReport.WarmupState warmth) {
		if (warmth == EngineReport.WarmupState.COLD) {
			resetToColdCapacity();
			this.saidCold = true;
		}
		else if (warmth == EngineReport.WarmupState.WARM) {
			this.saidCold = false;
		}
	}

	void recordResponseTime(double ms) {
		if (exceedsColdThreshold(ms)) {
			this.prompt = 0;
			this.late++;
			if (this.late >= COLD_ANSWERS) {
				resetToColdCapacity();
			}
			return;
		}
		this.late = 0;
		this.bestOfRampMs = Math.min(this.bestOfRampMs, ms);
		if (this.limit >= this.limits.capacity()) {
			learnUsual(ms);
			return;
		}
		boolean isPrompt = ms <= PROMPT_FACTOR * reference() + COLD_MARGIN_MS;
		this.prompt = isPrompt ? this.prompt + 1 : Math.max(0, this.prompt - 1);
		grow();
	}

	void recordFailure() {
		this.prompt = 0;
		this.limit = Math.max(this.limits.coldCapacity(), this.limit / 2);
		this.needed = this.limit;
	}

	boolean exceedsColdThreshold(double ms) {
		return this.usualMs > 0 && ms > COLD_FACTOR * this.usualMs + COLD_MARGIN_MS;
	}

	void resetToColdCapacity() {
		this.limit = this.limits.coldCapacity();
		this.needed = this.limit;
		this.prompt = 0;
		this.late = 0;
		this.usedUp = false;
		this.bestOfRampMs = Double.POSITIVE_INFINITY;
	}

	private void grow() {
		if (this.saidCold || !this.usedUp || this.prompt < this.needed) {
			return;
		}
		int before = this.limit;
		this.limit = Math.min(this.limits.capacity(), before * 2);
		this.needed = this.limit - before;
		this.prompt = 0;
		this.usedUp = false;
	}

	private void learnUsual(double ms) {
		this.usualMs = (this.usualMs == 0) ? ms : this.usualMs + USUAL_SMOOTHING * (ms - this.usualMs);
	}

	private double reference() {
		return (this.usualMs > 0) ? this.usualMs : this.bestOfRampMs;
	}

}
