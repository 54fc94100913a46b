package org.wigeontally.weights;

import org.wigeontally.schema.generated.HostIdentity;

/**
 * Where a backend server host stands.
 *
 * @param host name of the host
 * @param region its region
 * @param zone its availability zone
 */
public record HostLocation(String host, String region, String zone) {

	/**
	 * Takes the place out of an identity.
	 * @param identity identity of a host
	 * @return its place
	 */
	public static HostLocation of(HostIdentity identity) {
		return new HostLocation(identity.getHost(), identity.getRegion(), identity.getZone());
	}

}
