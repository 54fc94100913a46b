package org.wigeontally.claims;

import org.wigeontally.schema.generated.Claim;

/**
 * A claim that was granted its key.
 *
 * @param key the key
 * @param claim the claim
 * @param logTimeMs time at which the log stored the claim, in milliseconds since 1970
 */
public record ClaimGrant(ClaimKey key, Claim claim, long logTimeMs) {

}
