package org.wigeontally.gateway;

import io.netty.handler.codec.http.HttpHeaders;

import org.wigeontally.platform.wire.WireNames;

/**
 * Reads the load that a backend server reports in a response header. It is used only if
 * no agent has recently reported on the backend server.
 */
final class LoadHeader {

	private static final int FIELD_COUNT = 3;

	private LoadHeader() {
	}

	static void recordLoad(HttpHeaders headers, Backend backend, long nowMs) {
		String value = headers.get(WireNames.LOAD);
		if (value == null || backend.hasRecentReport(nowMs)) {
			return;
		}
		String[] fields = value.split(",");
		if (fields.length != FIELD_COUNT) {
			return;
		}
		try {
			int running = Integer.parseInt(fields[0].strip());
			int waiting = Integer.parseInt(fields[1].strip());
			backend.load().recordReport(running + waiting, 1, nowMs);
		}
		catch (NumberFormatException ex) {
			// An invalid load does not make the response invalid; the previous load stays
			// in use.
			return;
		}
	}

}
