package org.wigeontally.gateway;

import java.util.List;

/**
 * Gets the keys of records that changed.
 */
@FunctionalInterface
interface RecordsListener {

	/**
	 * Records changed.
	 * @param keys their keys
	 * @param source who told them
	 * @param sinceMs time after which the change happened;
	 * {@link org.wigeontally.fleet.AnnouncedVersions#UNKNOWN_TIME_MS} if not known
	 */
	void recordsChanged(List<String> keys, String source, long sinceMs);

}
