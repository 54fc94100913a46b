package org.wigeontally.fleet;

/**
 * An organisation of the configuration.
 *
 * @param name name of the organisation
 * @param priority priority of its requests, 0 is the highest; -1 to use the priority of
 * the route
 * @param regions regions that may serve its requests
 */
public record Organisation(String name, int priority, AllowedRegions regions) {

}
