package org.wigeontally.emulator.soak;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;

/**
 * Forwards connections on the loopback address, and delays, silences or resets them.
 * Thread-safe.
 */
final class LoopbackProxy {

	private static final String HOST = "127.0.0.1";

	private static final int DELAY_MS = 150;

	private final Vertx vertx;

	private final NetClient client;

	private final Set<NetSocket> sockets = ConcurrentHashMap.newKeySet();

	private volatile int targetPort;

	private volatile Mode mode = Mode.PASS;

	private final AtomicInteger connections = new AtomicInteger();

	private NetServer server;

	private LoopbackProxy(Vertx vertx, int targetPort) {
		this.vertx = vertx;
		this.client = vertx.createNetClient();
		this.targetPort = targetPort;
	}

	static Future<LoopbackProxy> start(Vertx vertx, int targetPort) {
		LoopbackProxy proxy = new LoopbackProxy(vertx, targetPort);
		return vertx.createNetServer().connectHandler(proxy::accept).listen(0, HOST).map((server) -> {
			proxy.server = server;
			return proxy;
		});
	}

	int port() {
		return this.server.actualPort();
	}

	/**
	 * Returns how many connections were opened.
	 * @return the number
	 */
	int connections() {
		return this.connections.get();
	}

	void setTargetPort(int port) {
		this.targetPort = port;
	}

	/**
	 * Sets what becomes of all bytes from now on.
	 * @param newMode the mode
	 */
	void setMode(Mode newMode) {
		this.mode = newMode;
		if (newMode == Mode.RESET) {
			resetAll();
		}
	}

	void resetAll() {
		this.sockets.forEach(NetSocket::close);
	}

	private void accept(NetSocket caller) {
		this.connections.incrementAndGet();
		if (this.mode == Mode.RESET) {
			caller.close();
			return;
		}
		caller.pause();
		this.client.connect(this.targetPort, HOST).onFailure((failure) -> caller.close()).onSuccess((target) -> {
			link(caller, target, Mode.SILENT_TO_TARGET);
			link(target, caller, Mode.SILENT_FROM_TARGET);
			caller.resume();
		});
	}

	private void link(NetSocket from, NetSocket to, Mode silent) {
		this.sockets.add(from);
		Link link = new Link(to, silent);
		from.handler(link::forward);
		from.exceptionHandler((failure) -> to.close());
		from.closeHandler((v) -> {
			this.sockets.remove(from);
			to.close();
		});
	}

	/**
	 * One direction of a connection. As on a real connection bytes arrive in their order,
	 * and none arrive after lost ones.
	 */
	private final class Link {

		private final NetSocket to;

		private final Mode silent;

		private final Deque<Buffer> delayed = new ArrayDeque<>();

		private boolean lost;

		private Link(NetSocket to, Mode silent) {
			this.to = to;
			this.silent = silent;
		}

		private void forward(Buffer bytes) {
			Mode current = LoopbackProxy.this.mode;
			this.lost |= current == this.silent || current == Mode.SILENT;
			if (this.lost) {
				return;
			}
			if (current != Mode.DELAY && this.delayed.isEmpty()) {
				this.to.write(bytes);
				return;
			}
			this.delayed.addLast(bytes);
			LoopbackProxy.this.vertx.setTimer(DELAY_MS, (id) -> this.to.write(this.delayed.removeFirst()));
		}

	}

	/**
	 * What becomes of the bytes on all connections.
	 */
	enum Mode {

		/** They are forwarded. */
		PASS,
		/** They are forwarded late. */
		DELAY,
		/** They are dropped in both directions. */
		SILENT,
		/** Those to the target are dropped. */
		SILENT_TO_TARGET,
		/** Those from the target are dropped. */
		SILENT_FROM_TARGET,
		/** Connections are closed, also new ones. */
		RESET

	}

}
