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
	 * Called repeatedly while an attempt is silent, or has not begun shortly before it
	 * has to be given up. The attempt goes on.
	 * @param attempt the attempt
	 */
	void successorWanted(BackendAttempt attempt);

	/**
	 * Called immediately before the request is sent to the backend server.
	 * @param attempt the attempt, which goes on after {@link #lastEventId()}
	 */
	void requestSent(BackendAttempt attempt);

	/**
	 * Called when the backend server has begun its answer without a crash.
	 */
	void answerBegun();

	/**
	 * Called when data of an event stream arrived that completes at least one event.
	 * @param attempt the attempt that received it
	 * @param reader provides the complete events
	 * @return false if the events do not continue the stream that the caller has received
	 */
	boolean eventsReceived(BackendAttempt attempt, ResponseReader reader);

	/**
	 * Returns the size of the events that were received and not forwarded yet.
	 * @param attempt the attempt that received them
	 * @return bytes
	 */
	long heldEventBytes(BackendAttempt attempt);

	/**
	 * Called when the event stream ended normally.
	 * @param attempt the attempt that received it
	 * @param reader reader of the stream
	 */
	void streamEnded(BackendAttempt attempt, ResponseReader reader);

	/**
	 * Called when a complete response arrived, successful or not.
	 * @param attempt the attempt that received it
	 * @param response the response
	 */
	void responseReceived(BackendAttempt attempt, BufferedResponse response);

	/**
	 * Called when the attempt failed without a usable response, or when the response says
	 * that the request did not run.
	 * @param attempt the attempt
	 * @param outcome whether the request was sent and may have run
	 * @param reason cause of the failure, for the log
	 */
	void attemptFailed(BackendAttempt attempt, AttemptFailure outcome, String reason);

	/**
	 * Runs a step of the attempt. Whatever it throws ends the request with an answer,
	 * although the attempt may still run.
	 * @param step the step
	 */
	void guard(Runnable step);

}
