package org.wigeontally.fleet;

/**
 * Positions of records in a topic of the store. A position combines the era of the store
 * with the offset of the record.
 *
 * <p>
 * The store raises its era by one whenever it comes back from an older copy of its data.
 * Offsets of the lost records are then assigned again to other records, so that offsets
 * can be compared only within one era. A position of a later era is greater than all
 * positions of earlier ones. It is a single number, so that positions can be ordered,
 * stored and sent like offsets.
 */
public final class StorePosition {

	/** Largest era that a position can hold. */
	public static final long MAX_ERA = (1L << 20) - 1;

	private static final int OFFSET_BITS = 42;

	private static final long MAX_OFFSET = (1L << OFFSET_BITS) - 1;

	private StorePosition() {
	}

	/**
	 * Returns the position of an offset within an era.
	 * @param era era of the store, from 0 to {@link #MAX_ERA}
	 * @param offset offset in the topic
	 * @return the position
	 */
	public static long of(long era, long offset) {
		if (era < 0 || era > MAX_ERA || offset < 0 || offset > MAX_OFFSET) {
			throw new IllegalArgumentException("era " + era + " or offset " + offset + " is out of range");
		}
		return (era << OFFSET_BITS) | offset;
	}

	/**
	 * Returns the era of a position.
	 * @param position the position
	 * @return the era
	 */
	public static long era(long position) {
		return position >>> OFFSET_BITS;
	}

	/**
	 * Returns the offset of a position.
	 * @param position the position
	 * @return the offset within its era
	 */
	public static long offset(long position) {
		return position & MAX_OFFSET;
	}

	/**
	 * Formats a position for logs.
	 * @param position the position
	 * @return era and offset
	 */
	public static String format(long position) {
		return era(position) + ":" + offset(position);
	}

}
