package org.wigeontally.weights;

import org.wigeontally.schema.generated.HostIdentity;

/**
 * Location of a backend server host.
 *
 * @param host name of the host
 * @param region region of the host
 * @param zone availability zone of the host
 */
public record HostLocation(String host, String region, String zone) {

	/**
	 * Returns the location given in a host identity.
	 * @param identity identity of a host
	 * @return the location of the host
	 */
	public static HostLocation of(HostIdentity identity) {
		return new HostLocation(identity.getHost(), identity.getRegion(), identity.getZone());
	}

}
