package org.wigeontally.platform;

import org.wigeontally.schema.generated.Address;

/**
 * A host as the platform's list shows it.
 *
 * @param host name of the host
 * @param address address of its process
 * @param isEntryHost true for an entry host, false for a backend server host
 * @param leaving true if the platform takes the host away
 */
public record ListedHost(String host, Address address, boolean isEntryHost, boolean leaving) {

}
