package org.wigeontally.gateway;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.DoubleUnaryOperator;

import org.wigeontally.eventlog.LogEvent;
import org.wigeontally.fleet.RetryAfter;
import org.wigeontally.harmful.PartAdmission;
import org.wigeontally.harmful.PromptPart;
import org.wigeontally.limits.Permit;
import org.wigeontally.limits.PermitQueue;

/**
 * Everything between a request that is to be sent and its attempt at a backend server:
 * whether this entry can still run it, whether the parts of its prompt are allowed, its
 * placement, for which it may wait, and a permit. Each step is repeated for every attempt
 * and after a wait, since the answers change meanwhile. Runs on the event loop.
 */
final class RequestDispatch implements PlacementInquiry {

	/** Refusal reason of an entry that is shutting down. */
	static final String LEAVING = "leaving";

	/** Callers that a shutting-down entry refuses can use another one immediately. */
	private static final double LEAVING_RETRY_AFTER_S = 0;

	/**
	 * Target of a stream that is resumed. The events that the caller has received would
	 * be lost, so it is placed like a request that can meet its target.
	 */
	private static final long RESUME_TARGET_MS = 1_000;

	private final GatewayContext context;

	private final QueuedPlacement placement;

	private final PermitClient permits;

	private final CallerRequest request;

	private final Listener listener;

	private final long targetAtMs;

	private final Set<String> triedBackendIds = new HashSet<>();

	// Parts of the prompt for which the request is on trial.
	private Set<PromptPart> triedParts = Set.of();

	private boolean answerBegan;

	RequestDispatch(GatewayContext context, QueuedPlacement placement, PermitClient permits, CallerRequest request,
			Listener listener) {
		this.context = context;
		this.placement = placement;
		this.permits = permits;
		this.request = request;
		this.listener = listener;
		long elapsedBeforeMs = context.elapsedBeforeMs(request.route().name(), request.callerTimeoutMs());
		this.targetAtMs = request.receivedAtMs() + request.route().targetMs() - elapsedBeforeMs;
	}

	/** Sends the request, lets it wait, or reports why it cannot be sent. */
	void dispatch() {
		// A stream that has begun is resumed in any case; its events would be lost.
		if (!this.listener.hasForwardedEvents()
				&& !this.context.outlasts(this.context.nowMs() + this.listener.remainingMs())) {
			this.listener.notDispatched(LEAVING, (remainingMs) -> LEAVING_RETRY_AFTER_S);
			return;
		}
		if (!this.answerBegan && !admitParts()) {
			return;
		}
		Placement decision = this.placement.place(this);
		if (decision instanceof Placement.Placed placed) {
			acquirePermitAndSend(placed);
		}
		else if (decision instanceof Placement.NotPlaced refusal) {
			waitFailed(refusal);
		}
	}

	private void acquirePermitAndSend(Placement.Placed placed) {
		Backend backend = placed.backend();
		if (!backend.limit().isNamed()) {
			send(placed, null);
			return;
		}
		Permit permit = Permit.askedNow(this.context.clock());
		this.permits.acquire(backend, new PermitQueue.Waiter() {

			@Override
			public boolean permitted() {
				if (RequestDispatch.this.listener.isFinished()) {
					return false;
				}
				RequestDispatch.this.listener.guard(() -> send(placed, permit));
				return true;
			}

			@Override
			public void denied() {
				if (!RequestDispatch.this.listener.isFinished()) {
					RequestDispatch.this.triedBackendIds.add(backend.record().id());
					placeAgain();
				}
			}

		});
	}

	private void send(Placement.Placed placed, Permit permit) {
		this.triedBackendIds.add(placed.backend().record().id());
		this.listener.send(placed, permit);
	}

	// An answer that has begun shows that the prompt is harmless, so it is not judged
	// again when the stream is resumed.
	private boolean admitParts() {
		PartAdmission admission = this.context.harmfulParts().admit(this.request.sharedParts());
		if (admission.isAllowed()) {
			this.triedParts = admission.parts();
			return true;
		}
		this.context.log()
			.write(LogEvent.REQUEST_NOT_PLACED, "id", this.request.attemptId(), "service", this.request.service(),
					"parts", HarmfulPartGuard.ids(admission.parts()), "losses", admission.lossCount());
		String reason = (admission.action() == PartAdmission.Action.REFUSE) ? "harmful-part" : "part-on-trial";
		this.listener.notDispatched(reason,
				(remainingMs) -> RetryAfter.seconds(admission.retryAfterMs(), remainingMs, this.context.random()));
		return false;
	}

	/**
	 * Sends the request to one more backend server while its attempts are silent.
	 * @return where it is sent if one has a place
	 */
	Optional<Placement.Placed> placeSuccessor() {
		return this.placement.placeSuccessor(this);
	}

	/**
	 * Sends the request to one more backend server.
	 * @param successor where it is sent
	 */
	void sendSuccessor(Placement.Placed successor) {
		send(successor, null);
	}

	/**
	 * Returns whether a second attempt may run beside another one. A prompt on trial runs
	 * at one engine at a time.
	 * @return false if a part of the prompt is suspected
	 */
	boolean mayRunTwice() {
		return this.answerBegan || (this.triedParts.isEmpty()
				&& this.context.harmfulParts().admit(this.request.sharedParts()).isUnsuspected());
	}

	Set<PromptPart> triedParts() {
		return this.triedParts;
	}

	/** Records that the answer has begun without a crash. */
	void answerBegun() {
		this.answerBegan = true;
		this.triedParts = Set.of();
	}

	/**
	 * Allows a backend server again that lacked only a permit.
	 * @param backendId id of the backend server
	 */
	void allowAgain(String backendId) {
		this.triedBackendIds.remove(backendId);
	}

	/** Ends a wait for a slot, because the request has ended. */
	void end() {
		this.placement.leave(this);
	}

	@Override
	public CallerRequest request() {
		return this.request;
	}

	@Override
	public Set<String> triedBackendIds() {
		return this.triedBackendIds;
	}

	@Override
	public long targetLeftMs() {
		return this.listener.hasForwardedEvents() ? RESUME_TARGET_MS : this.targetAtMs - this.context.nowMs();
	}

	@Override
	public long deadlineLeftMs() {
		return this.listener.remainingMs();
	}

	@Override
	public boolean mayWait() {
		return !this.listener.isSentBefore();
	}

	@Override
	public void placeAgain() {
		if (!this.listener.isFinished()) {
			this.listener.guard(this::dispatch);
		}
	}

	@Override
	public void waitFailed(Placement.NotPlaced refusal) {
		this.listener.guard(() -> this.listener.notDispatched(refusal.reason(), refusal.retryAfterSeconds()));
	}

	/**
	 * The request as a whole.
	 */
	interface Listener {

		boolean isFinished();

		/**
		 * Returns whether the request was sent to a backend server, or its stream has
		 * begun.
		 * @return true if it may have run
		 */
		boolean isSentBefore();

		boolean hasForwardedEvents();

		/**
		 * Returns the remaining time of the request.
		 * @return milliseconds
		 */
		long remainingMs();

		/**
		 * Runs a step. Whatever it throws ends the request with an answer.
		 * @param step the step
		 */
		void guard(Runnable step);

		/**
		 * Called when the request can be sent.
		 * @param placed where it is sent
		 * @param permit permit for it, or null if the backend server has no limit
		 */
		void send(Placement.Placed placed, Permit permit);

		/**
		 * Called when the request cannot be sent.
		 * @param reason reason for the log
		 * @param retryAfterSeconds when the caller returns, by its remaining time in
		 * milliseconds
		 */
		void notDispatched(String reason, DoubleUnaryOperator retryAfterSeconds);

	}

}
