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
	private static final long DEFAULT_KEEP_ALIVE_MS = 4_000;

	/** Kept off the end of the idle time, since closing takes time to be seen. */
	private static final long KEEP_ALIVE_MARGIN_MS = 1_000;

	private static final int MAX_UNRELATED_RESPONSES = 3;

	private final NetSocketInternal socket;

	private final Clock clock;

	private final Runnable onClosed;

	private BackendResponseHandler responseHandler;

	private BackendRequest request;

	private Runnable onIdle;

	private boolean isHeadRequest;

	private boolean requestWritten;

	private boolean skippingResponse;

	private boolean headReceived;

	private boolean reusable = true;

	private boolean delimitedByClose;

	private boolean reset;

	private boolean closed;

	private int unrelatedResponses;

	private long keepAliveMs = DEFAULT_KEEP_ALIVE_MS;

	private long idleSinceMs;

	BackendConnection(NetSocket socket, Clock clock, Runnable onClosed) {
		this.socket = (NetSocketInternal) socket;
		this.clock = clock;
		this.onClosed = onClosed;
		this.idleSinceMs = clock.monotonicMs();
		ChannelPipeline pipeline = this.socket.channelHandlerContext().pipeline();
		pipeline.addBefore("handler", "request-encoder", new HttpRequestEncoder());
		pipeline.addBefore("handler", "answer-decoder", new ResponseDecoder());
		this.socket.messageHandler(this::handleMessage);
		this.socket.exceptionHandler((failure) -> this.reset = true);
		this.socket.closeHandler((v) -> handleClosed());
	}

	/**
	 * Sends a call.
	 * @param backendRequest the call
	 * @param handler gets the answer
	 * @param whenIdle run once the connection can take another call
	 */
	void send(BackendRequest backendRequest, BackendResponseHandler handler, Runnable whenIdle) {
		this.request = backendRequest;
		this.responseHandler = handler;
		this.onIdle = whenIdle;
		this.isHeadRequest = "HEAD".equals(backendRequest.method());
		this.requestWritten = false;
		this.headReceived = false;
		this.skippingResponse = false;
		this.unrelatedResponses = 0;
		ByteBuf body = (backendRequest.body().length == 0) ? Unpooled.EMPTY_BUFFER
				: Unpooled.wrappedBuffer(backendRequest.body());
		DefaultFullHttpRequest message = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1,
				HttpMethod.valueOf(backendRequest.method()), backendRequest.uri(), body);
		backendRequest.headers().forEach((header) -> message.headers().add(header.getKey(), header.getValue()));
		if (backendRequest.body().length > 0 || "POST".equals(backendRequest.method())
				|| "PUT".equals(backendRequest.method())) {
			message.headers().set(HttpHeaderNames.CONTENT_LENGTH, backendRequest.body().length);
		}
		this.socket.writeMessage(message).onComplete((written) -> this.requestWritten = written.succeeded());
	}

	/**
	 * Returns whether a call may be sent.
	 * @param nowMs the time
	 * @param idleFraction part of the kept idle time that may have passed
	 * @return true if it may
	 */
	boolean isUsable(long nowMs, double idleFraction) {
		return !this.closed && this.reusable && this.responseHandler == null
				&& nowMs - this.idleSinceMs < this.keepAliveMs * idleFraction;
	}

	void close() {
		this.responseHandler = null;
		this.reusable = false;
		if (!this.closed) {
			this.socket.close();
		}
	}

	private void handleMessage(Object message) {
		try {
			if (message instanceof HttpObject part) {
				handlePart(part);
			}
		}
		finally {
			ReferenceCountUtil.release(message);
		}
	}

	private void handlePart(HttpObject part) {
		if (part.decoderResult().isFailure()) {
			abort("malformed answer");
			return;
		}
		if (part instanceof HttpResponse response) {
			handleHead(response);
		}
		if (part instanceof HttpContent content && this.headReceived) {
			handleContent(content);
		}
	}

	private void handleHead(HttpResponse response) {
		if (this.responseHandler == null) {
			// Bytes after a complete answer belong to no call.
			close();
			return;
		}
		if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
			return;
		}
		this.headReceived = true;
		String attemptId = response.headers().get(WireNames.ATTEMPT_ID);
		this.skippingResponse = attemptId != null && !attemptId.equals(this.request.attemptId());
		if (this.skippingResponse) {
			this.unrelatedResponses++;
			if (this.unrelatedResponses > MAX_UNRELATED_RESPONSES) {
				abort("answers to other requests");
			}
			return;
		}
		this.delimitedByClose = !this.isHeadRequest && !HttpUtil.isContentLengthSet(response)
				&& !HttpUtil.isTransferEncodingChunked(response) && hasBody(response.status());
		if (!this.requestWritten || this.delimitedByClose || !HttpUtil.isKeepAlive(response)) {
			this.reusable = false;
		}
		readKeepAliveTimeout(response);
		this.responseHandler.headReceived(response.status().code(), response.headers());
	}

	private static boolean hasBody(HttpResponseStatus status) {
		return status.code() != HttpResponseStatus.NO_CONTENT.code()
				&& status.code() != HttpResponseStatus.NOT_MODIFIED.code();
	}

	private void readKeepAliveTimeout(HttpMessage response) {
		String value = response.headers().get("Keep-Alive");
		int timeoutIndex = (value != null) ? value.indexOf("timeout=") : -1;
		if (timeoutIndex < 0) {
			return;
		}
		String digits = value.substring(timeoutIndex + "timeout=".length()).split("[^0-9]", 2)[0];
		if (!digits.isEmpty() && digits.length() < 6) {
			this.keepAliveMs = Math.max(0, Long.parseLong(digits) * 1000 - KEEP_ALIVE_MARGIN_MS);
		}
	}

	private void handleContent(HttpContent content) {
		boolean last = content instanceof LastHttpContent;
		if (last) {
			this.headReceived = false;
		}
		if (this.skippingResponse) {
			return;
		}
		BackendResponseHandler handler = this.responseHandler;
		if (handler == null) {
			return;
		}
		if (content.content().isReadable()) {
			handler.bodyReceived(ByteBufUtil.getBytes(content.content()));
		}
		if (!last || this.responseHandler == null) {
			return;
		}
		if (this.delimitedByClose && this.reset) {
			abort("connection reset within the answer");
			return;
		}
		this.responseHandler = null;
		this.idleSinceMs = this.clock.monotonicMs();
		if (this.reusable && !this.closed) {
			this.onIdle.run();
		}
		else {
			close();
		}
		handler.responseEnded();
	}

	private void abort(String reason) {
		BackendResponseHandler handler = this.responseHandler;
		close();
		if (handler != null) {
			handler.connectionFailed(reason);
		}
	}

	private void handleClosed() {
		this.closed = true;
		this.reusable = false;
		BackendResponseHandler handler = this.responseHandler;
		this.responseHandler = null;
		this.onClosed.run();
		if (handler != null) {
			handler.connectionFailed(this.reset ? "connection reset" : "connection closed");
		}
	}

	/**
	 * Knows which answers have no body.
	 */
	private final class ResponseDecoder extends HttpResponseDecoder {

		@Override
		protected boolean isContentAlwaysEmpty(HttpMessage message) {
			return BackendConnection.this.isHeadRequest || super.isContentAlwaysEmpty(message);
		}

	}

}
