package org.wigeontally.addresses;

import org.wigeontally.schema.generated.Address;

/**
 * An entry as the answering entry sees it. Immutable.
 *
 * @param host entry host
 * @param region region of the host
 * @param zone availability zone of the host
 * @param address where callers connect
 * @param serving true if it is live, not leaving and in force, so that it takes new work
 * @param load share of its capacity in use, between 0 and 1
 */
public record EntryCandidate(String host, String region, String zone, Address address, boolean serving, double load) {

}
