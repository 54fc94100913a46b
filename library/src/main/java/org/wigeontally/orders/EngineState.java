package org.wigeontally.orders;

/**
 * The state of an engine, desired or reported by the engine.
 *
 * @param version version of the model; empty for none
 * @param role role of the engine
 */
public record EngineState(String version, String role) {

}
