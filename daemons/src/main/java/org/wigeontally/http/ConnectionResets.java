package org.wigeontally.http;

import java.io.IOException;
import java.nio.channels.ClosedChannelException;

import io.vertx.core.Future;
import io.vertx.core.http.HttpClientResponse;

/**
 * Tells a reset of a connection from its orderly end while a request is being written. A
 * write that meets the reset closes the connection, and no read tells of it. A response
 * with neither a length nor chunks, which ends with its connection, then looks complete.
 */
public final class ConnectionResets {

	private ConnectionResets() {
	}

	/**
	 * Returns whether a write failed since the connection was reset. After an orderly end
	 * this side closes the connection itself, with the write that is still in progress.
	 * @param writeFailure why the write failed
	 * @return true if what was received on the connection may be incomplete
	 */
	public static boolean isReset(Throwable writeFailure) {
		return writeFailure instanceof IOException && !(writeFailure instanceof ClosedChannelException);
	}

	/**
	 * Checks a response that has ended.
	 * @param response the response
	 * @param requestWritten result of writing the request
	 * @return fails if the response may be incomplete
	 */
	public static Future<Void> requireWhole(HttpClientResponse response, Future<Void> requestWritten) {
		boolean delimitedByClose = response.getHeader("Content-Length") == null
				&& response.getHeader("Transfer-Encoding") == null;
		return (delimitedByClose && requestWritten.failed() && isReset(requestWritten.cause()))
				? Future.failedFuture(requestWritten.cause()) : Future.succeededFuture();
	}

}
