package org.wigeontally.fleet;

/**
 * The origin server from which new weights are downloaded.
 *
 * @param address IP address and port
 * @param zone availability zone
 * @param maxConnections maximum number of connections to the origin
 */
public record WeightOrigin(String address, String zone, int maxConnections) {

}
