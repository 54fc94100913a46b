package org.wigeontally.fleet;

import java.util.Optional;

import org.wigeontally.placement.EngineProfile;

/**
 * A service of the configuration.
 *
 * @param name name of the service
 * @param maxConnections maximum number of connections that all callers together open to
 * one backend server
 * @param warmupRequestsPerSecond requests per second that a cold backend server can
 * process; 0 if there is no limit
 * @param engine performance profile of the engines, if the service runs a model
 */
public record Service(String name, int maxConnections, double warmupRequestsPerSecond, Optional<EngineProfile> engine) {

}
