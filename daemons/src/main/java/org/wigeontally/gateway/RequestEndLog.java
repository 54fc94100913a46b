package org.wigeontally.gateway;

import org.wigeontally.eventlog.LogEvent;

/**
 * Writes the log lines about the end of one request, and about what failed in it. Runs on
 * the event loop.
 */
final class RequestEndLog {

	private final GatewayContext context;

	private final CallerRequest request;

	RequestEndLog(GatewayContext context, CallerRequest request) {
		this.context = context;
		this.request = request;
	}

	private long elapsedMs() {
		return this.context.nowMs() - this.request.receivedAtMs();
	}

	void fault(Throwable failure, int sends) {
		this.context.log()
			.write(LogEvent.FAULT, "id", this.request.attemptId(), "sends", sends, "reason", failure.toString());
	}

	void attemptFailed(BackendAttempt attempt, AttemptFailure outcome, String reason, int sends) {
		this.context.log()
			.write(LogEvent.ATTEMPT_FAILED, "id", this.request.attemptId(), "backend", attempt.backendId(), "outcome",
					outcome.label(), "reason", reason, "after-ms", attempt.elapsedMs(), "sends", sends);
	}

	void callerLeft(boolean begun) {
		this.context.log()
			.write(LogEvent.CALLER_LEFT, "id", this.request.attemptId(), "after-ms", elapsedMs(), "begun", begun);
	}

	void answerGivenUp(long unsentBytes) {
		this.context.log()
			.write(LogEvent.ANSWER_GIVEN_UP, "id", this.request.attemptId(), "route", this.request.route().name(),
					"unsent-bytes", unsentBytes, "after-ms", elapsedMs(), "configuration",
					this.context.fleet().configurationVersion());
	}

	void refused(LocalResponse refusal, int sends) {
		this.context.log()
			.write(LogEvent.REQUEST_REFUSED, "id", this.request.attemptId(), "route", this.request.route().name(),
					"organisation", this.request.organisationName(), "status", refusal.status(), "reason",
					refusal.reason(), "return-s", refusal.retryAfterSeconds(), "sends", sends, "after-ms", elapsedMs(),
					"configuration", this.context.fleet().configuration().version());
	}

	void streamCut(String reason, String lastEventId, StreamTimes times, int sends) {
		this.context.log()
			.write(LogEvent.REQUEST_REFUSED, "id", this.request.attemptId(), "route", this.request.route().name(),
					"reason", reason, "begun", true, "last-event", lastEventId, "silent-ms",
					times.silentMs(this.context.nowMs()), "sends", sends, "after-ms", elapsedMs(), "configuration",
					this.context.fleet().configuration().version());
	}

	void done(int status, StreamTimes times, int sends) {
		this.context.log()
			.write(LogEvent.REQUEST_DONE, "id", this.request.attemptId(), "route", this.request.route().name(),
					"status", status, "sends", sends, "after-ms", elapsedMs(), "first-event-ms", times.firstEventMs(),
					"longest-pause-ms", times.longestPauseMs());
	}

}
