package org.wigeontally.gateway;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

/**
 * Registrations of backend servers that tests run on plain sockets.
 */
final class RawBackends {

	private RawBackends() {
	}

	static JsonObject registration(String service, int port) {
		return new JsonObject().put("service", service)
			.put("address", "127.0.0.1:" + port)
			.put("zone", "zone-a")
			.put("version", "v1")
			.put("slots", 16)
			.put("state", "ready")
			.put("cold-remaining-ms", 0)
			.put("born", 1)
			.put("models", new JsonArray().add(new JsonObject().put("name", "m0").put("version", 1)))
			.put("seq", 1);
	}

}
