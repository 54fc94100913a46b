package org.wigeontally.gateway;

import java.util.List;

import io.vertx.core.json.JsonObject;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import org.wigeontally.platform.standin.BackendStandIn;
import org.wigeontally.platform.standin.CallerStandIn;
import org.wigeontally.platform.standin.StoreStandIn;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * What entries believe while the store and other entries come and go.
 */
public class FleetBeliefTests {

	/** Time after which a backend server that leaves must get nothing more. */
	private static final long DRAIN_BOUND_MS = 2_000;

	private GatewayFixture fixture;

	@BeforeMethod
	public void start() throws Exception {
		this.fixture = new GatewayFixture();
		this.fixture.configure();
	}

	@AfterMethod(alwaysRun = true)
	public void stop() throws Exception {
		this.fixture.close();
	}

	@Test
	public void entryWithoutConfigurationIsNotReadyAndRefuses() throws Exception {
		this.fixture.store().mode(StoreStandIn.Mode.BUSY);
		this.fixture.startEntry();
		assertThat(this.fixture.call("plain").status()).isEqualTo(503);
		assertThat(this.fixture.get(this.fixture.settings(0).getReady(), CallerStandIn.READY_PATH).status())
			.isEqualTo(503);
		this.fixture.store().mode(StoreStandIn.Mode.SERVES);
		this.fixture.startBackend("desk-1", "desk", "zone-a", GatewayFixture.success("ok"));
		this.fixture.awaitStatus(0, "plain", 200);
		assertThat(this.fixture.get(this.fixture.settings(0).getReady(), CallerStandIn.READY_PATH).status())
			.isEqualTo(200);
	}

	@Test
	public void serviceGoesOnWhileTheStoreIsAway() throws Exception {
		this.fixture.startBackend("desk-1", "desk", "zone-a", GatewayFixture.success("ok"));
		this.fixture.startEntry();
		this.fixture.awaitStatus(0, "plain", 200);
		for (StoreStandIn.Mode mode : StoreStandIn.Mode.values()) {
			this.fixture.store().mode(mode);
			Thread.sleep(300);
			assertThat(this.fixture.call("plain").status()).as("store %s", mode).isEqualTo(200);
		}
	}

	/** A key is taken away while the store turns the second entry away. */
	@Test
	public void entryLearnsFromOthersWhatTheStoreDoesNotTellIt() throws Exception {
		this.fixture.startBackend("desk-1", "desk", "zone-a", GatewayFixture.success("ok"));
		this.fixture.startEntry();
		this.fixture.startEntry();
		this.fixture.awaitStatus(1, "plain", 200);
		this.fixture.awaitStatus(0, "plain", 200);
		this.fixture.store().mode(StoreStandIn.Mode.SILENT);
		Thread.sleep(2_700);
		this.fixture.store().mode(StoreStandIn.Mode.SERVES);
		this.fixture.configure(GatewayFixture.KEY);
		this.fixture.awaitStatus(0, "plain", 401);
		this.fixture.awaitStatus(1, "plain", 401);
	}

	@Test
	public void olderConfigurationNeverComesBack() throws Exception {
		this.fixture.startBackend("desk-1", "desk", "zone-a", GatewayFixture.success("ok"));
		this.fixture.startEntry();
		this.fixture.awaitStatus(0, "plain", 200);
		this.fixture.configure("plain");
		this.fixture.awaitStatus(0, "plain", 404);
		this.fixture.store().stale(1);
		this.fixture.store().forgetHistory("op");
		this.fixture.store().mode(StoreStandIn.Mode.RESET);
		Thread.sleep(200);
		this.fixture.store().mode(StoreStandIn.Mode.SERVES);
		for (int i = 0; i < 20; i++) {
			assertThat(this.fixture.call("plain").status()).isEqualTo(404);
			Thread.sleep(30);
		}
	}

	@Test
	public void drainingOrRemovedBackendServerGetsNothingMore() throws Exception {
		BackendStandIn leaves = this.fixture.startBackend("desk-1", "desk", "zone-a", GatewayFixture.success("ok"));
		BackendStandIn lapses = this.fixture.startBackend("desk-2", "desk", "zone-a", GatewayFixture.success("ok"));
		this.fixture.startBackend("desk-3", "desk", "zone-b", GatewayFixture.success("ok"));
		this.fixture.startEntry();
		this.fixture.awaitStatus(0, "plain", 200);
		this.fixture.store().write("servers", "desk-1", leaves.registration("desk", "zone-a", "draining", 0));
		this.fixture.store().write("servers", "desk-2", null);
		Thread.sleep(DRAIN_BOUND_MS);
		int before = leaves.arrivals().size() + lapses.arrivals().size();
		for (int i = 0; i < 20; i++) {
			assertThat(this.fixture.call("plain").status()).isEqualTo(200);
		}
		assertThat(leaves.arrivals().size() + lapses.arrivals().size()).isEqualTo(before);
	}

	@Test
	public void zoneTakenOutGetsNothingUntilItReturns() throws Exception {
		BackendStandIn out = this.fixture.startBackend("desk-1", "desk", "zone-a", GatewayFixture.success("ok"));
		this.fixture.startBackend("desk-2", "desk", "zone-b", GatewayFixture.success("ok"));
		this.fixture.startEntry();
		this.fixture.awaitStatus(0, "plain", 200);
		this.fixture.store().write("op", "evacuate/zone-a", new JsonObject());
		Thread.sleep(DRAIN_BOUND_MS);
		int before = out.arrivals().size();
		for (int i = 0; i < 10; i++) {
			assertThat(this.fixture.call("plain").status()).isEqualTo(200);
		}
		assertThat(out.arrivals()).hasSize(before);
		this.fixture.store().write("op", "evacuate/zone-a", null);
		GatewayFixture.awaitTrue(() -> {
			try {
				this.fixture.call("plain");
			}
			catch (Exception ex) {
				return false;
			}
			return out.arrivals().size() > before;
		});
	}

	/** The same content comes at two entries by turns and brings down what runs it. */
	@Test
	public void harmfulRequestIsStoppedOverAllEntries() throws Exception {
		List<BackendStandIn> desks = this.fixture.startFragile(6, "deadly");
		this.fixture.startEntry();
		this.fixture.startEntry();
		this.fixture.awaitStatus(0, "once", 200);
		this.fixture.awaitStatus(1, "once", 200);
		for (int i = 0; i < 8; i++) {
			this.fixture.call(i % 2, "once", "deadly-" + i, GatewayFixture.KEY, "deadly");
			Thread.sleep(200);
		}
		assertThat(GatewayFixture.arrivals(desks, "deadly")).isLessThanOrEqualTo(3);
		assertThat(this.fixture.call("once").status()).isEqualTo(200);
	}

	@Test
	public void recordsOfForeignWritersNameNobody() throws Exception {
		this.fixture.store().writeText("servers", "x1", "not json");
		this.fixture.store()
			.writeText("servers", "x2", "{\"service\":\"desk\",\"address\":7,\"zone\":\"a\",\"state\":\"ready\"}");
		this.fixture.store()
			.writeText("servers", "x3",
					"{\"service\":\"desk\",\"address\":\"127.0.0.1:1\",\"zone\":\"zone-a\",\"state\":\"napping\"}");
		this.fixture.startBackend("desk-1", "desk", "zone-a", GatewayFixture.success("ok"));
		this.fixture.startEntry();
		this.fixture.awaitStatus(0, "plain", 200);
		for (int i = 0; i < 10; i++) {
			assertThat(this.fixture.call("plain").status()).isEqualTo(200);
		}
	}

	/**
	 * A leaving entry is dropped from the directory of the others and answers what comes.
	 */
	@Test
	public void leavingEntryIsNotNamedAndStillAnswers() throws Exception {
		this.fixture.startBackend("desk-1", "desk", "zone-a", GatewayFixture.success("ok"));
		this.fixture.startEntry();
		this.fixture.startEntry();
		this.fixture.awaitStatus(0, "plain", 200);
		this.fixture.awaitStatus(1, "plain", 200);
		String leaving = "127.0.0.1:" + this.fixture.settings(1).getFront().getPort();
		GatewayFixture.awaitTrue(() -> directory(0).contains(leaving));
		this.fixture.entry(1).drain();
		GatewayFixture.awaitTrue(() -> !directory(0).contains(leaving));
		assertThat(directory(1)).doesNotContain(leaving);
		assertThat(this.fixture.call(1, "plain", "late", GatewayFixture.KEY, "").status()).isEqualTo(200);
	}

	/**
	 * An entry that starts after a version was named must not take its start for the time
	 * of naming.
	 */
	@Test
	public void versionNamedBeforeTheStartBindsAtOnce() throws Exception {
		BackendStandIn old = this.fixture.startBackend("engine-1", "engines", "zone-a",
				(arrival, socket) -> socket.write(BackendStandIn.events(arrival, "s", 0, 1) + "0\r\n\r\n"));
		this.fixture.store().write("op", "version/m0", new JsonObject().put("model", "m0").put("version", 2));
		this.fixture.startEntry();
		GatewayFixture.awaitTrue(() -> directory(0).contains("127.0.0.1"));
		assertThat(this.fixture.call("events").status()).isEqualTo(503);
		assertThat(old.arrivals()).isEmpty();
		this.fixture.store().write("servers", "engine-1", old.registration("engines", "zone-a", "ready", 2));
		this.fixture.awaitStatus(0, "events", 200);
		assertThat(old.arrivals().get(0).headers()).containsEntry("x-expect-version", "2");
	}

	/** Before the bound presses, engines with the older version still serve. */
	@Test
	public void versionNamedWhileServingBindsLater() throws Exception {
		this.fixture.startBackend("engine-1", "engines", "zone-a",
				(arrival, socket) -> socket.write(BackendStandIn.events(arrival, "s", 0, 1) + "0\r\n\r\n"));
		this.fixture.startEntry();
		this.fixture.awaitStatus(0, "events", 200);
		this.fixture.store().write("op", "version/m0", new JsonObject().put("model", "m0").put("version", 2));
		Thread.sleep(500);
		assertThat(this.fixture.call("events").status()).isEqualTo(200);
		this.fixture.awaitStatus(0, "events", 503);
	}

	private String directory(int entry) {
		try {
			return this.fixture
				.get(this.fixture.settings(entry).getDirectory(), CallerStandIn.directoryPath("region-a", "zone-a"))
				.body();
		}
		catch (Exception ex) {
			return "";
		}
	}

}
