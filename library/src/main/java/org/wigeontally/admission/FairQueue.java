package org.wigeontally.admission;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.TreeSet;

/**
 * Queue that orders requests by priority and then fairly between organisations, and
 * determines which organisations exceed their share.
 *
 * <p>
 * Each request is assigned a start tag and a finish tag. The start tag is the larger of
 * the virtual time and the last finish tag of the organisation; the finish tag is the
 * start tag plus cost divided by weight. The request with the lowest start tag is
 * dequeued first. Each start of a request advances the virtual time by its cost divided
 * by the total weight of the recently active organisations, which is the rate at which
 * each organisation is served if all receive exactly their share.
 *
 * <p>
 * Start-time fair queueing sets the virtual time to the start tag of the request in
 * service instead, which requires that all organisations are backlogged. Here queues are
 * short and most requests are refused rather than queued, so the request in service would
 * almost always belong to the organisation that sends the most, and no organisation would
 * ever be ahead of the virtual time.
 *
 * <p>
 * The tags of an organisation that sends more than its share run ahead of the virtual
 * time. An organisation that sends less starts at the virtual time and cannot accumulate
 * credit. An organisation is over its share if it is ahead by more than
 * {@link #ALLOWED_LEAD_REQUESTS} requests of mean cost. The lead is capped at
 * {@link #MAX_LEAD_REQUESTS} such requests, so that past use does not count indefinitely.
 * Requests that run without queueing are tagged as well. The oldest request is dequeued
 * next once it has waited longer than {@link #STARVATION_LIMIT_MS}. Not thread-safe;
 * calls are serialised by the owner of the controller.
 */
final class FairQueue {

	private static final double ALLOWED_LEAD_REQUESTS = 4;

	private static final double MAX_LEAD_REQUESTS = 8;

	private static final long STARVATION_LIMIT_MS = 300;

	private static final long ACTIVE_WINDOW_MS = 10_000;

	private static final double COST_SMOOTHING = 0.02;

	private static final double WITHIN_SHARE_SMOOTHING = 0.05;

	private final TreeSet<QueuedRequest> waiting = new TreeSet<>(
			Comparator.comparingInt((QueuedRequest entry) -> -entry.request.priority())
				.thenComparingDouble((entry) -> entry.startTag)
				.thenComparingLong((entry) -> entry.sequence));

	private final Map<String, OrganisationState> organisations = new HashMap<>();

	private double virtualTime;

	private double meanCost;

	private double withinShareFraction;

	private long lastPruneMs;

	private int totalWeight;

	private long nextSequence;

	int size() {
		return this.waiting.size();
	}

	boolean isOverShare(AdmissionRequest request) {
		return nextStartTag(request) > this.virtualTime + ALLOWED_LEAD_REQUESTS * this.meanCost;
	}

	boolean isNextOverShare(long nowMs) {
		QueuedRequest first = peek(nowMs);
		return first != null && first.startTag > this.virtualTime + ALLOWED_LEAD_REQUESTS * this.meanCost;
	}

	int countAhead(AdmissionRequest request) {
		double startTag = nextStartTag(request);
		int count = 0;
		for (QueuedRequest entry : this.waiting) {
			boolean after = entry.request.priority() < request.priority()
					|| entry.request.priority() == request.priority() && entry.startTag > startTag;
			if (after) {
				return count;
			}
			count++;
		}
		return count;
	}

	void recordImmediateStart(AdmissionRequest request) {
		assignTags(request);
		advanceVirtualTime(request);
	}

	void enqueue(AdmissionRequest request, long nowMs) {
		this.waiting.add(new QueuedRequest(request, assignTags(request), this.nextSequence++, nowMs));
	}

	QueuedRequest poll(long nowMs) {
		QueuedRequest first = peek(nowMs);
		if (first != null) {
			this.waiting.remove(first);
			advanceVirtualTime(first.request);
		}
		return first;
	}

	private QueuedRequest peek(long nowMs) {
		if (this.waiting.isEmpty()) {
			return null;
		}
		QueuedRequest oldest = this.waiting.first();
		for (QueuedRequest entry : this.waiting) {
			if (entry.enqueuedMs < oldest.enqueuedMs) {
				oldest = entry;
			}
		}
		return (nowMs - oldest.enqueuedMs > STARVATION_LIMIT_MS) ? oldest : this.waiting.first();
	}

	QueuedRequest remove(String id) {
		Iterator<QueuedRequest> entries = this.waiting.iterator();
		while (entries.hasNext()) {
			QueuedRequest entry = entries.next();
			if (entry.request.id().equals(id)) {
				entries.remove();
				return entry;
			}
		}
		return null;
	}

	QueuedRequest pollExpired(long nowMs) {
		for (QueuedRequest entry : this.waiting) {
			if (entry.request.deadlineMs() <= nowMs) {
				this.waiting.remove(entry);
				return entry;
			}
		}
		return null;
	}

	/**
	 * Records that an organisation sent a request, whether or not it is admitted.
	 * @param request the request
	 * @param nowMs current time
	 */
	void recordArrival(AdmissionRequest request, long nowMs) {
		OrganisationState state = this.organisations.computeIfAbsent(request.organisation(),
				(key) -> new OrganisationState());
		state.weight = Math.max(1, request.weight());
		state.lastArrivalMs = nowMs;
		if (nowMs - this.lastPruneMs > ACTIVE_WINDOW_MS / 10) {
			this.lastPruneMs = nowMs;
			this.organisations.values().removeIf((entry) -> nowMs - entry.lastArrivalMs > ACTIVE_WINDOW_MS);
			this.totalWeight = this.organisations.values().stream().mapToInt((entry) -> entry.weight).sum();
		}
	}

	/**
	 * Returns the fraction of accepted requests that belong to organisations within their
	 * share.
	 * @return a moving average between 0 and 1
	 */
	double withinShareFraction() {
		return this.withinShareFraction;
	}

	private double nextStartTag(AdmissionRequest request) {
		OrganisationState state = this.organisations.get(request.organisation());
		return (state != null) ? Math.max(this.virtualTime, state.finishTag) : this.virtualTime;
	}

	private double assignTags(AdmissionRequest request) {
		this.withinShareFraction += WITHIN_SHARE_SMOOTHING
				* ((isOverShare(request) ? 0 : 1) - this.withinShareFraction);
		double startTag = nextStartTag(request);
		double cost = Math.max(1, request.costTokens());
		this.meanCost += (this.meanCost == 0) ? cost : COST_SMOOTHING * (cost - this.meanCost);
		OrganisationState state = this.organisations.get(request.organisation());
		if (state != null) {
			double maxFinishTag = this.virtualTime + MAX_LEAD_REQUESTS * this.meanCost;
			state.finishTag = Math.min(startTag + cost / state.weight, Math.max(maxFinishTag, startTag));
		}
		return startTag;
	}

	private void advanceVirtualTime(AdmissionRequest request) {
		this.virtualTime += Math.max(1, request.costTokens()) / Math.max(1, this.totalWeight);
	}

	private static final class OrganisationState {

		private int weight = 1;

		private double finishTag;

		private long lastArrivalMs;

	}

	/**
	 * A request in the queue.
	 */
	static final class QueuedRequest {

		final AdmissionRequest request;

		final double startTag;

		final long sequence;

		final long enqueuedMs;

		QueuedRequest(AdmissionRequest request, double startTag, long sequence, long enqueuedMs) {
			this.request = request;
			this.startTag = startTag;
			this.sequence = sequence;
			this.enqueuedMs = enqueuedMs;
		}

	}

}
