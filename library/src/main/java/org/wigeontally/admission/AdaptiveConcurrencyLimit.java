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
 * {@link #TIMELY_LATENCY_FACTOR} of the usual time, which is learnt while the limit is at
 * the capacity, or of the best time of this ramp while nothing better is known.
 *
 * <p>
 * A backend server may turn cold without a word. Two answers in a row, or two that are
 * still outstanding, beyond {@link #COLD_LATENCY_FACTOR} of the usual time take the limit
 * back to the cold capacity. The backend server's own word goes first: while it says that
 * it is cold, the limit stays at the cold capacity whatever the measurements are. Used by
 * the gate's thread.
 */
final class AdaptiveConcurrencyLimit {

	private static final double TIMELY_LATENCY_FACTOR = 2;

	private static final double COLD_LATENCY_FACTOR = 4;

	private static final long LATENCY_MARGIN_MS = 50;

	private static final int COLD_LATE_RESPONSES = 2;

	private static final double BASELINE_SMOOTHING = 0.1;

	private final AdmissionLimits limits;

	private int limit;

	private boolean reportedCold;

	private boolean limitReached;

	private int timelyResponses;

	private int requiredTimelyResponses;

	private int consecutiveLateResponses;

	private double baselineLatencyMs;

	private double bestRampLatencyMs = Double.POSITIVE_INFINITY;

	AdaptiveConcurrencyLimit(AdmissionLimits limits) {
		this.limits = limits;
		this.limit = limits.coldCapacity();
		this.requiredTimelyResponses = this.limit;
	}

	int limit() {
		return this.limit;
	}

	boolean isCold() {
		return this.reportedCold || this.limit <= this.limits.coldCapacity() && this.limit < this.limits.capacity();
	}

	void recordLimitReached() {
		this.limitReached = true;
	}

	void applyReportedState(EngineReport.WarmupState state) {
		if (state == EngineReport.WarmupState.COLD) {
			resetToColdCapacity();
			this.reportedCold = true;
		}
		else if (state == EngineReport.WarmupState.WARM) {
			this.reportedCold = false;
		}
	}

	void recordResponseTime(double latencyMs) {
		if (exceedsColdThreshold(latencyMs)) {
			this.timelyResponses = 0;
			this.consecutiveLateResponses++;
			if (this.consecutiveLateResponses >= COLD_LATE_RESPONSES) {
				resetToColdCapacity();
			}
			return;
		}
		this.consecutiveLateResponses = 0;
		this.bestRampLatencyMs = Math.min(this.bestRampLatencyMs, latencyMs);
		if (this.limit >= this.limits.capacity()) {
			updateBaseline(latencyMs);
			return;
		}
		boolean timely = latencyMs <= TIMELY_LATENCY_FACTOR * referenceLatencyMs() + LATENCY_MARGIN_MS;
		this.timelyResponses = timely ? this.timelyResponses + 1 : Math.max(0, this.timelyResponses - 1);
		grow();
	}

	void recordFailure() {
		this.timelyResponses = 0;
		this.limit = Math.max(this.limits.coldCapacity(), this.limit / 2);
		this.requiredTimelyResponses = this.limit;
	}

	boolean exceedsColdThreshold(double latencyMs) {
		return this.baselineLatencyMs > 0
				&& latencyMs > COLD_LATENCY_FACTOR * this.baselineLatencyMs + LATENCY_MARGIN_MS;
	}

	void resetToColdCapacity() {
		this.limit = this.limits.coldCapacity();
		this.requiredTimelyResponses = this.limit;
		this.timelyResponses = 0;
		this.consecutiveLateResponses = 0;
		this.limitReached = false;
		this.bestRampLatencyMs = Double.POSITIVE_INFINITY;
	}

	private void grow() {
		if (this.reportedCold || !this.limitReached || this.timelyResponses < this.requiredTimelyResponses) {
			return;
		}
		int previousLimit = this.limit;
		this.limit = Math.min(this.limits.capacity(), previousLimit * 2);
		this.requiredTimelyResponses = this.limit - previousLimit;
		this.timelyResponses = 0;
		this.limitReached = false;
	}

	private void updateBaseline(double latencyMs) {
		this.baselineLatencyMs = (this.baselineLatencyMs == 0) ? latencyMs
				: this.baselineLatencyMs + BASELINE_SMOOTHING * (latencyMs - this.baselineLatencyMs);
	}

	private double referenceLatencyMs() {
		return (this.baselineLatencyMs > 0) ? this.baselineLatencyMs : this.bestRampLatencyMs;
	}

}
