/** The configuration that the operator writes. */
final class Site {

	private Site() {
	}

	static String configuration(int version) {
		return configuration(version, "[{\"name\":\"org-a\",\"api-keys\":[\"key-of-org-a\"]}]");
	}

	static String configuration(int version, String tenants) {
		return configuration(version, tenants, "desk");
	}

	/** The service of the routes that are no streams may be given. */
	static String configuration(int version, String tenants, String desk) {
		return "{\"version\":" + version + ",\"routes\":["
				+ route("stream", "streaming", "engines", 6_000, 500, 2)
				+ "," + route("once", "non_idempotent", desk, 800, 100, 1)
				+ "," + route("plain", "idempotent", desk, 800, 100, 2)
				+ "],\"services\":[{\"name\":\"engines\",\"health-path\":\"/health\",\"max-connections\":434,"
				+ "\"cold-start-s\":3.0,\"warmup-per-s\":36.0,\"engine\":{\"slots\":16,\"kv-capacity-tokens\":317000,"
				+ "\"stride\":5,\"models\":[{\"name\":\"m0\",\"pace\":1.0,\"load-s\":4.0,\"warmup-s\":0.3}],"
				+ "\"step_ms\":9.27,\"per_seq_ms\":0.0232,\"context_per_k\":0.0322,\"read_per_s\":20700.0,"
				+ "\"pairs_per_m\":1.18,\"chunk\":2048,\"usual\":{\"prompt\":979,\"answer\":92},\"layers\":16,"
				+ "\"chunks\":96,\"chunk-bytes\":24576}},"
				+ plain("desk") + "," + plain("desk2") + "],"
				+ "\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\"header-timeout-ms\":2000,"
				+ "\"idle-timeout-ms\":15000},"
				+ "\"tenants\":" + tenants + "}";
	}

	private static String plain(String name) {
		return "{\"name\":\"" + name + "\",\"health-path\":\"/health\",\"max-connections\":110,"
				+ "\"cold-start-s\":0.0,\"warmup-per-s\":0.0}";
	}

	private static String route(String name, String kind, String service, int timeoutMs, int targetMs, int attempts) {
		return "{\"name\":\"" + name + "\",\"host\":\"h.example\",\"path-prefix\":\"/" + name + "/\",\"kind\":\"" + kind
				+ "\",\"timeout-ms\":" + timeoutMs + ",\"target-latency-ms\":" + targetMs + ",\"priority\":1,\"service\":\""
				+ service + "\",\"max-attempts\":" + attempts + ",\"auth-exempt\":false,\"resume-streams\":"
				+ kind.equals("streaming") + ",\"target-gap-ms\":400,\"allowed-regions\":[]}";
	}

}
