package org.wigeontally.control;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;

import org.wigeontally.configuration.Configuration;
import org.wigeontally.configuration.ConfigurationStateMachine;
import org.wigeontally.confirmation.ServingLease;
import org.wigeontally.control.ChangeOutcome.Status;
import org.wigeontally.errors.ErrorType;
import org.wigeontally.errors.Findings;
import org.wigeontally.log.PlatformLog;
import org.wigeontally.misc.Clock;
import org.wigeontally.replication.ConfigurationReplica;
import org.wigeontally.schema.generated.Change;
import org.wigeontally.schema.generated.Finding;
import org.wigeontally.schema.generated.LogRecord;
import org.wigeontally.schema.generated.Verdict;

/**
 * Submits an operator's change and determines its outcome. The log is read to its head
 * first, so that an earlier submission with the same id is found and an invalid change is
 * refused without an append. If the reply to an append is lost, the outcome is determined
 * by reading the log further. Until the id appears in the log, the outcome is reported as
 * unknown, never as accepted or refused. Runs on the control context.
 */
final class ChangeSubmitter {

	private static final long LOG_SYNC_TIMEOUT_MS = 1500;

	private static final long VERDICT_TIMEOUT_MS = 2000;

	private static final long MAJORITY_TIMEOUT_MS = 2500;

	private static final long CONDITION_POLL_MS = 20;

	private static final long MIN_EXCHANGE_INTERVAL_MS = 100;

	private final Vertx vertx;

	private final PlatformLog platformLog;

	private final LogFollower follower;

	private final ConfigurationReplica replica;

	private final ServingLease servingLease;

	private final Clock clock;

	private final Runnable startExchangeRound;

	private final Supplier<Map<String, Long>> revisionsByHost;

	private final Supplier<Long> minimumRevision;

	private long lastExchangeMs = Long.MIN_VALUE / 2;

	ChangeSubmitter(Vertx vertx, PlatformLog platformLog, LogFollower follower, ConfigurationReplica replica,
			ServingLease servingLease, Clock clock, Runnable startExchangeRound,
			Supplier<Map<String, Long>> revisionsByHost, Supplier<Long> minimumRevision) {
		this.vertx = vertx;
		this.platformLog = platformLog;
		this.follower = follower;
		this.replica = replica;
		this.servingLease = servingLease;
		this.clock = clock;
		this.startExchangeRound = startExchangeRound;
		this.revisionsByHost = revisionsByHost;
		this.minimumRevision = minimumRevision;
	}

	Future<ChangeOutcome> submit(Change change) {
		if (change.getId().isEmpty()) {
			Findings findings = Findings.create();
			findings.add("id", ErrorType.MISSING_VALUE, "id");
			return Future.succeededFuture(outcome(Status.REFUSED, 0, findings.list()));
		}
		Promise<ChangeOutcome> outcome = Promise.promise();
		this.follower.sync(LOG_SYNC_TIMEOUT_MS)
			.onSuccess((read) -> validateAndAppend(change).onComplete(outcome))
			.onFailure((failure) -> outcome.complete(unknown(failure.getMessage())));
		return outcome.future();
	}

	private Future<ChangeOutcome> validateAndAppend(Change change) {
		Configuration configuration = this.replica.configuration();
		if (configuration.verdict(change.getId()).isPresent()) {
			return awaitOutcome(change.getId());
		}
		Findings findings = this.replica.stateMachine().validate(configuration, change);
		if (!findings.isEmpty() && ConfigurationStateMachine.mayHaveDiscardedVerdict(configuration, change)) {
			return Future.succeededFuture(unknown("verdicts of that age are no longer kept"));
		}
		if (!findings.isEmpty()) {
			return Future.succeededFuture(outcome(Status.REFUSED, 0, findings.list()));
		}
		LogRecord record = LogRecord.newBuilder().setId(change.getId()).setChange(change).build();
		Context context = this.vertx.getOrCreateContext();
		Promise<ChangeOutcome> outcome = Promise.promise();
		this.platformLog.append(PlatformLog.CONFIGURATION, record)
			.whenComplete(
					(offset, failure) -> context.runOnContext((v) -> awaitOutcome(change.getId()).onComplete(outcome)));
		return outcome.future();
	}

	private Future<ChangeOutcome> awaitOutcome(String id) {
		Promise<ChangeOutcome> outcome = Promise.promise();
		awaitCondition(() -> this.replica.configuration().verdict(id).isPresent(), VERDICT_TIMEOUT_MS)
			.compose((found) -> {
				Optional<Verdict> verdict = this.replica.configuration().verdict(id);
				if (verdict.isEmpty() || !verdict.get().getAccepted()) {
					return Future.succeededFuture();
				}
				return awaitCondition(() -> isHeldByMajority(verdict.get().getOffset()), MAJORITY_TIMEOUT_MS);
			})
			.onComplete((done) -> outcome.complete(currentOutcome(id)));
		return outcome.future();
	}

	/**
	 * Returns whether a majority of the confirming hosts hold a revision. If not, starts
	 * an exchange round to learn their revisions, at most once per
	 * {@link #MIN_EXCHANGE_INTERVAL_MS}.
	 * @param revision the revision
	 * @return true if a majority hold it
	 */
	private boolean isHeldByMajority(long revision) {
		if (this.servingLease.isHeldByMajority(revision)) {
			return true;
		}
		if (this.clock.monotonicMs() - this.lastExchangeMs >= MIN_EXCHANGE_INTERVAL_MS) {
			this.lastExchangeMs = this.clock.monotonicMs();
			this.startExchangeRound.run();
		}
		return false;
	}

	/**
	 * Returns the currently known outcome of a change.
	 * @param id id of the change
	 * @return the outcome
	 */
	ChangeOutcome currentOutcome(String id) {
		Optional<Verdict> verdict = this.replica.configuration().verdict(id);
		if (verdict.isEmpty()) {
			return unknown("the change was not found in the log yet");
		}
		long offset = verdict.get().getOffset();
		if (!verdict.get().getAccepted()) {
			return outcome(Status.REFUSED, offset, verdict.get().getFindingsList());
		}
		boolean heldByMajority = this.servingLease.isHeldByMajority(offset);
		return outcome(heldByMajority ? Status.ACCEPTED : Status.PENDING, offset, List.of());
	}

	private ChangeOutcome unknown(String reason) {
		Findings findings = Findings.create();
		findings.add("", ErrorType.LOG_UNAVAILABLE, reason);
		return outcome(Status.UNKNOWN, 0, findings.list());
	}

	private ChangeOutcome outcome(Status status, long revision, List<Finding> findings) {
		return new ChangeOutcome(status, revision, findings, this.revisionsByHost.get(), this.minimumRevision.get());
	}

	private Future<Void> awaitCondition(BooleanSupplier condition, long timeoutMs) {
		Promise<Void> done = Promise.promise();
		long deadlineMs = this.clock.monotonicMs() + timeoutMs;
		pollCondition(condition, deadlineMs, done);
		return done.future();
	}

	private void pollCondition(BooleanSupplier condition, long deadlineMs, Promise<Void> done) {
		if (condition.getAsBoolean() || this.clock.monotonicMs() >= deadlineMs) {
			done.complete();
			return;
		}
		this.vertx.setTimer(CONDITION_POLL_MS, (id) -> pollCondition(condition, deadlineMs, done));
	}

}
