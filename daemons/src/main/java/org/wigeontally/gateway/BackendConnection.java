package org.wigeontally.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.vertx.core.internal.net.NetSocketInternal;
import io.vertx.core.net.NetSocket;

import org.wigeontally.misc.Clock;
import org.wigeontally.platform.wire.WireNames;

/**
 * One connection to a backend server, with one call at a time.
 *
 * <p>
 * An answer belongs to the call whose id it echoes. A backend server may send a second
 * answer to an earlier call in front of the one that is awaited; such an answer is read
 * and dropped. After anything else that leaves a doubt about where the next answer begins
 * the connection is not used again: bytes while no call is open, an answer that comes
 * before the request was written, an answer that ends with the connection. Runs on the
 * event loop.
 */
final class BackendConnection {

	/** Idle time for which a connection is kept if the backend server names none. */
	private static final long DEFAULT_KEEP_MS = 4_000;

	/** Kept off the end of the idle time, since closing takes time to be seen. */
	private static final long KEEP_MARGIN_MS = 1_000;

	private static final int FOREIGN_ANSWERS_MAX = 3;

	private final NetSocketInternal socket;

	private final Clock clock;

	private final Runnable onClosed;

	private BackendResponseHandler answer;

	private BackendRequest call;

	private Runnable onIdle;

	private boolean headMethod;

	private boolean requestWritten;

	private boolean skipping;

	private boolean headSeen;

	private boolean reusable = true;

	private boolean readToClose;

	private boolean reset;

	private boolean closed;

	private int foreignAnswers;

	private long keepMs = DEFAULT_KEEP_MS;

	private long idleSinceMs;

	BackendConnection(NetSocket socket, Clock clock, Runnable onClosed) {
		this.socket = (NetSocketInternal) socket;
		this.clock = clock;
		this.onClosed = onClosed;
		this.idleSinceMs = clock.monotonicMs();
		ChannelPipeline pipeline = this.socket.channelHandlerContext().pipeline();
		pipeline.addBefore("handler", "request-encoder", new HttpRequestEncoder());
		pipeline.addBefore("handler", "answer-decoder", new AnswerDecoder());
		this.socket.messageHandler(this::message);
		this.socket.exceptionHandler((failure) -> this.reset = true);
		this.socket.closeHandler((v) -> closed());
	}

	/**
	 * Sends a call.
	 * @param next the call
	 * @param receiver gets the answer
	 * @param idle run once the connection can take another call
	 */
	void send(BackendRequest next, BackendResponseHandler receiver, Runnable idle) {
		this.call = next;
		this.answer = receiver;
		this.onIdle = idle;
		this.headMethod = "HEAD".equals(next.method());
		this.requestWritten = false;
		this.headSeen = false;
		this.skipping = false;
		this.foreignAnswers = 0;
		ByteBuf body = (next.body().length == 0) ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(next.body());
		DefaultFullHttpRequest message = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1,
				HttpMethod.valueOf(next.method()), next.uri(), body);
		next.headers().forEach((header) -> message.headers().add(header.getKey(), header.getValue()));
		if (next.body().length > 0 || "POST".equals(next.method()) || "PUT".equals(next.method())) {
			message.headers().set(HttpHeaderNames.CONTENT_LENGTH, next.body().length);
		}
		this.socket.writeMessage(message).onComplete((written) -> this.requestWritten = written.succeeded());
	}

	/**
	 * Returns whether a call may be sent.
	 * @param nowMs the time
	 * @param margin part of the kept idle time that may have passed
	 * @return true if it may
	 */
	boolean isUsable(long nowMs, double margin) {
		return !this.closed && this.reusable && this.answer == null && nowMs - this.idleSinceMs < this.keepMs * margin;
	}

	void close() {
		this.answer = null;
		this.reusable = false;
		if (!this.closed) {
			this.socket.close();
		}
	}

	private void message(Object message) {
		try {
			if (message instanceof HttpObject part) {
				part(part);
			}
		}
		finally {
			ReferenceCountUtil.release(message);
		}
	}

	private void part(HttpObject part) {
		if (part.decoderResult().isFailure()) {
			breakOff("malformed answer");
			return;
		}
		if (part instanceof HttpResponse response) {
			head(response);
		}
		if (part instanceof HttpContent content && this.headSeen) {
			content(content);
		}
	}

	private void head(HttpResponse response) {
		if (this.answer == null) {
			// Bytes after a complete answer belong to no call.
			close();
			return;
		}
		if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
			return;
		}
		this.headSeen = true;
		String echoed = response.headers().get(WireNames.ATTEMPT_ID);
		this.skipping = echoed != null && !echoed.equals(this.call.attemptId());
		if (this.skipping) {
			this.foreignAnswers++;
			if (this.foreignAnswers > FOREIGN_ANSWERS_MAX) {
				breakOff("answers to other requests");
			}
			return;
		}
		this.readToClose = !this.headMethod && !HttpUtil.isContentLengthSet(response)
				&& !HttpUtil.isTransferEncodingChunked(response) && hasBody(response.status());
		if (!this.requestWritten || this.readToClose || !HttpUtil.isKeepAlive(response)) {
			this.reusable = false;
		}
		keepAlive(response);
		this.answer.headReceived(response.status().code(), response.headers());
	}

	private static boolean hasBody(HttpResponseStatus status) {
		return status.code() != HttpResponseStatus.NO_CONTENT.code()
				&& status.code() != HttpResponseStatus.NOT_MODIFIED.code();
	}

	private void keepAlive(HttpMessage response) {
		String value = response.headers().get("Keep-Alive");
		int at = (value != null) ? value.indexOf("timeout=") : -1;
		if (at < 0) {
			return;
		}
		String digits = value.substring(at + "timeout=".length()).split("[^0-9]", 2)[0];
		if (!digits.isEmpty() && digits.length() < 6) {
			this.keepMs = Math.max(0, Long.parseLong(digits) * 1000 - KEEP_MARGIN_MS);
		}
	}

	private void content(HttpContent content) {
		boolean last = content instanceof LastHttpContent;
		if (last) {
			this.headSeen = false;
		}
		if (this.skipping) {
			return;
		}
		BackendResponseHandler receiver = this.answer;
		if (receiver == null) {
			return;
		}
		if (content.content().isReadable()) {
			receiver.bodyReceived(ByteBufUtil.getBytes(content.content()));
		}
		if (!last || this.answer == null) {
			return;
		}
		if (this.readToClose && this.reset) {
			breakOff("connection reset within the answer");
			return;
		}
		this.answer = null;
		this.idleSinceMs = this.clock.monotonicMs();
		if (this.reusable && !this.closed) {
			this.onIdle.run();
		}
		else {
			close();
		}
		receiver.responseEnded();
	}

	private void breakOff(String reason) {
		BackendResponseHandler receiver = this.answer;
		close();
		if (receiver != null) {
			receiver.connectionFailed(reason);
		}
	}

	private void closed() {
		this.closed = true;
		this.reusable = false;
		BackendResponseHandler receiver = this.answer;
		this.answer = null;
		this.onClosed.run();
		if (receiver != null) {
			receiver.connectionFailed(this.reset ? "connection reset" : "connection closed");
		}
	}

	/**
	 * Knows which answers have no body.
	 */
	private final class AnswerDecoder extends HttpResponseDecoder {

		@Override
		protected boolean isContentAlwaysEmpty(HttpMessage message) {
			return BackendConnection.this.headMethod || super.isContentAlwaysEmpty(message);
		}

	}

}
