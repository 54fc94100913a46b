package org.wigeontally.fleet;

import java.util.List;

import org.wigeontally.misc.RendezvousHash;
import org.wigeontally.schema.generated.Address;
import org.wigeontally.schema.generated.EntryNews;
import org.wigeontally.settings.Addresses;

/**
 * Decides which entries read the store, and when.
 *
 * <p>
 * If every entry reads every topic for itself, the calls to the store grow with the
 * number of entries, and a burst of entries coming back competes for the store's rate. So
 * one entry of each region reads, and the others of the region take the records from it
 * when they exchange messages. No agreement is needed on which one it is: each entry
 * takes the first in a fixed order among the entries that it hears from, that are ready
 * and whose last call to the store succeeded. Two entries may differ for a moment, which
 * costs a few calls.
 *
 * <p>
 * Each entry knows the age of its knowledge: the time since the call was sent that the
 * reader, or the entry itself, last read the store with, so that slow answers do not make
 * it look fresher than it is. An entry whose knowledge is older than {@link #MAX_AGE_MS}
 * reads the store itself, whoever the reader is. A reader that dies, freezes, is cut off,
 * or is turned away by the store therefore delays changes by no more than this time,
 * without being recognised as such first.
 */
public final class StoreReadPlan {

	/**
	 * Age of the own knowledge from which an entry reads the store although it is not the
	 * reader of its region. With a call's duration it stays below the time within which
	 * changes must take effect.
	 */
	public static final long MAX_AGE_MS = 1_400;

	private StoreReadPlan() {
	}

	/**
	 * Returns the entry that reads the store for a region.
	 * @param own state of this entry
	 * @param others last messages of the live entries
	 * @return control address of the reader; that of this entry if there is no other
	 */
	public static Address reader(EntryNews own, List<EntryNews> others) {
		EntryNews reader = own;
		for (EntryNews entry : others) {
			boolean candidate = entry.getRegion().equals(own.getRegion()) && canRead(entry);
			if (candidate && (!canRead(reader) || rank(entry) < rank(reader))) {
				reader = entry;
			}
		}
		return reader.getControl();
	}

	private static boolean canRead(EntryNews entry) {
		return entry.getReady() && entry.getStoreReachable();
	}

	private static long rank(EntryNews entry) {
		return RendezvousHash.of(Addresses.format(entry.getControl()));
	}

	/**
	 * Returns the time until an entry reads a topic.
	 * @param isReader true if this entry reads for its region
	 * @param ageMs age of its knowledge of the topic in milliseconds
	 * @return milliseconds; 0 to read now
	 */
	public static long readDelayMs(boolean isReader, long ageMs) {
		return isReader ? 0 : Math.max(0, MAX_AGE_MS - ageMs);
	}

}
