package org.wigeontally.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import org.wigeontally.platform.standin.FakeConfiguration;
import org.wigeontally.platform.standin.TestCaller;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against requests without an answer beside planned changes: configurations with
 * many routes and other limits follow each other, and entries reload their settings,
 * while callers keep their connections.
 */
public class ConfigurationChangeTests {

	private static final int ENTRIES = 5;

	private static final int CALLERS = 40;

	private static final int ROUTES = 1_720;

	private static final long DURATION_MS = 8_000;

	private static final long CHANGE_INTERVAL_MS = 700;

	private static final long[] IDLE_LIMITS_MS = { 3_000, 1_000 };

	private GatewayFixture fixture;

	private volatile long idleLimitMs;

	@BeforeMethod
	public void start() throws Exception {
		this.fixture = new GatewayFixture();
	}

	@AfterMethod(alwaysRun = true)
	public void stop() throws Exception {
		this.fixture.close();
	}

	@DataProvider
	public Object[][] seeds() {
		return new Object[][] { { 1 } };
	}

	@Test(dataProvider = "seeds")
	public void everyRequestIsAnsweredWhileConfigurationsChange(int seed) throws Exception {
		writeConfiguration(1, seed);
		this.fixture.startBackend("desk-1", "desk", "zone-a", GatewayFixture.respondWithSuccess("ok"));
		this.fixture.startBackend("desk-2", "desk", "zone-a", GatewayFixture.respondWithSuccess("ok"));
		for (int i = 0; i < ENTRIES; i++) {
			this.fixture.startEntry();
		}
		for (int i = 0; i < ENTRIES; i++) {
			this.fixture.awaitStatus(i, "plain", 200);
		}
		long endNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(DURATION_MS);
		Map<Integer, Integer> countByStatus = new ConcurrentHashMap<>();
		ExecutorService callers = Executors.newFixedThreadPool(CALLERS);
		for (int i = 0; i < CALLERS; i++) {
			Random random = new Random(seed * 1_000L + i);
			callers.submit(() -> call(random, endNs, countByStatus));
		}
		Random random = new Random(seed);
		for (int version = 2; System.nanoTime() < endNs; version++) {
			writeConfiguration(version, seed);
			int entry = random.nextInt(ENTRIES);
			this.fixture.entry(entry).reload(this.fixture.settings(entry));
			Thread.sleep(CHANGE_INTERVAL_MS);
		}
		callers.shutdown();
		assertThat(callers.awaitTermination(10, TimeUnit.SECONDS)).isTrue();
		assertThat(new TreeMap<>(countByStatus)).containsOnlyKeys(200);
	}

	private void call(Random random, long endNs, Map<Integer, Integer> countByStatus) {
		List<KeptConnection> opened = new ArrayList<>();
		try {
			KeptConnection connection = null;
			for (int request = 0; System.nanoTime() < endNs; request++) {
				if (connection == null) {
					connection = KeptConnection.open(this.fixture.settings(random.nextInt(ENTRIES)).getFront());
					opened.add(connection);
				}
				int status = connection.call(random.nextBoolean() ? "plain" : "once", "id-" + random.nextLong());
				countByStatus.merge(status, 1, Integer::sum);
				connection = (connection.isClosing() || status == KeptConnection.NO_ANSWER) ? null : connection;
				long maxIdleMs = this.idleLimitMs * 4 / 5;
				// Many callers return late, when their connections are nearly expired.
				Thread.sleep((random.nextInt(3) == 0) ? maxIdleMs : random.nextLong(maxIdleMs));
			}
			for (KeptConnection each : opened) {
				each.close();
			}
		}
		catch (Exception ex) {
			countByStatus.merge(0, 1, Integer::sum);
		}
	}

	private void writeConfiguration(int version, int seed) {
		Random random = new Random(seed * 31L + version);
		JsonObject configuration = FakeConfiguration.create(version, List.of());
		JsonArray routes = configuration.getJsonArray("routes");
		JsonObject plain = routes.getJsonObject(0);
		for (int i = 0; i < ROUTES; i++) {
			String name = "r" + i + "-" + random.nextInt(1_000_000);
			routes
				.add(plain.copy().put("name", name).put("host", TestCaller.HOST).put("path-prefix", "/" + name + "/"));
		}
		long limitMs = IDLE_LIMITS_MS[(version / 2) % IDLE_LIMITS_MS.length];
		configuration.put("limits", new JsonObject().put("header-timeout-ms", 1_000).put("idle-timeout-ms", limitMs));
		this.fixture.store().write("op", "config", configuration);
		this.idleLimitMs = limitMs;
	}

}
