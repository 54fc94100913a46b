package org.wigeontally.gateway;

/**
 * Learns what becomes of an attempt at a backend server. Called on the event loop.
 */
interface AttemptListener {

	/**
	 * Returns the time that is left for the request.
	 * @return milliseconds
	 */
	long leftMs();

	/**
	 * Returns the last event that the caller has of a stream.
	 * @return number of the event, or null if the stream begins with its first one
	 */
	String lastEventId();

	/**
	 * Returns whether events were passed on already.
	 * @return true if they were
	 */
	boolean hasForwardedEvents();

	/**
	 * Returns whether another backend server could take the request.
	 * @return true if one could
	 */
	boolean hasOtherBackend();

	/** The request leaves for the backend server. */
	void requestSent();

	/**
	 * Whole events may have arrived.
	 * @param reader holds the events
	 */
	void eventsReceived(ResponseReader reader);

	/**
	 * The stream came to its end.
	 * @param reader holds the rest of the events
	 */
	void streamEnded(ResponseReader reader);

	/**
	 * A whole answer arrived, successful or not.
	 * @param response the answer
	 */
	void responseReceived(BufferedResponse response);

	/**
	 * The attempt brought no answer, or one that another try may better.
	 * @param attempt the attempt
	 * @param outcome what is known of it
	 * @param reason what happened
	 */
	void attemptFailed(BackendAttempt attempt, AttemptFailure outcome, String reason);

}
