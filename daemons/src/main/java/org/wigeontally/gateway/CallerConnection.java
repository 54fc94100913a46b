package org.wigeontally.gateway;

import java.util.function.Supplier;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.net.impl.ConnectionBase;

import org.wigeontally.fleet.CallerConnectionState;
import org.wigeontally.fleet.CallerLimits;

/**
 * A connection of a caller. Runs on the event loop.
 */
final class CallerConnection implements CallerRequestDecoder.Listener {

	private final GatewayContext context;

	private final Supplier<CallerLimits> limits;

	private final HttpConnection connection;

	private final Channel channel;

	private final CallerConnectionState state;

	CallerConnection(GatewayContext context, Supplier<CallerLimits> limits, HttpConnection connection,
			HttpServerOptions options) {
		this.context = context;
		this.limits = limits;
		this.connection = connection;
		this.channel = ((ConnectionBase) connection).channel();
		CallerRequestDecoder.install(this.channel.pipeline(), options, this);
		this.state = CallerConnectionState.opened(context.nowMs(), limits.get());
	}

	@Override
	public void headReceived() {
		this.state.headReceived();
	}

	void answered() {
		this.state.answered(this.context.nowMs());
	}

	boolean isExpired() {
		long nowMs = this.context.nowMs();
		this.state.applyLimits(this.limits.get());
		if (hasUnsentBytes()) {
			this.state.responsePending(nowMs);
		}
		return this.state.isExpired(nowMs);
	}

	// The channel is not empty as long as Vert.x queues more for it.
	private boolean hasUnsentBytes() {
		ChannelOutboundBuffer unsent = this.channel.unsafe().outboundBuffer();
		return unsent != null && !unsent.isEmpty();
	}

	/**
	 * Closes the connection because its caller sent nothing for too long.
	 */
	void closeExpired() {
		this.connection.close();
	}

}
