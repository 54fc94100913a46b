package org.wigeontally.fleet;

import java.util.Optional;

/**
 * A service of the configuration.
 *
 * @param name name of the service
 * @param maxConnections connections that one backend server takes from all callers
 * @param warmupPerSecond requests a second that a cold backend server bears; 0 if any
 * @param engine figures of the engines, if the service runs a model
 */
public record Service(String name, int maxConnections, double warmupRequestsPerSecond, Optional<EngineProfile> engine) {

}
