package org.wigeontally.orders;

/**
 * What an engine is to hold, or says that it holds.
 *
 * @param version version of the model; empty for none
 * @param role role of the engine
 */
public record EngineState(String version, String role) {

}
