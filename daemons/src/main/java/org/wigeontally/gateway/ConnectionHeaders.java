package org.wigeontally.gateway;

import java.util.Locale;
import java.util.Set;

/**
 * Hop-by-hop and framing headers, which are not forwarded in requests or in responses.
 */
final class ConnectionHeaders {

	private static final Set<String> NAMES = Set.of("connection", "keep-alive", "proxy-connection", "trailer",
			"transfer-encoding", "upgrade", "content-length");

	private ConnectionHeaders() {
	}

	static boolean contains(String header) {
		return NAMES.contains(header.toLowerCase(Locale.ROOT));
	}

}
