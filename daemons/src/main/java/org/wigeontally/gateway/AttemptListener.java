package org.wigeontally.gateway;

/**
 * Receives the progress and the result of a {@link BackendAttempt}. Called on the event
 * loop.
 */
interface AttemptListener {

	/**
	 * Returns the remaining time of the request.
	 * @return milliseconds
	 */
	long remainingMs();

	/**
	 * Returns the last event of the stream that the caller has received.
	 * @return id of the event, or null if the stream starts from its beginning
	 */
	String lastEventId();

	/**
	 * Returns whether the response to the caller has begun with events of the stream.
	 * @return true if it has begun
	 */
	boolean hasForwardedEvents();

	/**
	 * Returns whether the request can be retried on another backend server.
	 * @return true if the route allows another attempt and a backend server is eligible
	 */
	boolean hasOtherBackend();

	/** Called immediately before the request is sent to the backend server. */
	void requestSent();

	/**
	 * Called when the backend server has begun its answer without a crash.
	 */
	void answerBegun();

	/**
	 * Called when data of an event stream arrived that completes at least one event.
	 * @param reader provides the complete events
	 * @return false if the events do not continue the stream that the caller has received
	 */
	boolean eventsReceived(ResponseReader reader);

	/**
	 * Called when the event stream ended normally.
	 * @param reader reader of the stream
	 */
	void streamEnded(ResponseReader reader);

	/**
	 * Called when a complete response arrived, successful or not.
	 * @param response the response
	 */
	void responseReceived(BufferedResponse response);

	/**
	 * Called when the attempt failed without a usable response, or when the response says
	 * that the request did not run.
	 * @param attempt the attempt
	 * @param outcome whether the request was sent and may have run
	 * @param reason cause of the failure, for the log
	 */
	void attemptFailed(BackendAttempt attempt, AttemptFailure outcome, String reason);

}
