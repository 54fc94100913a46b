package org.wigeontally.emulator.configuration;

import org.wigeontally.fleet.StoreReadPlan;

/**
 * When entries read the store, and how they send large records to each other.
 */
interface SpreadPolicy {

	/** What the entries do. */
	SpreadPolicy PARTS = new SpreadPolicy() {

		@Override
		public boolean sendsReferences() {
			return true;
		}

		@Override
		public long readDelayMs(int rank, long ageMs, boolean supplied) {
			return StoreReadPlan.readDelayMs(rank, ageMs, supplied);
		}

		@Override
		public long firstReadDelayMs(int rank, long waitedMs, boolean offered, boolean supplied) {
			return StoreReadPlan.firstReadDelayMs(rank, waitedMs, offered, supplied);
		}

	};

	/**
	 * What they did before: whole records in each exchange, and reads of the store with
	 * one limit, at once by each entry whose knowledge is old.
	 */
	SpreadPolicy WHOLE_RECORDS = new SpreadPolicy() {

		@Override
		public boolean sendsReferences() {
			return false;
		}

		@Override
		public long readDelayMs(int rank, long ageMs, boolean supplied) {
			return (rank == 0) ? 0 : Math.max(0, StoreReadPlan.MAX_AGE_MS - ageMs);
		}

		@Override
		public long firstReadDelayMs(int rank, long waitedMs, boolean offered, boolean supplied) {
			return 0;
		}

	};

	/**
	 * Returns whether large records are sent by reference and read in parts, and
	 * responses of the store may take longer than their limit while they arrive.
	 * @return false if they are sent whole, each within one limit
	 */
	boolean sendsReferences();

	/**
	 * Returns the time until an entry reads the records that were added to a topic.
	 * @param rank place of the entry in its region
	 * @param ageMs age of its knowledge
	 * @param supplied true if the region is receiving a large record
	 * @return milliseconds; 0 to read now
	 */
	long readDelayMs(int rank, long ageMs, boolean supplied);

	/**
	 * Returns the time until an entry reads all records after its start.
	 * @param rank place of the entry in its region
	 * @param waitedMs time since the start
	 * @param offered true if another entry of the region has the records
	 * @param supplied true if the region is receiving a large record
	 * @return milliseconds; 0 to read now
	 */
	long firstReadDelayMs(int rank, long waitedMs, boolean offered, boolean supplied);

}
