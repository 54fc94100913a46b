package org.wigeontally.fleet;

import java.util.List;

import org.wigeontally.misc.RendezvousHash;
import org.wigeontally.schema.generated.EntryNews;
import org.wigeontally.settings.Addresses;

/**
 * Divides the rate of requests that a cold backend server bears among the entries.
 *
 * <p>
 * A backend server can become cold without notice, so the shares apply at all times, and
 * they must not be smaller than what a warm one needs. Equal shares of all entries are:
 * 26 requests a second over 49 entries leave less than one for each, although nearly all
 * requests come from the ten entries of the backend server's region. Those entries
 * therefore get most of the rate. Within a group of entries the whole numbers that add up
 * to the rate are dealt out by rank, which differs for each backend server, so that
 * entries whose share is zero at one have a share at others.
 *
 * <p>
 * Entries that were not heard of for a while still count, because an entry that is cut
 * off cannot tell whether the others run.
 */
public final class WarmupShare {

	/** Fraction of the rate for the entries in the region of the backend server. */
	private static final double NEAR_FRACTION = 0.7;

	/**
	 * Number of entries that are assumed in each group if fewer are known, as after a
	 * start.
	 */
	private static final int MIN_NEAR_ENTRIES = 3;

	private static final int MIN_FAR_ENTRIES = 6;

	private WarmupShare() {
	}

	/**
	 * Returns the share of one entry.
	 * @param totalPerSecond requests per second that all entries together may send
	 * @param backendId id of the backend server
	 * @param backendRegion its region
	 * @param own the entry
	 * @param others all other entries that were heard of lately
	 * @return requests per second
	 */
	public static int requestsPerSecond(double totalPerSecond, String backendId, String backendRegion, EntryNews own,
			List<EntryNews> others) {
		boolean near = own.getRegion().equals(backendRegion);
		long ownRank = rank(own, backendId);
		int count = 1;
		int position = 0;
		for (EntryNews other : others) {
			if (other.getRegion().equals(backendRegion) == near) {
				count++;
				position += (rank(other, backendId) < ownRank) ? 1 : 0;
			}
		}
		int nearTotal = (int) (totalPerSecond * NEAR_FRACTION);
		int total = near ? nearTotal : (int) totalPerSecond - nearTotal;
		int divisor = Math.max(count, near ? MIN_NEAR_ENTRIES : MIN_FAR_ENTRIES);
		return total * (position + 1) / divisor - total * position / divisor;
	}

	private static long rank(EntryNews entry, String backendId) {
		return RendezvousHash.of(Addresses.format(entry.getControl()) + " " + backendId);
	}

}
