package org.wigeontally.platform;

import org.wigeontally.schema.generated.Address;

/**
 * A host in the platform's host list.
 *
 * @param host name of the host
 * @param address address of the process on the host
 * @param isEntryHost true for an entry host, false for a backend server host
 * @param leaving true if the platform is removing the host
 */
public record ListedHost(String host, Address address, boolean isEntryHost, boolean leaving) {

}
