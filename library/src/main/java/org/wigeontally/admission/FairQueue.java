package org.wigeontally.admission;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.TreeSet;

/**
 * Orders waiting requests by priority and then by start-time fair queueing between
 * organisations.
 *
 * <p>
 * Each request gets a start tag, the larger of the virtual time and its organisation's
 * last finish tag, and a finish tag later by cost over weight. The lowest start tag
 * leaves first and sets the virtual time, so an organisation that sends much runs ahead
 * of the virtual time and waits, while one that sent nothing begins at it and cannot save
 * up credit. Requests that run without waiting are tagged too; else the queue would not
 * know who used the backend server before it filled up.
 *
 * <p>
 * The tags also tell who is over its share: an organisation whose next start tag is more
 * than {@link #ALLOWANCE} mean requests ahead. The gate lets it use only a part of the
 * queue, so that one large organisation never takes the last place. Used by the gate's
 * thread.
 */
final class FairQueue {

	private static final double ALLOWANCE = 4;

	private static final double COST_SMOOTHING = 0.02;

	private static final int FORGET_ABOVE = 1_000;

	private final TreeSet<Waiting> waiting = new TreeSet<>(
			Comparator.comparingInt((Waiting entry) -> -entry.request.priority())
				.thenComparingDouble((entry) -> entry.startTag)
				.thenComparingLong((entry) -> entry.order));

	private final Map<String, Double> finishTags = new HashMap<>();

	private double virtualTime;

	private double meanCost;

	private long order;

	int size() {
		return this.waiting.size();
	}

	boolean overShare(AdmissionRequest request) {
		return nextStart(request) > this.virtualTime + ALLOWANCE * this.meanCost;
	}

	int ahead(AdmissionRequest request) {
		double startTag = nextStart(request);
		int count = 0;
		for (Waiting entry : this.waiting) {
			boolean after = entry.request.priority() < request.priority()
					|| entry.request.priority() == request.priority() && entry.startTag > startTag;
			if (after) {
				return count;
			}
			count++;
		}
		return count;
	}

	void passThrough(AdmissionRequest request) {
		this.virtualTime = Math.max(this.virtualTime, tag(request));
	}

	void push(AdmissionRequest request, long nowMs) {
		this.waiting.add(new Waiting(request, tag(request), this.order++, nowMs));
	}

	Waiting poll() {
		Waiting first = this.waiting.pollFirst();
		if (first != null) {
			this.virtualTime = Math.max(this.virtualTime, first.startTag);
		}
		return first;
	}

	Waiting remove(String id) {
		Iterator<Waiting> entries = this.waiting.iterator();
		while (entries.hasNext()) {
			Waiting entry = entries.next();
			if (entry.request.id().equals(id)) {
				entries.remove();
				return entry;
			}
		}
		return null;
	}

	Waiting pollExpired(long nowMs) {
		for (Waiting entry : this.waiting) {
			if (entry.request.deadlineMs() <= nowMs) {
				this.waiting.remove(entry);
				return entry;
			}
		}
		return null;
	}

	private double nextStart(AdmissionRequest request) {
		return Math.max(this.virtualTime, this.finishTags.getOrDefault(request.organisation(), 0.0));
	}

	private double tag(AdmissionRequest request) {
		double startTag = nextStart(request);
		double cost = Math.max(1, request.cost());
		this.meanCost += (this.meanCost == 0) ? cost : COST_SMOOTHING * (cost - this.meanCost);
		this.finishTags.put(request.organisation(), startTag + cost / Math.max(1, request.weight()));
		if (this.finishTags.size() > FORGET_ABOVE) {
			this.finishTags.values().removeIf((finish) -> finish <= this.virtualTime);
		}
		return startTag;
	}

	/**
	 * A request in the queue.
	 */
	static final class Waiting {

		final AdmissionRequest request;

		final double startTag;

		final long order;

		final long sinceMs;

		Waiting(AdmissionRequest request, double startTag, long order, long sinceMs) {
			this.request = request;
			this.startTag = startTag;
			this.order = order;
			this.sinceMs = sinceMs;
		}

	}

}
