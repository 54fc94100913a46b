package org.wigeontally.placement;

/**
 * What is known of the length of one answer before it ends. Immutable.
 *
 * @param route name of the route
 * @param organisation name of the calling organisation
 * @param hintTokens the caller's estimate; 0 if it gives none that is usable
 * @param maxTokens most tokens that the answer may have
 * @param expectedTokens expected tokens of the answer
 */
public record AnswerLength(String route, String organisation, int hintTokens, int maxTokens, double expectedTokens) {

}
