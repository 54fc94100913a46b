package org.wigeontally.gateway;

import java.util.List;

/**
 * Receives the keys of changed records.
 */
@FunctionalInterface
interface RecordsListener {

	/**
	 * Handles changed records.
	 * @param keys keys of the changed records
	 * @param source where the records came from, for the log
	 * @param sinceMs time after which the records changed;
	 * {@link org.wigeontally.fleet.AnnouncedVersions#UNKNOWN_TIME_MS} if unknown
	 */
	void recordsChanged(List<String> keys, String source, long sinceMs);

}
