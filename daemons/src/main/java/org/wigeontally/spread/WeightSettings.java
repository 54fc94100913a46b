package org.wigeontally.spread;

import java.util.Map;

import org.wigeontally.schema.generated.HostIdentity;

/**
 * Settings of a weight node.
 *
 * @param self identity of this host
 * @param originRegion region of the origin; empty if unknown
 * @param memoryMb most memory for chunks, in MiB
 * @param kbps bandwidth for uploads of weights; 0 for no limit
 * @param publishers hexadecimal public keys of publishers by name; empty to trust the
 * digests of the bundle
 * @param wire the network under uploads
 * @param sharedEntry true if hosts of all regions fetch from the origin
 */
public record WeightSettings(HostIdentity self, String originRegion, int memoryMb, int kbps,
		Map<String, String> publishers, Wire wire, boolean sharedEntry) {

	/**
	 * Settings of a node whose chunks all enter by the region of the origin.
	 * @param self identity of this host
	 * @param originRegion region of the origin; empty if unknown
	 * @param memoryMb most memory for chunks, in MiB
	 * @param kbps bandwidth for uploads of weights; 0 for no limit
	 * @param publishers hexadecimal public keys of publishers by name
	 * @param wire the network under uploads
	 */
	public WeightSettings(HostIdentity self, String originRegion, int memoryMb, int kbps,
			Map<String, String> publishers, Wire wire) {
		this(self, originRegion, memoryMb, kbps, publishers, wire, false);
	}

}
