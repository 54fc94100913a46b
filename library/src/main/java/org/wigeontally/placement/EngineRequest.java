package org.wigeontally.placement;

/**
 * The properties of a request for an engine that its placement depends on.
 *
 * @param promptTokens tokens of the prompt
 * @param targetLeftMs time left until the target for the first event; negative if it has
 * passed
 * @param deadlineLeftMs time left until the deadline of the caller
 * @param priority priority of the organisation or route, 0 is the highest
 */
public record EngineRequest(int promptTokens, double targetLeftMs, double deadlineLeftMs, int priority) {

}
