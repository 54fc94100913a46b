package org.wigeontally.emulator.traffic;

/**
 * A request to a model engine. Immutable.
 *
 * @param id unique id
 * @param organisation index of the calling organisation
 * @param promptTokens tokens of the prompt, the prefix included
 * @param outputTokens tokens that it generates
 * @param prefix id of the prompt's prefix
 * @param prefixTokens tokens of the prefix
 */
public record ModelRequest(long id, int organisation, int promptTokens, int outputTokens, long prefix,
		int prefixTokens) {

}
