package org.wigeontally.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.wigeontally.eventlog.LogEvent;
import org.wigeontally.placement.EngineBacklog;
import org.wigeontally.placement.EngineProfile;
import org.wigeontally.placement.ExpectedWork;
import org.wigeontally.placement.SpeedEstimate;

/**
 * The work that one attempt causes at its backend server. Tells the load, the backlog and
 * the speed of the backend server, and the lengths of answers, how the attempt goes on.
 * Runs on the event loop.
 */
final class AttemptWork {

	/** Age that is logged of what was never reported. */
	private static final long MAX_LOGGED_AGE_MS = 999_999;

	private final GatewayContext context;

	private final CallerRequest request;

	private final Backend backend;

	private final int enginePriority;

	private final Optional<ExpectedWork> expected;

	private EngineBacklog.OwnRequest ownRequest;

	private boolean resumed;

	private long sentAtMs;

	private int events;

	private long lastEventsMs;

	AttemptWork(GatewayContext context, CallerRequest request, Placement.Placed placed) {
		this.context = context;
		this.request = request;
		this.backend = placed.backend();
		this.enginePriority = placed.enginePriority();
		this.expected = placed.work();
	}

	/** Records that the attempt begins. */
	void begin() {
		this.backend.load().recordSent();
		this.expected
			.ifPresent((work) -> this.ownRequest = this.backend.backlog().add(work.promptTokens(), work.answer()));
	}

	/**
	 * Records that the request is sent.
	 * @param remainingMs time left for it
	 * @param lastEventId id of the event after which the stream goes on, or null
	 * @param begun whether the caller has received events of the stream from this entry
	 */
	void sent(long remainingMs, String lastEventId, boolean begun) {
		this.resumed = lastEventId != null;
		String backendId = this.backend.record().id();
		if (begun) {
			this.context.log()
				.write(LogEvent.STREAM_RESUMED, "id", this.request.attemptId(), "backend", backendId, "last-event",
						lastEventId);
		}
		this.sentAtMs = this.context.nowMs();
		List<Object> fields = new ArrayList<>(List.of("id", this.request.attemptId(), "backend", backendId, "zone",
				this.backend.record().zone(), "load", estimatedRequests(this.sentAtMs), "load-age-ms",
				Math.min(this.backend.load().reportAgeMs(this.sentAtMs), MAX_LOGGED_AGE_MS), "limit",
				this.backend.limit().perSecond(), "rank", this.enginePriority, "left-ms", remainingMs));
		if (this.context.traits(this.request.service()).isScheduled()) {
			addWork(fields);
		}
		fields.addAll(List.of("configuration", this.context.fleet().configuration().version()));
		this.context.log().write(LogEvent.REQUEST_PLACED, fields.toArray());
	}

	private void addWork(List<Object> fields) {
		SpeedEstimate speed = this.backend.load().speed();
		fields.addAll(List.of("slowdown", Math.round(speed.slowdownFactor(this.sentAtMs) * 100) / 100.0,
				"slowdown-age-ms", Math.min(speed.ageMs(this.sentAtMs), MAX_LOGGED_AGE_MS)));
		this.expected.ifPresent((work) -> fields.addAll(List.of("expected-tokens",
				Math.round(work.answer().expectedTokens()), "predicted-ms", Math.round(work.firstEventMs()))));
	}

	private int estimatedRequests(long nowMs) {
		return this.backend.load().estimatedRequests(nowMs, this.context.fleet().entryCount());
	}

	/**
	 * Records events of a stream.
	 * @param takenEvents events so far
	 * @param nowMs the current time
	 */
	void eventsReceived(int takenEvents, long nowMs) {
		if (this.ownRequest == null || takenEvents <= this.events) {
			return;
		}
		EngineProfile profile = this.expected.get().profile();
		if (this.events > 0) {
			int batchSize = Math.max(1, Math.min(profile.batchSlots(), estimatedRequests(nowMs)));
			double pauseMs = (double) (nowMs - this.lastEventsMs) / (takenEvents - this.events);
			this.backend.load().speed().recordPause(pauseMs / Math.max(1, profile.passMs(batchSize)), nowMs);
		}
		else if (!this.resumed) {
			this.context.metrics()
				.recordFirstEventRatio(this.request.service(),
						(nowMs - this.sentAtMs) / Math.max(1, this.expected.get().firstEventMs()));
		}
		this.events = takenEvents;
		this.lastEventsMs = nowMs;
		this.ownRequest.setWrittenTokens(takenEvents * Math.max(1, profile.stepsPerPass()));
	}

	/** Records that the stream is complete. */
	void completed() {
		// Of a resumed stream, only the rest was received.
		if (this.ownRequest != null && !this.resumed && this.events > 0) {
			int tokens = this.ownRequest.writtenTokens();
			this.context.answerLengths().record(this.ownRequest.answer(), tokens);
			this.context.metrics()
				.recordAnswerTokensRatio(this.request.service(),
						tokens / Math.max(1, this.ownRequest.answer().expectedTokens()));
		}
	}

	/** Records that the attempt ended, successfully or not. */
	void end() {
		this.backend.load().recordEnd();
		if (this.ownRequest != null) {
			this.ownRequest.end();
		}
	}

}
