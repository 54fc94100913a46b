package org.wigeontally.gateway;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * Receives the response to one request to a backend server. Called on the event loop. No
 * method is called after {@link #responseEnded} or {@link #connectionFailed}.
 */
interface BackendResponseHandler {

	/**
	 * Called when the status and headers arrived.
	 * @param status status code of the response
	 * @param headers all headers
	 */
	void headReceived(int status, HttpHeaders headers);

	/**
	 * Called when a part of the body arrived.
	 * @param bytes the bytes
	 */
	void bodyReceived(byte[] bytes);

	/**
	 * Called when the response is complete.
	 * @param delimitedByClose true if only the end of the connection says so
	 */
	void responseEnded(boolean delimitedByClose);

	/**
	 * Called when the connection was lost or the backend server violated the protocol
	 * before the response was complete.
	 * @param reason cause of the failure, for the log
	 */
	void connectionFailed(String reason);

}
