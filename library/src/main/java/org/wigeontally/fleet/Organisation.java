package org.wigeontally.fleet;

import java.util.Set;

/**
 * An organisation of the configuration.
 *
 * @param name name of the organisation
 * @param priority rank, 0 first; -1 if the route's holds
 * @param regions regions that may serve; empty for all
 */
public record Organisation(String name, int priority, Set<String> regions) {

}
