package org.wigeontally.gateway;

import java.util.concurrent.ThreadFactory;

import io.netty.channel.ChannelFactory;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.ServerChannel;
import io.netty.channel.socket.DatagramChannel;
import io.netty.channel.socket.InternetProtocolFamily;
import io.netty.util.concurrent.FastThreadLocalThread;
import io.vertx.core.Vertx;
import io.vertx.core.internal.VertxBootstrap;
import io.vertx.core.spi.transport.Transport;

/**
 * Event loops with the stack of the deployed processes, which are started with a smaller
 * one than tests.
 */
public final class SmallStackVertx implements Transport {

	/** Stack of the deployed processes ({@code -Xss256k} in deploy/system.toml). */
	public static final long STACK_BYTES = 256 * 1024;

	private final Transport transport = io.vertx.core.transport.Transport.NIO.implementation();

	private SmallStackVertx() {
	}

	public static Vertx create() {
		VertxBootstrap bootstrap = VertxBootstrap.create();
		bootstrap.transport(new SmallStackVertx());
		return bootstrap.init().vertx();
	}

	@Override
	public EventLoopGroup eventLoopGroup(int type, int threads, ThreadFactory threadFactory, int ioRatio) {
		ThreadFactory smallStacks = (task) -> new FastThreadLocalThread(null, task, "small-stack", STACK_BYTES);
		return Transport.super.eventLoopGroup(type, threads, smallStacks, ioRatio);
	}

	@Override
	public IoHandlerFactory ioHandlerFactory() {
		return this.transport.ioHandlerFactory();
	}

	@Override
	public DatagramChannel datagramChannel() {
		return this.transport.datagramChannel();
	}

	@Override
	public DatagramChannel datagramChannel(InternetProtocolFamily family) {
		return this.transport.datagramChannel(family);
	}

	@Override
	public ChannelFactory<? extends io.netty.channel.Channel> channelFactory(boolean domainSocket) {
		return this.transport.channelFactory(domainSocket);
	}

	@Override
	public ChannelFactory<? extends ServerChannel> serverChannelFactory(boolean domainSocket) {
		return this.transport.serverChannelFactory(domainSocket);
	}

}
