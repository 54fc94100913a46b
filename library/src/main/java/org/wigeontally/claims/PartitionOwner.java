package org.wigeontally.claims;

import java.util.Collection;
import java.util.Optional;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;

/**
 * Selects the entry host that appends the claims of a partition on behalf of all entries,
 * by rendezvous hashing over the live entries.
 * <p>
 * The owner only reduces the number of appends; correctness does not depend on it,
 * because the log decides every claim. Two simultaneous owners merely append twice as
 * often.
 */
public final class PartitionOwner {

	private static final Hasher64 HASHER = Hashing.komihash5_0();

	private PartitionOwner() {
	}

	/**
	 * Selects the owner of a partition.
	 * @param partition number of the partition
	 * @param liveEntries names of the live entry hosts
	 * @return name of the owner, or empty if there is no live entry
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
