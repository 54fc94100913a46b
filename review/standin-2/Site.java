/** The configuration of a small deployment, as the operator writes it. */
final class Site {

	static final String ENGINES = "huvo11a";

	static final String DESK = "xano55b";

	private Site() {
	}

	static void configure(Store store) {
		configure(store, 0);
	}

	/**
	 * Writes the configuration.
	 * @param store the store
	 * @param originPort port of the origin of weights; 0 if there is none
	 */
	static void configure(Store store, int originPort) {
		String origin = (originPort == 0) ? ""
				: ",{\"name\":\"gowu98c\",\"origin\":\"127.0.0.1:" + originPort
						+ "\",\"zone\":\"lautoka-a\",\"link-mbps\":7.3,\"max-connections\":48}";
		store.write("keyed.op", "config", """
				{"version":7,"routes":[{"name":"r-js2eek2","host":"%s","path-prefix":"/lepu270/","kind":"streaming",\
				"timeout-ms":6000,"target-latency-ms":502,"priority":1,"service":"%s","max-attempts":2,\
				"auth-exempt":false,"sticky-sessions":true,"resume-streams":true,"target-gap-ms":400,\
				"allowed-regions":[]},{"name":"r-9kq1","host":"%s","path-prefix":"/filo73/","kind":"non_idempotent",\
				"timeout-ms":800,"target-latency-ms":100,"priority":2,"service":"%s","max-attempts":1,\
				"auth-exempt":false,"allowed-regions":[]},{"name":"r-2xp4","host":"%s","path-prefix":"/boye614/",\
				"kind":"idempotent","timeout-ms":800,"target-latency-ms":100,"priority":2,"service":"%s",\
				"max-attempts":2,"auth-exempt":false,"allowed-regions":[]}],"services":[{"name":"%s",\
				"health-path":"/health","max-connections":110,"protocol":"h1","tls":false},{"name":"%s","health-path":"/health","max-connections":434,\
				"protocol":"h1","tls":false,"cold-start-s":3.0,"engine":{"slots":16,\
				"kv-capacity-tokens":317000,"token-kv-bytes":262144,"link-mbps":400000.0,"stride":5,\
				"models":[{"name":"m0","pace":1.0,"load-s":4.0,"warmup-s":0.3}],"size-mb":149000.0,"step_ms":9.27,\
				"per_seq_ms":0.0232,"context_per_k":0.0322,"read_per_s":20700.0,"pairs_per_m":1.18,"chunk":2048,\
				"report_lag_ms":200.0,"layers":16,"chunks":96,"chunk-bytes":24576,\
				"usual":{"prompt":800,"answer":150}}}%s],\
				"limits":{"max-header-bytes":16384,"max-body-bytes":1048576,"header-timeout-ms":2000,\
				"idle-timeout-ms":10000},"tenants":[{"name":"bozi300","api-keys":["%s"]}]}"""
			.formatted(Streams.HOST, ENGINES, Streams.HOST, DESK, Streams.HOST, DESK, DESK, ENGINES, origin, Streams.KEY));
	}

}
