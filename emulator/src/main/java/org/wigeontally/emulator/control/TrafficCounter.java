package org.wigeontally.emulator.control;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

import io.vertx.core.VertxOptions;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.net.SocketAddress;
import io.vertx.core.spi.VertxMetricsFactory;
import io.vertx.core.spi.metrics.HttpClientMetrics;
import io.vertx.core.spi.metrics.HttpServerMetrics;
import io.vertx.core.spi.metrics.VertxMetrics;

/**
 * Counts the bytes that each HTTP server and client reads and writes on its sockets, both
 * directions together and without the headers of TCP and IP. Servers are told apart by
 * their port, clients by their metrics name.
 */
final class TrafficCounter implements VertxMetricsFactory {

	private final Map<String, LongAdder> bytes = new ConcurrentHashMap<>();

	/**
	 * Returns the bytes counted so far.
	 * @param name the port of a server or the metrics name of a client
	 * @return bytes read and written
	 */
	long bytes(String name) {
		return adder(name).sum();
	}

	private LongAdder adder(String name) {
		return this.bytes.computeIfAbsent(name, (key) -> new LongAdder());
	}

	@Override
	public VertxMetrics metrics(VertxOptions options) {
		return new Metrics();
	}

	/**
	 * Makes the counters of servers and clients.
	 */
	private final class Metrics implements VertxMetrics {

		@Override
		public HttpServerMetrics<?, ?, ?> createHttpServerMetrics(HttpServerOptions options, SocketAddress address) {
			return new Server(adder(Integer.toString(address.port())));
		}

		@Override
		public HttpClientMetrics<?, ?, ?> createHttpClientMetrics(HttpClientOptions options) {
			return new Client(adder(options.getMetricsName()));
		}

	}

	/**
	 * Counts for a server.
	 *
	 * @param adder where to count
	 */
	private record Server(LongAdder adder) implements HttpServerMetrics<Object, Object, Object> {

		@Override
		public void bytesRead(Object socket, SocketAddress remote, long count) {
			this.adder.add(count);
		}

		@Override
		public void bytesWritten(Object socket, SocketAddress remote, long count) {
			this.adder.add(count);
		}

	}

	/**
	 * Counts for a client.
	 *
	 * @param adder where to count
	 */
	private record Client(LongAdder adder) implements HttpClientMetrics<Object, Object, Object> {

		@Override
		public void bytesRead(Object socket, SocketAddress remote, long count) {
			this.adder.add(count);
		}

		@Override
		public void bytesWritten(Object socket, SocketAddress remote, long count) {
			this.adder.add(count);
		}

	}

}
