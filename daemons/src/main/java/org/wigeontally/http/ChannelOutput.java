package org.wigeontally.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;

/**
 * What a connection has still to send. Runs on the event loop of the connection.
 */
public final class ChannelOutput {

	private ChannelOutput() {
	}

	/**
	 * Returns whether the socket has not taken all bytes yet.
	 * @param channel the channel of the connection
	 * @return true if bytes are left
	 */
	public static boolean hasUnsentBytes(Channel channel) {
		// The channel is not empty as long as Vert.x queues more for it.
		ChannelOutboundBuffer unsent = channel.unsafe().outboundBuffer();
		return unsent != null && !unsent.isEmpty();
	}

}
