package org.wigeontally.addresses;

import org.wigeontally.schema.generated.Address;

/**
 * An entry that can be returned to a caller, as known to the answering entry. Immutable.
 *
 * @param host host of the entry
 * @param region region of the host
 * @param zone availability zone of the host
 * @param address address to which callers connect
 * @param serving true if the entry is live, not leaving and its host is not draining, so
 * that it accepts new work
 * @param load used share of its capacity, from 0 to 1
 */
public record EntryCandidate(String host, String region, String zone, Address address, boolean serving, double load) {

}
