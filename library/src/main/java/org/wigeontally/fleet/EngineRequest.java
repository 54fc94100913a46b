package org.wigeontally.fleet;

/**
 * What placement needs to know of a request for an engine.
 *
 * @param promptTokens tokens of the prompt
 * @param targetLeftMs time until the first event is late; negative if it is
 * @param deadlineLeftMs time until the caller gives up
 * @param priority rank of the organisation or route, 0 first
 */
public record EngineRequest(int promptTokens, double targetLeftMs, double deadlineLeftMs, int priority) {

}
