package org.wigeontally.gateway;

import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.Set;

import io.vertx.core.Future;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetSocket;
import io.vertx.core.net.SocketAddress;

import org.wigeontally.misc.Clock;

/**
 * Connection pool of one backend server. It reuses the most recently used idle connection
 * first, so that surplus connections expire. Runs on the event loop.
 */
final class BackendConnectionPool {

	private final NetClient client;

	private final SocketAddress address;

	private final Clock clock;

	private final ArrayDeque<BackendConnection> idleConnections = new ArrayDeque<>();

	private final Set<BackendConnection> openConnections = new HashSet<>();

	private int maxConnections = 1;

	private int pendingConnects;

	BackendConnectionPool(NetClient client, SocketAddress address, Clock clock) {
		this.client = client;
		this.address = address;
		this.clock = clock;
	}

	void setMaxConnections(int connections) {
		this.maxConnections = connections;
	}

	/**
	 * Returns whether another request can be sent.
	 * @return true if a connection is idle or another one may be opened
	 */
	boolean hasCapacity() {
		return !this.idleConnections.isEmpty()
				|| this.openConnections.size() + this.pendingConnects < this.maxConnections;
	}

	/**
	 * Removes an idle connection from the pool.
	 * @param idleFraction fraction of the keep-alive time that may have passed
	 * @return the connection, or null if none is usable
	 */
	BackendConnection takeIdle(double idleFraction) {
		long nowMs = this.clock.monotonicMs();
		while (!this.idleConnections.isEmpty()) {
			BackendConnection connection = this.idleConnections.pollLast();
			if (connection.isUsable(nowMs, idleFraction)) {
				return connection;
			}
			if (!connection.isUsable(nowMs, 1)) {
				connection.close();
			}
			else {
				this.idleConnections.addFirst(connection);
				return null;
			}
		}
		return null;
	}

	Future<BackendConnection> connect() {
		this.pendingConnects++;
		return this.client.connect(this.address).onComplete((done) -> this.pendingConnects--).map((socket) -> {
			BackendConnection[] self = new BackendConnection[1];
			self[0] = new BackendConnection(socket, this.clock, () -> {
				this.openConnections.remove(self[0]);
				this.idleConnections.remove(self[0]);
			});
			this.openConnections.add(self[0]);
			return self[0];
		});
	}

	/**
	 * Opens a connection outside the pool, to check whether the backend server accepts
	 * connections.
	 * @return the connection, which the method's caller closes
	 */
	Future<NetSocket> probe() {
		return this.client.connect(this.address);
	}

	void release(BackendConnection connection) {
		this.idleConnections.addLast(connection);
	}

	/**
	 * Closes idle connections whose keep-alive time has passed.
	 */
	void closeExpired() {
		long nowMs = this.clock.monotonicMs();
		this.idleConnections.removeIf((connection) -> {
			boolean expired = !connection.isUsable(nowMs, 1);
			if (expired) {
				connection.close();
			}
			return expired;
		});
	}

	/**
	 * Closes the idle connections that were used last before a request was sent that got
	 * no response. They may have gone silent together with its connection.
	 * @param sentAtMs when the request was sent
	 */
	void closeIdleBefore(long sentAtMs) {
		this.idleConnections.stream()
			.filter((connection) -> connection.isIdleSinceBefore(sentAtMs))
			.toList()
			.forEach(BackendConnection::close);
	}

	/**
	 * Closes idle connections. Connections in use are left open.
	 */
	void closeIdle() {
		new ArrayDeque<>(this.idleConnections).forEach(BackendConnection::close);
		this.idleConnections.clear();
	}

}
