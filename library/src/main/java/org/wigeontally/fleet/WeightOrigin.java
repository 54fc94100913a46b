package org.wigeontally.fleet;

/**
 * Where new weights come from.
 *
 * @param address IP number and port
 * @param zone availability zone
 * @param maxConnections connections that it takes
 */
public record WeightOrigin(String address, String zone, int maxConnections) {

}
