package org.wigeontally.spread;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;

import org.wigeontally.misc.Clock;
import org.wigeontally.weights.LinkRateLimiter;

/**
 * Sends bytes in small pieces at the pace of a link budget, so that uploads at once share
 * the link in turn and live requests never wait behind more than a few pieces.
 */
public final class PacedUpload {

	/** Takes 10 ms of a link of 5 Mbit/s; live requests wait no longer behind it. */
	private static final int PIECE_BYTES = 6_144;

	private static final int PIECES_PER_CHUNK = 64;

	private final Vertx vertx;

	private final Clock clock;

	private final LinkRateLimiter budget;

	private final Wire wire;

	private final String from;

	/**
	 * Creates an upload path.
	 * @param vertx carries timers
	 * @param clock source of time
	 * @param budget pace of the sending host
	 * @param wire the network
	 * @param from name of the sending host; empty for the origin
	 */
	public PacedUpload(Vertx vertx, Clock clock, LinkRateLimiter budget, Wire wire, String from) {
		this.vertx = vertx;
		this.clock = clock;
		this.budget = budget;
		this.wire = wire;
		this.from = from;
	}

	/**
	 * Sends a whole answer.
	 * @param response where to
	 * @param to name of the receiving host
	 * @param urgent true to go before uploads that are not
	 * @param bytes the body
	 * @return ends when all was sent or the connection broke
	 */
	public Future<Void> send(HttpServerResponse response, String to, boolean urgent, byte[] bytes) {
		Promise<Void> sent = Promise.promise();
		response.exceptionHandler(sent::tryFail);
		response.closeHandler((closed) -> sent.tryFail("closed"));
		response.putHeader("Content-Length", Integer.toString(bytes.length));
		int piece = Math.max(PIECE_BYTES, bytes.length / PIECES_PER_CHUNK);
		next(response, to, urgent, bytes, 0, piece, sent);
		return sent.future();
	}

	private void next(HttpServerResponse response, String to, boolean urgent, byte[] bytes, int offset, int most,
			Promise<Void> sent) {
		if (sent.future().isComplete()) {
			return;
		}
		if (offset == bytes.length) {
			response.end().onComplete((end) -> sent.tryComplete());
			return;
		}
		int length = Math.min(most, bytes.length - offset);
		double nowMs = this.clock.monotonicMs();
		long waitMs = Math
			.round(urgent ? this.budget.reserveUrgent(length, nowMs) : this.budget.reserve(length, nowMs));
		after(waitMs)
			.compose((waited) -> this.wire.carry(this.from, to, Buffer.buffer().appendBytes(bytes, offset, length)))
			.compose(response::write)
			.onFailure(sent::tryFail)
			.onSuccess((written) -> next(response, to, urgent, bytes, offset + length, most, sent));
	}

	private Future<Void> after(long waitMs) {
		if (waitMs <= 0) {
			return Future.succeededFuture();
		}
		Promise<Void> passed = Promise.promise();
		this.vertx.setTimer(waitMs, (id) -> passed.complete());
		return passed.future();
	}

}
