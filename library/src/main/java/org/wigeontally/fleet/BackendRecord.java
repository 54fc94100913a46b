package org.wigeontally.fleet;

import java.util.Map;

/**
 * The registration of a backend server in the store.
 *
 * @param id unique name of this registration
 * @param service service that the backend server runs
 * @param address IP address and port
 * @param zone availability zone
 * @param draining true if it is about to stop
 * @param processStartMs start of the process, Unix milliseconds; 0 if not given
 * @param slots requests that it processes at the same time
 * @param remainingColdMs time for which it stays cold, counted from the writing of the
 * record
 * @param loadedVersions loaded version of each model
 */
public record BackendRecord(String id, String service, String address, String zone, boolean draining,
		long processStartMs, int slots, long remainingColdMs, Map<String, Long> loadedVersions) {

}
