package org.wigeontally.rpc;

import io.vertx.core.http.HttpServerOptions;

/**
 * Options of the servers that the project's own processes call. A process that lost power
 * does not close its connections, so the server closes those that stay silent. Live
 * processes open new ones when they need them.
 */
public final class PeerServerOptions {

	/** Longer than the interval between two calls of a live process in small fleets. */
	private static final int IDLE_TIMEOUT_S = 30;

	private PeerServerOptions() {
	}

	/**
	 * Creates the options of a server.
	 * @return new options
	 */
	public static HttpServerOptions create() {
		return create(IDLE_TIMEOUT_S);
	}

	static HttpServerOptions create(int idleTimeoutS) {
		return new HttpServerOptions().setTcpNoDelay(true).setIdleTimeout(idleTimeoutS);
	}

}
