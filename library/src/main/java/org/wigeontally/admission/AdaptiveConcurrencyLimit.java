package org.wigeontally.admission;

/**
 * Adapts the maximum number of concurrent requests to what a backend server can handle.
 *
 * <p>
 * The limit starts at the cold capacity and doubles (slow start) when two conditions
 * hold: the limit was reached since the last increase, and the number of timely responses
 * minus late responses is at least the number of slots added by the last increase. Slots
 * occupied by long streams produce no further responses, so the limit does not require a
 * response from every slot. Growth depends on responses rather than on elapsed time,
 * because a timer would raise the limit even if the backend server does not warm up. A
 * response is timely if its first part arrives within {@link #TIMELY_LATENCY_FACTOR}
 * times the baseline latency plus {@link #LATENCY_MARGIN_MS}. The baseline is measured
 * while the limit equals the capacity; until it is known, the best latency since the last
 * reset is used instead. A failed request halves the limit, but not below the cold
 * capacity.
 *
 * <p>
 * A backend server may become cold without reporting it. Two consecutive responses, or
 * two outstanding requests, that exceed {@link #COLD_LATENCY_FACTOR} times the baseline
 * plus {@link #LATENCY_MARGIN_MS} reset the limit to the cold capacity. A report takes
 * precedence over measurements: while the backend server reports a cold start, the limit
 * stays at the cold capacity. Not thread-safe; calls are serialised by the owner of the
 * controller.
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
