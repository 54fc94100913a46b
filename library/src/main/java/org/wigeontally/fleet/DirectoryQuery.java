package org.wigeontally.fleet;

/**
 * A query of a caller for the entries to connect to.
 *
 * @param host host name that the caller wants to use
 * @param region region of the caller
 * @param zone availability zone of the caller
 */
public record DirectoryQuery(String host, String region, String zone) {

}
