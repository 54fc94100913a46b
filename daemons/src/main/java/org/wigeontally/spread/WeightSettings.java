package org.wigeontally.spread;

import java.util.Map;

import org.wigeontally.schema.generated.HostIdentity;

/**
 * Settings of a weight node.
 *
 * @param self identity of this host
 * @param originRegion region of the origin; empty if unknown
 * @param chunkMemoryMib most memory for chunks, in MiB
 * @param uploadKbps bandwidth for uploads of weights; 0 for no limit
 * @param publishers hexadecimal public keys of publishers by name; empty to trust the
 * digests of the bundle
 * @param transport the network under uploads
 * @param seedsAcrossRegions true if hosts of all regions fetch from the origin
 */
public record WeightSettings(HostIdentity self, String originRegion, int chunkMemoryMib, int uploadKbps,
		Map<String, String> publishers, UploadTransport transport, boolean seedsAcrossRegions) {

	/**
	 * Settings of a node whose chunks all enter by the region of the origin.
	 * @param self identity of this host
	 * @param originRegion region of the origin; empty if unknown
	 * @param chunkMemoryMib most memory for chunks, in MiB
	 * @param uploadKbps bandwidth for uploads of weights; 0 for no limit
	 * @param publishers hexadecimal public keys of publishers by name
	 * @param transport the network under uploads
	 */
	public WeightSettings(HostIdentity self, String originRegion, int chunkMemoryMib, int uploadKbps,
			Map<String, String> publishers, UploadTransport transport) {
		this(self, originRegion, chunkMemoryMib, uploadKbps, publishers, transport, false);
	}

}
