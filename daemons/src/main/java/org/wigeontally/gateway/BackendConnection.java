package org.wigeontally.gateway;

import java.util.List;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
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
import io.vertx.core.Future;
import io.vertx.core.internal.net.NetSocketInternal;
import io.vertx.core.net.NetSocket;

import org.wigeontally.http.ConnectionResets;
import org.wigeontally.http.StatusCodes;
import org.wigeontally.misc.Clock;
import org.wigeontally.platform.wire.WireNames;

/**
 * One HTTP/1.1 connection to a backend server, which carries one request at a time.
 *
 * <p>
 * A response is matched to the request by the attempt id that it echoes. A backend server
 * may send a second response to an earlier request before the expected one; such a
 * response is read and dropped. A response without an id is matched only if no other
 * request can be meant: on a connection that has carried no other one. The connection is
 * not reused in the cases in which the next response cannot be matched or it is uncertain
 * where it begins: a response has no id, data arrives while no request is open, a
 * response arrives before the request was written, or a response is delimited by the end
 * of the connection. Runs on the event loop.
 */
final class BackendConnection {

	/** Keep-alive time if the backend server does not announce one. */
	private static final long DEFAULT_KEEP_ALIVE_MS = 4_000;

	/**
	 * Subtracted from the announced keep-alive time, because it takes time until the
	 * entry sees that the backend server closed the connection.
	 */
	private static final long KEEP_ALIVE_MARGIN_MS = 1_000;

	/** Number of interim responses (status 1xx) that are skipped per request. */
	private static final int MAX_INTERIM_RESPONSES = 10;

	/** Size of the responses to other requests that are skipped per request. */
	private static final int MAX_UNRELATED_BYTES = 1024 * 1024;

	/** Number of responses to other requests that are skipped per request. */
	private static final int MAX_UNRELATED_RESPONSES = 3;

	/**
	 * Time after the end of a connection in which a reset that belongs to the same close
	 * arrives.
	 */
	private static final long RESET_WAIT_MS = 50;

	private final NetSocketInternal socket;

	private final ResponseDecoder decoder = new ResponseDecoder();

	private final Clock clock;

	private final Runnable onClosed;

	private BackendResponseHandler responseHandler;

	private String attemptId;

	private Runnable onIdle;

	private boolean isHeadRequest;

	private Future<Void> written;

	private boolean skippingResponse;

	private boolean headReceived;

	private boolean reusable = true;

	private boolean used;

	private boolean mayHoldOtherResponses;

	private boolean delimitedByClose;

	private boolean reset;

	private boolean closed;

	// The response has ended with its connection while the request was being written.
	private boolean endPending;

	private int unrelatedResponses;

	private int unrelatedBytes;

	private int interimResponses;

	private long keepAliveMs = DEFAULT_KEEP_ALIVE_MS;

	private long idleSinceMs;

	BackendConnection(NetSocket socket, Clock clock, Runnable onClosed) {
		this.socket = (NetSocketInternal) socket;
		this.clock = clock;
		this.onClosed = onClosed;
		this.idleSinceMs = clock.monotonicMs();
		ChannelPipeline pipeline = this.socket.channelHandlerContext().pipeline();
		pipeline.addBefore("handler", "request-encoder", new HttpRequestEncoder());
		pipeline.addBefore("handler", "answer-decoder", this.decoder);
		this.socket.messageHandler(this::handleMessage);
		this.socket.exceptionHandler((failure) -> this.reset = true);
		this.socket.closeHandler((v) -> handleClosed());
	}

	/**
	 * Sends a request.
	 * @param backendRequest the request
	 * @param handler receives the response
	 * @param whenIdle runs when the connection can carry another request
	 */
	void send(BackendRequest backendRequest, BackendResponseHandler handler, Runnable whenIdle) {
		this.mayHoldOtherResponses = this.used;
		this.used = true;
		this.attemptId = backendRequest.attemptId();
		this.responseHandler = handler;
		this.onIdle = whenIdle;
		this.isHeadRequest = "HEAD".equals(backendRequest.method());
		this.headReceived = false;
		this.skippingResponse = false;
		this.unrelatedResponses = 0;
		this.unrelatedBytes = 0;
		this.interimResponses = 0;
		ByteBuf body = (backendRequest.body().length == 0) ? Unpooled.EMPTY_BUFFER
				: Unpooled.wrappedBuffer(backendRequest.body());
		DefaultFullHttpRequest message = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1,
				HttpMethod.valueOf(backendRequest.method()), backendRequest.uri(), body);
		backendRequest.headers().forEach((header) -> message.headers().add(header.getKey(), header.getValue()));
		if (backendRequest.body().length > 0 || "POST".equals(backendRequest.method())
				|| "PUT".equals(backendRequest.method())) {
			message.headers().set(HttpHeaderNames.CONTENT_LENGTH, backendRequest.body().length);
		}
		this.written = this.socket.writeMessage(message);
		this.written.onFailure((failure) -> this.reset |= ConnectionResets.isReset(failure))
			.onComplete((v) -> endPendingResponse());
	}

	/**
	 * Returns whether a request may be sent.
	 * @param nowMs the current time
	 * @param idleFraction fraction of the keep-alive time that may have passed
	 * @return true if the connection is idle, reusable and within that time
	 */
	boolean isUsable(long nowMs, double idleFraction) {
		return !this.closed && this.reusable && this.responseHandler == null
				&& nowMs - this.idleSinceMs < this.keepAliveMs * idleFraction;
	}

	boolean isIdleSinceBefore(long timeMs) {
		return this.responseHandler == null && this.idleSinceMs < timeMs;
	}

	void close() {
		this.responseHandler = null;
		this.onIdle = null;
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
		catch (RuntimeException | VirtualMachineError ex) {
			// Whatever fails here must not leave the request without an answer.
			abort("failure while the response was read: " + ex);
		}
		finally {
			ReferenceCountUtil.release(message);
		}
	}

	private void handlePart(HttpObject part) {
		if (part.decoderResult().isFailure()) {
			abort("malformed response");
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
			// No request is open, so the response belongs to none.
			close();
			return;
		}
		if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
			this.interimResponses++;
			if (this.interimResponses > MAX_INTERIM_RESPONSES) {
				abort("too many interim responses");
			}
			return;
		}
		this.headReceived = true;
		List<String> attemptIds = response.headers().getAll(WireNames.ATTEMPT_ID);
		this.skippingResponse = !attemptIds.isEmpty() && !attemptIds.contains(this.attemptId);
		if (this.skippingResponse) {
			this.mayHoldOtherResponses = true;
			this.unrelatedResponses++;
			if (this.unrelatedResponses > MAX_UNRELATED_RESPONSES) {
				abort("too many responses to other requests");
			}
			return;
		}
		if (!attemptIds.stream().allMatch(this.attemptId::equals)) {
			abort("response names several requests");
			return;
		}
		if (attemptIds.isEmpty() && this.mayHoldOtherResponses) {
			abort("response names no request, on a connection that may hold others");
			return;
		}
		this.delimitedByClose = !this.isHeadRequest && !HttpUtil.isContentLengthSet(response)
				&& !HttpUtil.isTransferEncodingChunked(response) && hasBody(response.status());
		if (attemptIds.isEmpty() || !this.written.succeeded() || this.delimitedByClose
				|| !HttpUtil.isKeepAlive(response)) {
			this.reusable = false;
		}
		if (this.delimitedByClose && !this.written.isComplete()) {
			// The end of the response must not end the request.
			channel().config().setOption(ChannelOption.ALLOW_HALF_CLOSURE, true);
		}
		readKeepAliveTimeout(response);
		this.responseHandler.headReceived(response.status().code(), response.headers());
	}

	private Channel channel() {
		return this.socket.channelHandlerContext().channel();
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
			this.unrelatedBytes += content.content().readableBytes();
			if (this.unrelatedBytes > MAX_UNRELATED_BYTES) {
				abort("response to another request is too large");
			}
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
		if (this.delimitedByClose && !this.written.isComplete()) {
			awaitReset();
			return;
		}
		endResponse();
	}

	// A backend server that closes its connection with unread bytes ends it and resets it
	// at the same moment. Which of the two this side meets first is chance.
	private void awaitReset() {
		this.endPending = true;
		this.socket.channelHandlerContext()
			.executor()
			.schedule(this::endPendingResponse, RESET_WAIT_MS, TimeUnit.MILLISECONDS);
	}

	private void endPendingResponse() {
		if (this.endPending && this.responseHandler != null) {
			this.endPending = false;
			endResponse();
		}
	}

	private void endResponse() {
		// After a connection reset it is unknown whether a response that is delimited by
		// the end of the connection is complete.
		if (this.delimitedByClose && this.reset) {
			abort("connection reset within the response");
			return;
		}
		BackendResponseHandler handler = this.responseHandler;
		this.responseHandler = null;
		this.idleSinceMs = this.clock.monotonicMs();
		// Further bytes belong to no request. Even an incomplete head would be joined
		// with that of the next response.
		if (this.decoder.hasUnreadBytes()) {
			this.reusable = false;
		}
		Runnable whenIdle = this.onIdle;
		// An idle connection must not keep the request that it has carried.
		this.onIdle = null;
		if (this.reusable && !this.closed) {
			whenIdle.run();
		}
		else {
			close();
		}
		handler.responseEnded(this.delimitedByClose);
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
		endPendingResponse();
		BackendResponseHandler handler = this.responseHandler;
		this.responseHandler = null;
		this.onClosed.run();
		if (handler != null) {
			handler.connectionFailed(this.reset ? "connection reset" : "connection closed");
		}
	}

	/**
	 * Response decoder that expects no body in the response to a HEAD request, and no
	 * bytes while no request is open, and rejects status lines that are not of HTTP/1.
	 */
	private final class ResponseDecoder extends HttpResponseDecoder {

		@Override
		protected HttpMessage createMessage(String[] initialLine) {
			if (!StatusCodes.isStatusLine(initialLine[0], initialLine[1])) {
				throw new IllegalArgumentException("invalid status line");
			}
			return super.createMessage(initialLine);
		}

		@Override
		protected boolean isContentAlwaysEmpty(HttpMessage message) {
			return BackendConnection.this.isHeadRequest || super.isContentAlwaysEmpty(message);
		}

		@Override
		public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
			if (BackendConnection.this.responseHandler == null) {
				ReferenceCountUtil.release(message);
				BackendConnection.this.close();
				return;
			}
			super.channelRead(context, message);
		}

		private boolean hasUnreadBytes() {
			return actualReadableBytes() > 0;
		}

	}

}
