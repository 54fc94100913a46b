package org.wigeontally.orders;

/**
 * An order to an engine to change its state.
 *
 * @param fence fencing number
 * @param state desired state
 * @param sendByMs monotonic time after which the order must not be sent
 */
public record Order(long fence, EngineState state, long sendByMs) {

}
