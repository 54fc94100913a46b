package org.wigeontally.claims;

import org.wigeontally.schema.generated.Claim;

/**
 * A claim that holds its key.
 *
 * @param key the key
 * @param claim the claim
 * @param timeMs the log's time of the claim, in milliseconds since 1970
 */
public record ClaimGrant(ClaimKey key, Claim claim, long logTimeMs) {

}
