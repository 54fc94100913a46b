package org.wigeontally.gateway;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * What comes back for one call to a backend server. Called on the event loop; after
 * {@link #responseEnded()} or {@link #connectionFailed} nothing more is called.
 */
interface BackendResponseHandler {

	/**
	 * The head of the answer arrived.
	 * @param status status of the answer
	 * @param headers all headers
	 */
	void headReceived(int status, HttpHeaders headers);

	/**
	 * Bytes of the body arrived.
	 * @param bytes the bytes
	 */
	void bodyReceived(byte[] bytes);

	/**
	 * The answer is complete.
	 */
	void responseEnded();

	/**
	 * The connection broke or spoke nonsense before the answer was complete.
	 * @param reason what happened
	 */
	void connectionFailed(String reason);

}
