package org.wigeontally.spread;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;

import org.wigeontally.misc.Clock;
import org.wigeontally.weights.LinkRateLimiter;

/**
 * Sends response bodies in small segments at the rate of a link rate limiter, so that
 * concurrent uploads share the link and live requests never wait behind more than a few
 * segments.
 */
public final class PacedUpload {

	/** Bounds the delay of live requests: 10 ms per segment on a link of 5 Mbit/s. */
	private static final int MIN_SEGMENT_BYTES = 6_144;

	/** Large bodies use larger segments, so that their number stays near this bound. */
	private static final int TARGET_SEGMENTS = 64;

	private final Vertx vertx;

	private final Clock clock;

	private final LinkRateLimiter limiter;

	private final UploadTransport transport;

	private final String sender;

	/**
	 * Creates an upload path.
	 * @param vertx the Vert.x instance, used for timers
	 * @param clock source of time
	 * @param limiter rate limiter of the sending host
	 * @param transport transport of the segments
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
	 * Sends a complete response body.
	 * @param response response to write to
	 * @param receiver name of the receiving host
	 * @param urgent true to take precedence over uploads that are not urgent
	 * @param bytes the body
	 * @return completes when the body is sent; fails if the connection breaks
	 */
	public Future<Void> send(HttpServerResponse response, String receiver, boolean urgent, byte[] bytes) {
		Promise<Void> sent = Promise.promise();
		response.exceptionHandler(sent::tryFail);
		response.closeHandler((closed) -> sent.tryFail("closed"));
		response.putHeader("Content-Length", Integer.toString(bytes.length));
		sendNextSegment(response, receiver, urgent, bytes, 0, segmentBytes(bytes.length), sent);
		return sent.future();
	}

	/**
	 * Returns the size of the segments of a body.
	 * @param bodyBytes size of the body
	 * @return number of bytes
	 */
	public static int segmentBytes(int bodyBytes) {
		return Math.max(MIN_SEGMENT_BYTES, bodyBytes / TARGET_SEGMENTS);
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
