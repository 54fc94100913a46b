package org.wigeontally.http;

import java.util.function.IntSupplier;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;

/**
 * Waits until the requests in flight have ended and those who send requests have had time
 * to learn that this process leaves. Until then it listens and answers "not run": closing
 * earlier would cut requests that are on their way on open connections.
 */
public final class Drain {

	private static final long POLL_MS = 20;

	private Drain() {
	}

	/**
	 * Waits.
	 * @param vertx the Vert.x instance whose timers are used
	 * @param inFlight counts the requests in flight
	 * @param noticeMs time in which the word that this process leaves spreads, in
	 * milliseconds
	 * @param maxWaitMs longest wait for requests after that, in milliseconds
	 * @return succeeds with the requests still in flight at the end, 0 if all ended
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
