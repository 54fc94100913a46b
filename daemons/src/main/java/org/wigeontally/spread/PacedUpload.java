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
	private static final int MIN_SEGMENT_BYTES = 6_144;

	private static final int TARGET_SEGMENTS = 64;

	private final Vertx vertx;

	private final Clock clock;

	private final LinkRateLimiter limiter;

	private final UploadTransport transport;

	private final String sender;

	/**
	 * Creates an upload path.
	 * @param vertx carries timers
	 * @param clock source of time
	 * @param limiter pace of the sending host
	 * @param transport the network
	 * @param sender name of the sending host; empty for the origin
	 */
	public PacedUpload(Vertx vertx, Clock clock, LinkRateLimiter limiter, UploadTransport transport, String sender) {
		this.vertx = vertx;
		this.clock = clock;
		this.limiter = limiter;
		this.transport = transport;
		this.sender = sender;
	}

	/**
	 * Sends a whole answer.
	 * @param response where to
	 * @param receiver name of the receiving host
	 * @param urgent true to go before uploads that are not
	 * @param bytes the body
	 * @return ends when all was sent or the connection broke
	 */
	public Future<Void> send(HttpServerResponse response, String receiver, boolean urgent, byte[] bytes) {
		Promise<Void> sent = Promise.promise();
		response.exceptionHandler(sent::tryFail);
		response.closeHandler((closed) -> sent.tryFail("closed"));
		response.putHeader("Content-Length", Integer.toString(bytes.length));
		int segmentBytes = Math.max(MIN_SEGMENT_BYTES, bytes.length / TARGET_SEGMENTS);
		sendNextSegment(response, receiver, urgent, bytes, 0, segmentBytes, sent);
		return sent.future();
	}

	private void sendNextSegment(HttpServerResponse response, String receiver, boolean urgent, byte[] bytes, int offset,
			int segmentBytes, Promise<Void> sent) {
		if (sent.future().isComplete()) {
			return;
		}
		if (offset == bytes.length) {
			response.end().onComplete((end) -> sent.tryComplete());
			return;
		}
		int length = Math.min(segmentBytes, bytes.length - offset);
		double nowMs = this.clock.monotonicMs();
		long waitMs = Math
			.round(urgent ? this.limiter.reserveUrgent(length, nowMs) : this.limiter.reserve(length, nowMs));
		delay(waitMs)
			.compose((waited) -> this.transport.transmit(this.sender, receiver,
					Buffer.buffer().appendBytes(bytes, offset, length)))
			.compose(response::write)
			.onFailure(sent::tryFail)
			.onSuccess((written) -> sendNextSegment(response, receiver, urgent, bytes, offset + length, segmentBytes,
					sent));
	}

	private Future<Void> delay(long waitMs) {
		if (waitMs <= 0) {
			return Future.succeededFuture();
		}
		Promise<Void> elapsed = Promise.promise();
		this.vertx.setTimer(waitMs, (id) -> elapsed.complete());
		return elapsed.future();
	}

}
