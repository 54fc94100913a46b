package org.wigeontally.placement;

/**
 * The work that a request is expected to cause at an engine. Immutable.
 *
 * @param profile performance profile of the engine
 * @param promptTokens tokens of the prompt
 * @param answer expected length of the answer
 * @param firstEventMs predicted time to the first event
 */
public record ExpectedWork(EngineProfile profile, int promptTokens, AnswerLength answer, double firstEventMs) {

}
