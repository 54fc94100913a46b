package org.wigeontally.harmful;

import java.util.Set;

/**
 * A request that a backend server had not begun to answer when it was lost. Immutable.
 *
 * @param parts shared parts of its prompt
 * @param triedParts parts among them for which it was on trial
 */
public record SuspectRequest(Set<PromptPart> parts, Set<PromptPart> triedParts) {

}
