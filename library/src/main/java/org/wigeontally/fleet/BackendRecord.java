package org.wigeontally.fleet;

import java.util.Map;

/**
 * A backend server as it registers itself.
 *
 * @param id unique name of this registration
 * @param service service that it runs
 * @param address IP number and port
 * @param zone availability zone
 * @param draining true if it is about to leave
 * @param bornMs start of the process, Unix milliseconds; 0 if not given
 * @param slots requests that it processes at once
 * @param coldMs how much longer it stays cold when the record was written
 * @param loadedVersions version of each model whose layers it holds
 */
public record BackendRecord(String id, String service, String address, String zone, boolean draining,
		long processStartMs, int slots, long remainingColdMs, Map<String, Long> loadedVersions) {

}
