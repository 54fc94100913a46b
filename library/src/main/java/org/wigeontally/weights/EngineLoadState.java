package org.wigeontally.weights;

/**
 * An engine as its turn to load a version is decided. Immutable.
 *
 * @param agent address of the engine's agent
 * @param region region of the engine
 * @param loading true if the engine takes no requests because of a load order, of
 * whichever version
 * @param waiting true if all chunks of the version are held and the engine has not loaded
 * it
 */
public record EngineLoadState(String agent, String region, boolean loading, boolean waiting) {

}
