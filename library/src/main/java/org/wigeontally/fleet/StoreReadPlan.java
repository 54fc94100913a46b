package org.wigeontally.fleet;

import java.util.Comparator;
import java.util.List;
import java.util.stream.Collectors;

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
 *
 * <p>
 * A record can be larger than what the link between two regions carries in that time. If
 * all entries of a region then read it for themselves, they divide the link among them
 * and none gets it. So the entries of a region begin one after the other, in the order in
 * which they would be readers, and wait while one of them receives something.
 */
public final class StoreReadPlan {

	/**
	 * Age of the own knowledge from which an entry reads the store although it is not the
	 * reader of its region. With a call's duration it stays below the time within which
	 * changes must take effect.
	 */
	public static final long MAX_AGE_MS = 1_400;

	/**
	 * Time between the entries of a region that begin to read the same. The first one has
	 * announced by then that it receives something.
	 */
	static final long STAGGER_MS = 100;

	/**
	 * Number of entries of a region that begin one after the other; the others follow.
	 */
	private static final int MAX_STAGGERED = 3;

	/** Interval at which an entry that waits for another one looks again. */
	static final long SUPPLY_CHECK_MS = 100;

	/**
	 * Time after the start in which an entry hears from others that have the records.
	 */
	static final long FIRST_CONTACT_MS = 250;

	/**
	 * Time after the start within which the entries that have the records send them, or
	 * begin to.
	 */
	static final long FIRST_SUPPLY_MS = 1_500;

	private static final Comparator<EntryNews> READ_ORDER = Comparator.comparing(StoreReadPlan::canRead)
		.reversed()
		.thenComparingLong(StoreReadPlan::hash);

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
			if (isInRegionOf(own, entry) && isBefore(entry, reader)) {
				reader = entry;
			}
		}
		return reader.getControl();
	}

	/**
	 * Returns the place of an entry in the order of the entries of its region.
	 * @param own state of this entry
	 * @param others last messages of the live entries
	 * @return 0 for the reader
	 */
	public static int rank(EntryNews own, List<EntryNews> others) {
		return (int) others.stream().filter((entry) -> isInRegionOf(own, entry) && isBefore(entry, own)).count();
	}

	/**
	 * Returns the entries of each region that come first in the order in which they read
	 * the store.
	 * @param entries last messages of entries
	 * @param perRegion maximum number of each region
	 * @return their control addresses
	 */
	public static List<Address> firstReaders(List<EntryNews> entries, int perRegion) {
		return entries.stream()
			.collect(Collectors.groupingBy(EntryNews::getRegion))
			.values()
			.stream()
			.flatMap((region) -> region.stream().sorted(READ_ORDER).limit(perRegion))
			.map(EntryNews::getControl)
			.toList();
	}

	private static boolean isInRegionOf(EntryNews own, EntryNews entry) {
		return entry.getRegion().equals(own.getRegion());
	}

	private static boolean isBefore(EntryNews entry, EntryNews other) {
		return READ_ORDER.compare(entry, other) < 0;
	}

	private static boolean canRead(EntryNews entry) {
		return entry.getReady() && entry.getStoreReachable();
	}

	private static long hash(EntryNews entry) {
		return RendezvousHash.of(Addresses.format(entry.getControl()));
	}

	/**
	 * Returns the time until an entry reads the records that were added to a topic.
	 * @param rank place of the entry in its region
	 * @param ageMs age of its knowledge of the topic in milliseconds
	 * @param supplied true if this entry or another one of the region is receiving a
	 * large record
	 * @return milliseconds; 0 to read now
	 */
	public static long readDelayMs(int rank, long ageMs, boolean supplied) {
		if (rank == 0) {
			return 0;
		}
		long delayMs = MAX_AGE_MS + staggerMs(rank - 1) - ageMs;
		return Math.max(delayMs, supplied ? SUPPLY_CHECK_MS : 0);
	}

	/**
	 * Returns the time until an entry reads all records of a topic after its start.
	 * @param rank place of the entry in its region
	 * @param waitedMs time since the start in milliseconds
	 * @param offered true if another entry of the region has the records
	 * @param supplied true if this entry or another one of the region is receiving a
	 * large record
	 * @return milliseconds; 0 to read now
	 */
	public static long firstReadDelayMs(int rank, long waitedMs, boolean offered, boolean supplied) {
		long delayMs = (offered ? FIRST_SUPPLY_MS : FIRST_CONTACT_MS) + staggerMs(rank) - waitedMs;
		return Math.max(delayMs, supplied ? SUPPLY_CHECK_MS : 0);
	}

	/**
	 * Returns whether an entry may read a large record from an entry of another region.
	 * @param rank place of the entry in its region
	 * @param waitedMs time for which the entry has known of the record, milliseconds
	 * @param supplied true if another entry of the region is receiving a large record
	 * @return true if it may
	 */
	public static boolean mayReadFromOtherRegion(int rank, long waitedMs, boolean supplied) {
		return !supplied && waitedMs >= staggerMs(rank);
	}

	private static long staggerMs(int entriesBefore) {
		return STAGGER_MS * Math.min(MAX_STAGGERED, entriesBefore);
	}

}
