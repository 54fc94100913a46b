package org.wigeontally.spread;

import java.util.Map;

import org.wigeontally.schema.generated.HostIdentity;

/**
 * Settings of a weight node.
 *
 * @param self identity of this host
 * @param originRegion region of the origin; empty if unknown
 * @param chunkMemoryMib maximum memory for chunks, in MiB
 * @param uploadKbps rate limit for uploads of weights, in kbit/s; 0 for no limit
 * @param publishers hexadecimal public keys of publishers by name; empty to trust the
 * manifest digests of the settings bundle without a signature
 * @param transport transport of uploads
 * @param seedsAcrossRegions true if hosts of all regions fetch from the origin; false if
 * only those of the origin's region do
 */
public record WeightSettings(HostIdentity self, String originRegion, int chunkMemoryMib, int uploadKbps,
		Map<String, String> publishers, UploadTransport transport, boolean seedsAcrossRegions) {

	/**
	 * Creates settings with which only hosts of the origin's region fetch from the
	 * origin.
	 * @param self identity of this host
	 * @param originRegion region of the origin; empty if unknown
	 * @param chunkMemoryMib maximum memory for chunks, in MiB
	 * @param uploadKbps rate limit for uploads of weights, in kbit/s; 0 for no limit
	 * @param publishers hexadecimal public keys of publishers by name
	 * @param transport transport of uploads
	 */
	public WeightSettings(HostIdentity self, String originRegion, int chunkMemoryMib, int uploadKbps,
			Map<String, String> publishers, UploadTransport transport) {
		this(self, originRegion, chunkMemoryMib, uploadKbps, publishers, transport, false);
	}

}
