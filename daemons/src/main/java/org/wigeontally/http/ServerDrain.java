package org.wigeontally.http;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;

import org.wigeontally.fleet.ConnectionSweep;
import org.wigeontally.fleet.DrainSchedule;

/**
 * Closes a server by the schedule of a drain: first the port and the idle connections,
 * then each of the others when its response has been sent. No request is taken after the
 * end. Runs on the event loop of the server.
 */
public final class ServerDrain {

	private static final long CHECK_INTERVAL_MS = 20;

	private final Vertx vertx;

	private final Context eventLoop;

	private final HttpServer server;

	private final DrainSchedule schedule;

	private final LongSupplier monotonicMs;

	private final Listener listener;

	private final Promise<Void> drained = Promise.promise();

	private boolean closing;

	private ServerDrain(Vertx vertx, HttpServer server, DrainSchedule schedule, LongSupplier monotonicMs,
			Listener listener) {
		this.vertx = vertx;
		this.eventLoop = vertx.getOrCreateContext();
		this.server = server;
		this.schedule = schedule;
		this.monotonicMs = monotonicMs;
		this.listener = listener;
	}

	/**
	 * Starts a drain. Must be called on the event loop of the server.
	 * @param vertx the Vert.x instance whose timers are used
	 * @param server the server
	 * @param schedule when the server closes and when the drain ends at the latest
	 * @param monotonicMs source of monotonic time, in milliseconds
	 * @param listener the owner of the server
	 * @return completes when all connections are closed or the grace period is over
	 */
	public static Future<Void> start(Vertx vertx, HttpServer server, DrainSchedule schedule, LongSupplier monotonicMs,
			Listener listener) {
		ServerDrain drain = new ServerDrain(vertx, server, schedule, monotonicMs, listener);
		vertx.setPeriodic(CHECK_INTERVAL_MS, drain::check);
		return drain.drained.future();
	}

	private void check(long timer) {
		long nowMs = this.monotonicMs.getAsLong();
		if (this.schedule.isAnswerDue(nowMs)) {
			this.listener.answerDue();
		}
		if (this.schedule.isClosingDue(nowMs) && !this.closing) {
			this.vertx.setTimer(ConnectionSweep.CONFIRMATION_DELAY_MS, (id) -> close());
		}
		if (this.schedule.remainingMs(nowMs) <= 0) {
			this.drained.tryComplete();
		}
		if (this.drained.future().isComplete()) {
			this.vertx.cancelTimer(timer);
		}
	}

	// Must run on a timer of its own, so that requests which had arrived have been read.
	// Vert.x would discard what is unsent of a response that has ended, so unsent bytes
	// are waited for. It takes a connection for idle whose next request has not been read
	// to the end of its headers; these are waited for until no request would be started
	// any more.
	private void close() {
		long nowMs = this.monotonicMs.getAsLong();
		long remainingMs = this.schedule.remainingMs(nowMs);
		if (this.closing || remainingMs <= 0 || this.listener.hasUnsentBytes()) {
			return;
		}
		if (this.listener.isReadingHeads() && !this.schedule.isAnswerDue(nowMs)) {
			return;
		}
		this.closing = true;
		this.listener.closing();
		// The last connection may close while its request is still being ended.
		this.server.shutdown(remainingMs, TimeUnit.MILLISECONDS)
			.onComplete((closed) -> this.eventLoop.runOnContext((v) -> this.drained.tryComplete()));
	}

	/**
	 * The owner of a server that is drained.
	 */
	public interface Listener {

		/**
		 * Returns whether parts of responses have not been sent yet.
		 * @return true if there are any
		 */
		boolean hasUnsentBytes();

		/**
		 * Returns whether headers of requests are being read, as far as the owner knows.
		 * @return true if there are any
		 */
		default boolean isReadingHeads() {
			return false;
		}

		/**
		 * The requests in flight must be answered now. May be called several times.
		 */
		default void answerDue() {
		}

		/**
		 * The server closes its port and its idle connections.
		 */
		void closing();

	}

}
