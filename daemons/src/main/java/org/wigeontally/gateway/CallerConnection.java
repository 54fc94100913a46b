package org.wigeontally.gateway;

import java.util.function.Supplier;

import io.netty.channel.Channel;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.net.impl.ConnectionBase;

import org.wigeontally.eventlog.LogEvent;
import org.wigeontally.fleet.CallerConnectionState;
import org.wigeontally.fleet.CallerLimits;
import org.wigeontally.http.ChannelOutput;

/**
 * A connection of a caller. Runs on the event loop.
 */
final class CallerConnection implements CallerRequestDecoder.Listener {

	/**
	 * Silence of the caller after which a connection is closed whose end a response has
	 * announced. Closing a connection with unread bytes may discard the response, so
	 * bytes are read and dropped until then.
	 */
	private static final long LINGER_MS = 500;

	/**
	 * Time after which such a connection is closed in any case. A body of some megabytes
	 * takes about 2 s on a link of 16 Mbit/s.
	 */
	private static final long MAX_LINGER_MS = 5_000;

	private final GatewayContext context;

	private final Supplier<CallerLimits> limits;

	private final HttpConnection connection;

	private final Channel channel;

	private final CallerRequestDecoder decoder;

	private final CallerConnectionState state;

	private long lastReadAtMs;

	private int requests;

	private String attemptId;

	private boolean closing;

	CallerConnection(GatewayContext context, Supplier<CallerLimits> limits, HttpConnection connection,
			HttpServerOptions options) {
		this.context = context;
		this.limits = limits;
		this.connection = connection;
		this.channel = ((ConnectionBase) connection).channel();
		this.decoder = CallerRequestDecoder.install(this.channel.pipeline(), options, this);
		this.lastReadAtMs = context.nowMs();
		this.state = CallerConnectionState.opened(this.lastReadAtMs, limits.get());
	}

	@Override
	public void bytesRead() {
		this.lastReadAtMs = this.context.nowMs();
	}

	@Override
	public void headBegun() {
		this.state.headBegun(this.lastReadAtMs, this.limits.get());
	}

	@Override
	public void headReceived() {
		this.requests++;
		this.state.headReceived();
	}

	/**
	 * Records that the handling of a request begins.
	 * @param id the caller's id of the request
	 * @param dueAtMs monotonic time by which its response must have ended
	 */
	void handlingBegun(String id, long dueAtMs) {
		this.attemptId = id;
		this.state.handlingBegun(dueAtMs);
	}

	void answered() {
		this.state.answered(this.context.nowMs());
	}

	/**
	 * Returns whether the connection will be closed, so that it takes no more requests.
	 * @return true if it will
	 */
	boolean isClosing() {
		return this.closing;
	}

	/**
	 * Returns whether the caller is owed something: the response to a request that it has
	 * begun, or a part of one that has not been sent yet.
	 * @return true if so
	 */
	boolean isBusy() {
		return this.state.isInRequest() || hasUnsentBytes();
	}

	/**
	 * Returns whether the caller has begun a request and not ended its headers.
	 * @return true if it has
	 */
	boolean isReadingHead() {
		return !this.closing && this.state.isHeadBegun();
	}

	boolean isExpired() {
		long nowMs = this.context.nowMs();
		this.state.applyLimits(this.limits.get());
		if (hasUnsentBytes()) {
			this.state.responsePending(nowMs);
		}
		return !this.closing && this.state.isExpired(nowMs);
	}

	/**
	 * Returns whether a part of a response has not been sent yet.
	 * @return true if so
	 */
	boolean hasUnsentBytes() {
		return ChannelOutput.hasUnsentBytes(this.channel);
	}

	/**
	 * Logs a request that has no answer although its caller's timeout is over.
	 */
	void logIfOverdue() {
		if (!this.state.detectOverdue(this.context.nowMs())) {
			return;
		}
		this.context.metrics().recordOverdueRequest();
		this.context.log()
			.write(LogEvent.REQUEST_OVERDUE, "id", this.attemptId, "caller", this.connection.remoteAddress(),
					"last-read-ms", this.context.nowMs() - this.lastReadAtMs, "closing", this.closing, "unsent",
					hasUnsentBytes(), "configuration", this.context.fleet().configurationVersion());
	}

	/**
	 * Closes the connection because its caller sent nothing for too long.
	 */
	void closeExpired() {
		if (this.state.isHeadBegun()) {
			refuseHead();
			return;
		}
		startClosing("idle");
		this.connection.close();
	}

	private void refuseHead() {
		if (hasUnsentBytes()) {
			return;
		}
		String body = "head-too-slow\n";
		this.decoder.writeResponse("HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Type: text/plain\r\n"
				+ "Content-Length: " + body.length() + "\r\n\r\n" + body);
		closeAfterResponse("head-too-slow");
	}

	/**
	 * Closes the connection a moment after a response that announces it. Nothing that
	 * arrives meanwhile is read as a request.
	 * @param reason the reason
	 */
	void closeAfterResponse(String reason) {
		if (this.closing) {
			return;
		}
		startClosing(reason);
		closeWhenSilent(this.context.nowMs() + MAX_LINGER_MS);
	}

	private void closeWhenSilent(long latestMs) {
		this.context.vertx().setTimer(LINGER_MS, (id) -> {
			long nowMs = this.context.nowMs();
			if (nowMs - this.lastReadAtMs >= LINGER_MS || nowMs >= latestMs) {
				this.connection.close();
				return;
			}
			closeWhenSilent(latestMs);
		});
	}

	private void startClosing(String reason) {
		this.closing = true;
		this.decoder.discard();
		long nowMs = this.context.nowMs();
		this.context.log()
			.write(LogEvent.CALLER_CONNECTION_CLOSED, "caller", this.connection.remoteAddress(), "reason", reason,
					"requests", this.requests, "waited-ms", this.state.waitedMs(nowMs), "limit-ms",
					this.state.limitMs(), "last-read-ms", nowMs - this.lastReadAtMs, "configuration",
					this.context.fleet().configurationVersion());
	}

}
