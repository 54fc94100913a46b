package org.wigeontally.emulator.soak;

import java.util.List;
import java.util.Random;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

import org.wigeontally.platform.standin.FakeConfiguration;

/**
 * The configurations of a soak, one after the other. They leave every route that callers
 * use and every limit that callers keep. Created by one thread; the idle limit may be
 * read by others.
 */
final class SoakConfigurations {

	/** Second service of the plain backend servers. */
	static final String OTHER_DESK = "desk-b";

	private static final int[] IDLE_LIMITS_MS = { 600, 1_200, 2_500, 5_000 };

	private static final int HEADER_TIMEOUT_MS = 1_000;

	/** Bodies of the soak have some dozen bytes. */
	private static final int[] BODY_LIMITS = { 256, 65_536, 4_194_304 };

	/** Added to the timeout of a route; callers wait longer than with any of them. */
	private static final int[] ADDED_TIMEOUTS_MS = { 0, 500, 1_000 };

	private static final int MAX_ADDED_ROUTES = 400;

	private static final int MAX_WEIGHT = 100;

	private final SoakDisruptions disruptions;

	private final Random random;

	private int version;

	private volatile long idleLimitMs = IDLE_LIMITS_MS[IDLE_LIMITS_MS.length - 1];

	SoakConfigurations(SoakSetting setting) {
		this.disruptions = setting.disruptions();
		this.random = new Random(setting.seed());
	}

	/**
	 * Returns the idle limit of the newest configuration.
	 * @return milliseconds
	 */
	long idleLimitMs() {
		return this.idleLimitMs;
	}

	int version() {
		return this.version;
	}

	/**
	 * Creates the next configuration. Every other one lacks a route that no caller uses.
	 * @return the content of the store record
	 */
	JsonObject next() {
		this.version++;
		List<String> omitted = (this.version % 2 == 0) ? List.of("homed") : List.of();
		JsonObject configuration = FakeConfiguration.create(this.version, omitted, this.disruptions.timeoutMs());
		if (this.disruptions.hasChanges()) {
			change(configuration);
		}
		return configuration;
	}

	private void change(JsonObject configuration) {
		JsonArray routes = configuration.getJsonArray("routes");
		for (int i = 0; i < routes.size(); i++) {
			JsonObject route = routes.getJsonObject(i);
			route.put("timeout-ms", this.disruptions.timeoutMs() + oneOf(ADDED_TIMEOUTS_MS));
			if (route.getString("service").equals("desk")) {
				route.put("weighted-split", new JsonArray().add(share("desk")).add(share(OTHER_DESK)));
			}
		}
		JsonObject first = routes.getJsonObject(0);
		int added = this.random.nextInt(MAX_ADDED_ROUTES);
		for (int i = 0; i < added; i++) {
			String name = "added-" + this.version + "-" + i;
			routes.add(first.copy().put("name", name).put("path-prefix", "/" + name + "/"));
		}
		JsonArray services = configuration.getJsonArray("services");
		services.add(services.getJsonObject(0).copy().put("name", OTHER_DESK));
		this.idleLimitMs = oneOf(IDLE_LIMITS_MS);
		configuration.put("limits",
				new JsonObject().put("max-body-bytes", oneOf(BODY_LIMITS))
					.put("header-timeout-ms", HEADER_TIMEOUT_MS)
					.put("idle-timeout-ms", this.idleLimitMs));
	}

	private JsonObject share(String service) {
		return new JsonObject().put("service", service).put("weight", 1 + this.random.nextInt(MAX_WEIGHT));
	}

	private int oneOf(int[] values) {
		return values[this.random.nextInt(values.length)];
	}

}
