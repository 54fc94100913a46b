package org.wigeontally.gateway;

/**
 * What the other entries of the region know of a topic of the store.
 */
interface RegionSupply {

	/**
	 * Returns the place of this entry in the order in which the entries of the region
	 * read the store.
	 * @return 0 for the reader
	 */
	int rank();

	/**
	 * Returns whether the entries of the region pass on large records of the topic.
	 * @return false if all records are small
	 */
	boolean sharesLargeRecords();

	/**
	 * Returns whether this entry or another one of the region is receiving a large record
	 * of the topic.
	 * @return true if some of it arrived lately
	 */
	boolean isReceiving();

	/**
	 * Returns whether an entry of the region that reads before this one is receiving a
	 * large record of the topic.
	 * @return true if some of it arrived lately
	 */
	boolean isReceivedByEarlierEntry();

	/**
	 * Returns whether another entry of the region has records of the topic.
	 * @return true if this entry gets them from there
	 */
	boolean hasRecords();

	/**
	 * Tells the other entries of the region that this entry is receiving a large record.
	 */
	void announceReceiving();

}
