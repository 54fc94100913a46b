package org.wigeontally.fleet;

/**
 * Decides between the record of a restored store and a record that this process read
 * before the store was restored, if their order is uncertain.
 */
public interface RestorePolicy {

	/**
	 * Returns whether a restored record is certainly newer although its offset is lower.
	 * @param restored record of the restored store
	 * @param known the known record
	 * @return true if the restored record replaces the known one
	 */
	boolean isNewer(CompactedTopic.TopicRecord restored, CompactedTopic.TopicRecord known);

	/**
	 * Returns whether the restored store is right about a record after the writers have
	 * had time to write their records again.
	 * @param restored record of the restored store
	 * @param known the known record
	 * @return true if the restored record replaces the known one
	 */
	boolean isRightAfterGrace(CompactedTopic.TopicRecord restored, CompactedTopic.TopicRecord known);

}
