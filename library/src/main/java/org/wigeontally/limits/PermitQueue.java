package org.wigeontally.limits;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The requests of this entry that wait for a permit to be sent to one limited backend
 * server. Used by one thread.
 *
 * <p>
 * One inquiry to the coordinator is under way at a time; it asks for all requests that
 * wait. When the coordinator has no more permits it says when it has the next one, and
 * until then the backend server counts as unavailable, so nobody waits for it and nobody
 * asks again.
 */
public final class PermitQueue {

	/** Time after which an inquiry has failed. */
	public static final long INQUIRY_TIMEOUT_MS = 200;

	/** Time for which the backend server is unavailable if nobody answers. */
	private static final long FAILURE_HOLD_MS = 250;

	/**
	 * Time after which an inquiry is slow. Requests that arrive later do not wait for its
	 * answer.
	 */
	private static final long SLOW_INQUIRY_MS = 40;

	private static final long NOT_HELD_MS = Long.MIN_VALUE / 2;

	private final Deque<Waiter> waiting = new ArrayDeque<>();

	private int asked;

	private long askedAtMs;

	private long heldUntilMs = NOT_HELD_MS;

	private long permitted;

	private PermitQueue() {
	}

	/**
	 * Creates an empty queue.
	 * @return the queue
	 */
	public static PermitQueue create() {
		return new PermitQueue();
	}

	/**
	 * Returns the time until a permit may be available.
	 * @param nowMs current time in milliseconds
	 * @return milliseconds; 0 if the coordinator may have one
	 */
	public long heldMs(long nowMs) {
		boolean slow = this.asked > 0 && nowMs - this.askedAtMs > SLOW_INQUIRY_MS;
		return Math.max(slow ? SLOW_INQUIRY_MS : 0, this.heldUntilMs - nowMs);
	}

	/**
	 * Returns how many requests have got a permit.
	 * @return number of requests
	 */
	public long permitted() {
		return this.permitted;
	}

	/**
	 * Adds a request.
	 * @param waiter receives the outcome
	 */
	public void add(Waiter waiter) {
		this.waiting.addLast(waiter);
	}

	/**
	 * Begins an inquiry if requests wait and none is under way.
	 * @param nowMs current time in milliseconds
	 * @return number of permits to ask for; 0 for no inquiry
	 */
	public int beginInquiry(long nowMs) {
		if (this.asked > 0) {
			return 0;
		}
		this.asked = this.waiting.size();
		this.askedAtMs = nowMs;
		return this.asked;
	}

	/**
	 * Ends the inquiry with an answer of the coordinator. Permits go to the requests in
	 * their order, and if the coordinator has no more, the others are denied.
	 * @param grant the answer
	 * @param nowMs current time in milliseconds
	 */
	public void answered(PermitGrant grant, long nowMs) {
		boolean exhausted = grant.granted() < this.asked;
		this.asked = 0;
		this.heldUntilMs = nowMs + grant.nextInMs();
		int permits = grant.granted();
		while (permits > 0 && !this.waiting.isEmpty()) {
			if (this.waiting.removeFirst().permitted()) {
				permits--;
				this.permitted++;
			}
		}
		if (exhausted) {
			denyAll();
		}
	}

	/**
	 * Ends the inquiry without an answer.
	 * @param nowMs current time in milliseconds
	 */
	public void failed(long nowMs) {
		this.asked = 0;
		this.heldUntilMs = nowMs + FAILURE_HOLD_MS;
		denyAll();
	}

	/**
	 * Permits all requests, because the backend server no longer has a limit.
	 */
	public void limitEnded() {
		this.heldUntilMs = NOT_HELD_MS;
		Deque<Waiter> released = new ArrayDeque<>(this.waiting);
		this.waiting.clear();
		released.forEach(Waiter::permitted);
	}

	private void denyAll() {
		Deque<Waiter> denied = new ArrayDeque<>(this.waiting);
		this.waiting.clear();
		denied.forEach(Waiter::denied);
	}

	/**
	 * A request that waits for a permit.
	 */
	public interface Waiter {

		/**
		 * Called when the request may be sent.
		 * @return false if it no longer needs the permit
		 */
		boolean permitted();

		/** Called when there is no permit. */
		void denied();

	}

}
