package org.wigeontally.orders;

/**
 * An order to an engine.
 *
 * @param fence fencing number
 * @param state what the engine is to hold
 * @param sendByMs monotonic time after which it must not be sent
 */
public record Order(long fence, EngineState state, long sendByMs) {

}
