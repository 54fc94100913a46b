package org.wigeontally.gateway;

import java.util.List;

import io.vertx.core.json.JsonObject;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import org.wigeontally.platform.standin.FakeBackend;
import org.wigeontally.platform.standin.FakeConfiguration;
import org.wigeontally.platform.standin.FakeStore;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Entries while the store comes back from an older copy of its data: the records that it
 * lost are written again later, at offsets that other records had before.
 */
public class StoreRestoreTests {

	/** Time after which a restored store's content is adopted, with margin. */
	private static final long SETTLED_MS = 5_500;

	private GatewayFixture fixture;

	@BeforeMethod
	public void start() throws Exception {
		this.fixture = new GatewayFixture();
		this.fixture.store().setEra("1");
		this.fixture.writeConfiguration();
	}

	@AfterMethod(alwaysRun = true)
	public void stop() throws Exception {
		this.fixture.close();
	}

	private void restore(String topic, int lostRecords, String era) {
		this.fixture.store().setMode(FakeStore.Mode.CLOSING_CONNECTIONS);
		this.fixture.store().loseRecords(topic, lostRecords);
		this.fixture.store().setEra(era);
		this.fixture.store().setMode(FakeStore.Mode.SERVING);
	}

	/**
	 * The lost records stay in force until they are written again, and a configuration
	 * whose offset is lower than that of an older one takes effect. The test fails if
	 * records are ordered by offset alone.
	 */
	@Test
	public void configurationAtLowerOffsetTakesEffectAndNoneIsTakenBack() throws Exception {
		this.fixture.startBackend("desk-1", "desk", "zone-a", GatewayFixture.respondWithSuccess("ok"));
		this.fixture.startEntry();
		this.fixture.awaitStatus(0, "plain", 200);
		this.fixture.store().write("op", "evacuate/zone-x", new JsonObject());
		this.fixture.store().write("op", "evacuate/zone-x", null);
		this.fixture.writeConfiguration("plain");
		this.fixture.awaitStatus(0, "plain", 404);
		restore("op", 3, "2");
		for (int i = 0; i < 20; i++) {
			assertThat(this.fixture.call("plain").status()).isEqualTo(404);
			Thread.sleep(30);
		}
		this.fixture.writeConfiguration("once");
		this.fixture.awaitStatus(0, "plain", 200);
		assertThat(this.fixture.call("once").status()).isEqualTo(404);
	}

	/** An evacuation that the store lost stays in force; so does the end of one. */
	@Test
	public void lostEvacuationsStayInForceUntilWrittenAgain() throws Exception {
		this.fixture.startBackend("desk-1", "desk", "zone-a", GatewayFixture.respondWithSuccess("a"));
		this.fixture.startBackend("desk-2", "desk", "zone-b", GatewayFixture.respondWithSuccess("b"));
		this.fixture.store().write("op", "evacuate/zone-b", new JsonObject());
		this.fixture.startEntry();
		this.fixture.awaitStatus(0, "plain", 200);
		this.fixture.store().write("op", "evacuate/zone-a", new JsonObject());
		this.fixture.store().write("op", "evacuate/zone-b", null);
		GatewayFixture.awaitTrue(() -> bodyOfCall().equals("b"));
		restore("op", 2, "2");
		for (int i = 0; i < 20; i++) {
			assertThat(bodyOfCall()).isEqualTo("b");
			Thread.sleep(30);
		}
		// Only the evacuation of zone-a is written again; for zone-b the store is right
		// after the grace period.
		this.fixture.store().write("op", "evacuate/zone-a", new JsonObject());
		GatewayFixture.awaitTrue(() -> bodyOfCall().isEmpty());
	}

	private String bodyOfCall() {
		try {
			var response = this.fixture.call("plain");
			return (response.status() == 200) ? response.body() : "";
		}
		catch (Exception ex) {
			return ex.toString();
		}
	}

	/**
	 * A backend server registers and another one leaves just before the store comes back
	 * without both records.
	 */
	@Test
	public void registrationsAreNeitherLostNorRevived() throws Exception {
		FakeBackend left = this.fixture.startBackend("desk-1", "desk", "zone-a",
				GatewayFixture.respondWithSuccess("left"));
		this.fixture.startEntry();
		this.fixture.awaitStatus(0, "plain", 200);
		this.fixture.startBackend("desk-2", "desk", "zone-a", GatewayFixture.respondWithSuccess("new"));
		this.fixture.store().write("servers", "desk-1", null);
		GatewayFixture.awaitTrue(() -> bodyOfCall().equals("new"));
		restore("servers", 2, "2");
		int arrivals = left.receivedRequests().size();
		long endMs = System.currentTimeMillis() + 1_500;
		while (System.currentTimeMillis() < endMs) {
			assertThat(bodyOfCall()).isEqualTo("new");
			Thread.sleep(30);
		}
		this.fixture.startBackend("desk-3", "desk", "zone-a", GatewayFixture.respondWithSuccess("new"));
		Thread.sleep(SETTLED_MS);
		assertThat(bodyOfCall()).isEqualTo("new");
		assertThat(left.receivedRequests()).hasSize(arrivals);
	}

	/** The store loses records twice before the first loss is made up for. */
	@Test
	public void twoRestoresInARowTakeNothingBack() throws Exception {
		this.fixture.startBackend("desk-1", "desk", "zone-a", GatewayFixture.respondWithSuccess("ok"));
		this.fixture.startEntry();
		this.fixture.awaitStatus(0, "plain", 200);
		this.fixture.store().write("op", "evacuate/zone-x", new JsonObject());
		this.fixture.writeConfiguration("plain");
		this.fixture.awaitStatus(0, "plain", 404);
		restore("op", 1, "2");
		Thread.sleep(300);
		restore("op", 1, "3");
		for (int i = 0; i < 10; i++) {
			assertThat(this.fixture.call("plain").status()).isEqualTo(404);
			Thread.sleep(30);
		}
		this.fixture.writeConfiguration();
		this.fixture.awaitStatus(0, "plain", 200);
	}

	/**
	 * An entry that starts right after the restore reads the older configuration and must
	 * receive the newer one from the other entry.
	 */
	@Test
	public void entryThatStartsAfterTheRestoreReceivesTheLostConfiguration() throws Exception {
		startAfterRestore(() -> this.fixture.writeConfiguration("plain"));
	}

	/** The same with a configuration that is sent in parts. */
	@Test
	public void entryThatStartsAfterTheRestoreReceivesTheLargeLostConfiguration() throws Exception {
		startAfterRestore(() -> this.fixture.store()
			.write("op", "config", FakeConfiguration.create(50, List.of("plain")).put("note", "x".repeat(40_000))));
	}

	private void startAfterRestore(Runnable writeLostConfiguration) throws Exception {
		this.fixture.startBackend("desk-1", "desk", "zone-a", GatewayFixture.respondWithSuccess("ok"));
		this.fixture.startEntry();
		this.fixture.awaitStatus(0, "plain", 200);
		writeLostConfiguration.run();
		this.fixture.awaitStatus(0, "plain", 404);
		restore("op", 1, "2");
		this.fixture.startEntry();
		this.fixture.awaitStatus(1, "plain", 404);
		assertThat(this.fixture.call("plain").status()).isEqualTo(404);
	}

	/** Eras that cannot be read, are missing or go back do not stop the reading. */
	@Test
	public void unusableErasDoNotStopTheReading() throws Exception {
		this.fixture.startBackend("desk-1", "desk", "zone-a", GatewayFixture.respondWithSuccess("ok"));
		this.fixture.startEntry();
		this.fixture.awaitStatus(0, "plain", 200);
		for (String era : new String[] { "0", "-7", "99999999999999999999", "soon", null }) {
			this.fixture.store().setEra(era);
			this.fixture.writeConfiguration("plain");
			this.fixture.awaitStatus(0, "plain", 404);
			this.fixture.writeConfiguration();
			this.fixture.awaitStatus(0, "plain", 200);
		}
	}

}
