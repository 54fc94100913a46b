package org.wigeontally.gateway;

/**
 * What an entry was asked for.
 *
 * @param operatorEnd position up to which records were known to exist
 * @param configurationVersion newest version that was known to exist
 * @param atMs time of the request
 */
record RecordRequest(long operatorEnd, long configurationVersion, long atMs) {

	boolean isRepeatedBy(RecordRequest next) {
		return this.operatorEnd == next.operatorEnd && this.configurationVersion == next.configurationVersion
				&& next.atMs - this.atMs < EntryExchange.INTERVAL_MS;
	}

}
