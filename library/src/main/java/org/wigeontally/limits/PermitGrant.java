package org.wigeontally.limits;

/**
 * Answer to a request for permits. Immutable.
 *
 * @param granted number of requests that may be sent
 * @param nextInMs time until the next permit can be granted, milliseconds
 */
public record PermitGrant(int granted, long nextInMs) {

}
