package org.wigeontally.placement;

/**
 * The properties of a request for an engine that its placement depends on.
 *
 * @param promptTokens tokens of the prompt
 * @param answerTokens expected tokens of the answer; 0 if unknown
 * @param targetLeftMs time left until the target for the first event; negative if it has
 * passed
 * @param deadlineLeftMs time left until the deadline of the caller
 * @param priority priority of the organisation or route, 0 is the highest
 * @param reservedSlots slots of each engine that are kept free for more urgent requests
 */
public record EngineRequest(int promptTokens, double answerTokens, double targetLeftMs, double deadlineLeftMs,
		int priority, int reservedSlots) {

	/**
	 * Creates a request of unknown answer length for which no slots are reserved.
	 * @param promptTokens tokens of the prompt
	 * @param targetLeftMs time left until the target for the first event
	 * @param deadlineLeftMs time left until the deadline of the caller
	 * @param priority priority of the organisation or route, 0 is the highest
	 * @return the request
	 */
	public static EngineRequest of(int promptTokens, double targetLeftMs, double deadlineLeftMs, int priority) {
		return new EngineRequest(promptTokens, 0, targetLeftMs, deadlineLeftMs, priority, 0);
	}

}
