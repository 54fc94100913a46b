package org.wigeontally.claims;

import java.util.Collection;
import java.util.Optional;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;

/**
 * Chooses the entry host that appends a partition's claims for all others, by rendezvous
 * hashing over the live ones. The choice saves appends and decides nothing else: two
 * owners at once only append twice as often, because the log judges.
 */
public final class PartitionOwner {

	private static final Hasher64 HASHER = Hashing.komihash5_0();

	private PartitionOwner() {
	}

	/**
	 * Chooses the owner.
	 * @param partition number of the partition
	 * @param liveEntries names of live entry hosts
	 * @return the owner's name, or nothing if there is no live entry
	 */
	public static Optional<String> of(int partition, Collection<String> liveEntries) {
		String owner = null;
		long highest = 0;
		for (String host : liveEntries) {
			long weight = HASHER.hashStream().putInt(partition).putString(host).getAsLong();
			if (owner == null || Long.compareUnsigned(weight, highest) > 0) {
				owner = host;
				highest = weight;
			}
		}
		return Optional.ofNullable(owner);
	}

}
