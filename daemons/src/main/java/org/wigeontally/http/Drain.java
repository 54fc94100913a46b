package org.wigeontally.http;

import java.util.function.IntSupplier;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;

/**
 * Waits until the requests in flight have ended and clients have had time to learn that
 * this process is shutting down. Until then the process keeps listening and answers new
 * requests with the outcome "not run", because closing earlier would abort requests that
 * were already sent on open connections.
 */
public final class Drain {

	private static final long POLL_MS = 20;

	private Drain() {
	}

	/**
	 * Waits for the notice time and then for the requests in flight.
	 * @param vertx the Vert.x instance whose timers are used
	 * @param inFlight returns the number of requests in flight
	 * @param noticeMs time for the notice of the shutdown to reach all clients, in
	 * milliseconds
	 * @param maxWaitMs maximum wait for requests after that, in milliseconds
	 * @return number of requests still in flight at the end; 0 if all ended
	 */
	public static Future<Integer> await(Vertx vertx, IntSupplier inFlight, long noticeMs, long maxWaitMs) {
		Promise<Integer> done = Promise.promise();
		vertx.setTimer(noticeMs, (id) -> poll(vertx, inFlight, maxWaitMs, done));
		return done.future();
	}

	private static void poll(Vertx vertx, IntSupplier inFlight, long remainingMs, Promise<Integer> done) {
		int count = inFlight.getAsInt();
		if (count == 0 || remainingMs <= 0) {
			done.complete(count);
			return;
		}
		vertx.setTimer(POLL_MS, (id) -> poll(vertx, inFlight, remainingMs - POLL_MS, done));
	}

}
