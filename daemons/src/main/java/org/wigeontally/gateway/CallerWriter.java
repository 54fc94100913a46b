package org.wigeontally.gateway;

import java.util.Map;

import io.netty.handler.codec.http.HttpHeaders;
import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;

/**
 * Writes the response to a caller and counts the bytes that its connection has not taken
 * yet. Runs on the event loop.
 */
final class CallerWriter {

	private final HttpServerResponse response;

	private final Runnable onPendingChanged;

	private long pendingBytes;

	CallerWriter(HttpServerResponse response, Runnable onPendingChanged) {
		this.response = response;
		this.onPendingChanged = onPendingChanged;
	}

	HttpServerResponse response() {
		return this.response;
	}

	long pendingBytes() {
		return this.pendingBytes;
	}

	/**
	 * Copies status and headers of a backend server's response, without the headers that
	 * concern its connection.
	 * @param status the status
	 * @param headers the headers
	 * @param closeConnection whether the caller is told to close its connection
	 */
	void copyHead(int status, HttpHeaders headers, boolean closeConnection) {
		this.response.setStatusCode(status);
		for (Map.Entry<String, String> header : headers) {
			if (!ConnectionHeaders.contains(header.getKey())) {
				this.response.headers().add(header.getKey(), header.getValue());
			}
		}
		if (closeConnection) {
			this.response.putHeader("Connection", "close");
		}
	}

	void write(Buffer bytes) {
		track(bytes.length(), this.response.write(bytes));
	}

	void end(Buffer bytes) {
		track(bytes.length(), this.response.end(bytes));
	}

	void end() {
		this.response.end();
	}

	private void track(int length, Future<Void> written) {
		this.pendingBytes += length;
		written.onComplete((result) -> {
			this.pendingBytes -= length;
			this.onPendingChanged.run();
		});
		this.onPendingChanged.run();
	}

}
