package org.wigeontally.gateway;

import java.util.List;

import io.vertx.core.json.JsonObject;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import org.wigeontally.platform.standin.FakeBackend;
import org.wigeontally.platform.standin.FakeStore;
import org.wigeontally.platform.standin.TestCaller;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * State of entries while the store and other entries become unavailable and return.
 */
public class FleetStateTests {

	/** Time after which a draining or removed backend server must receive no requests. */
	private static final long MAX_DRAIN_DELAY_MS = 2_000;

	private GatewayFixture fixture;

	@BeforeMethod
	public void start() throws Exception {
		this.fixture = new GatewayFixture();
		this.fixture.writeConfiguration();
	}

	@AfterMethod(alwaysRun = true)
	public void stop() throws Exception {
		this.fixture.close();
	}

	@Test
	public void entryWithoutConfigurationIsNotReadyAndRefusesRequests() throws Exception {
		this.fixture.store().setMode(FakeStore.Mode.UNAVAILABLE);
		this.fixture.startEntry();
		assertThat(this.fixture.call("plain").status()).isEqualTo(503);
		assertThat(this.fixture.get(this.fixture.settings(0).getReady(), TestCaller.READINESS_PATH).status())
			.isEqualTo(503);
		this.fixture.store().setMode(FakeStore.Mode.SERVING);
		this.fixture.startBackend("desk-1", "desk", "zone-a", GatewayFixture.respondWithSuccess("ok"));
		this.fixture.awaitStatus(0, "plain", 200);
		assertThat(this.fixture.get(this.fixture.settings(0).getReady(), TestCaller.READINESS_PATH).status())
			.isEqualTo(200);
	}

	@Test
	public void requestsAreServedDuringStoreOutage() throws Exception {
		this.fixture.startBackend("desk-1", "desk", "zone-a", GatewayFixture.respondWithSuccess("ok"));
		this.fixture.startEntry();
		this.fixture.awaitStatus(0, "plain", 200);
		for (FakeStore.Mode mode : FakeStore.Mode.values()) {
			this.fixture.store().setMode(mode);
			Thread.sleep(300);
			assertThat(this.fixture.call("plain").status()).as("store %s", mode).isEqualTo(200);
		}
	}

	/**
	 * An API key is removed right after a store outage. An entry whose calls to the store
	 * still fail then must receive the change from the other entry.
	 */
	@Test
	public void entriesApplyConfigurationWrittenAfterStoreOutage() throws Exception {
		this.fixture.startBackend("desk-1", "desk", "zone-a", GatewayFixture.respondWithSuccess("ok"));
		this.fixture.startEntry();
		this.fixture.startEntry();
		this.fixture.awaitStatus(1, "plain", 200);
		this.fixture.awaitStatus(0, "plain", 200);
		this.fixture.store().setMode(FakeStore.Mode.UNRESPONSIVE);
		Thread.sleep(2_700);
		this.fixture.store().setMode(FakeStore.Mode.SERVING);
		this.fixture.writeConfiguration(GatewayFixture.API_KEY);
		this.fixture.awaitStatus(0, "plain", 401);
		this.fixture.awaitStatus(1, "plain", 401);
	}

	/**
	 * One entry reads the store for all entries of its region. When it ends, a change
	 * still takes effect at the others in time.
	 */
	@Test
	public void oneEntryReadsForItsRegionAndItsEndDelaysNoChange() throws Exception {
		this.fixture.startBackend("desk-1", "desk", "zone-a", GatewayFixture.respondWithSuccess("ok"));
		int entryCount = 4;
		for (int i = 0; i < entryCount; i++) {
			this.fixture.startEntry();
		}
		for (int i = 0; i < entryCount; i++) {
			this.fixture.awaitStatus(i, "plain", 200);
		}
		Thread.sleep(1_500);
		long callsBefore = this.fixture.store().callCount();
		Thread.sleep(3_000);
		// Two topics, polled for 700 ms each, and the addresses of the entries.
		assertThat(this.fixture.store().callCount() - callsBefore).isLessThanOrEqualTo(2 * 5 + 2);
		int reader = 0;
		while (!this.fixture.isStoreReader(reader)) {
			reader++;
		}
		this.fixture.entry(reader).close();
		this.fixture.writeConfiguration("plain");
		long writtenAtMs = System.currentTimeMillis();
		for (int i = 0; i < entryCount; i++) {
			if (i != reader) {
				this.fixture.awaitStatus(i, "plain", 404);
			}
		}
		assertThat(System.currentTimeMillis() - writtenAtMs).isLessThan(MAX_DRAIN_DELAY_MS);
	}

	@Test
	public void olderConfigurationIsNeverRestored() throws Exception {
		this.fixture.startBackend("desk-1", "desk", "zone-a", GatewayFixture.respondWithSuccess("ok"));
		this.fixture.startEntry();
		this.fixture.awaitStatus(0, "plain", 200);
		this.fixture.writeConfiguration("plain");
		this.fixture.awaitStatus(0, "plain", 404);
		this.fixture.store().setSnapshotLag(1);
		this.fixture.store().discardHistory("op");
		this.fixture.store().setMode(FakeStore.Mode.CLOSING_CONNECTIONS);
		Thread.sleep(200);
		this.fixture.store().setMode(FakeStore.Mode.SERVING);
		for (int i = 0; i < 20; i++) {
			assertThat(this.fixture.call("plain").status()).isEqualTo(404);
			Thread.sleep(30);
		}
	}

	@Test
	public void drainingOrRemovedBackendReceivesNoRequests() throws Exception {
		FakeBackend draining = this.fixture.startBackend("desk-1", "desk", "zone-a",
				GatewayFixture.respondWithSuccess("ok"));
		FakeBackend removed = this.fixture.startBackend("desk-2", "desk", "zone-a",
				GatewayFixture.respondWithSuccess("ok"));
		this.fixture.startBackend("desk-3", "desk", "zone-b", GatewayFixture.respondWithSuccess("ok"));
		this.fixture.startEntry();
		this.fixture.awaitStatus(0, "plain", 200);
		this.fixture.store().write("servers", "desk-1", draining.registration("desk", "zone-a", "draining", 0));
		this.fixture.store().write("servers", "desk-2", null);
		Thread.sleep(MAX_DRAIN_DELAY_MS);
		int before = draining.receivedRequests().size() + removed.receivedRequests().size();
		for (int i = 0; i < 20; i++) {
			assertThat(this.fixture.call("plain").status()).isEqualTo(200);
		}
		assertThat(draining.receivedRequests().size() + removed.receivedRequests().size()).isEqualTo(before);
	}

	@Test
	public void evacuatedZoneReceivesNoRequestsUntilRestored() throws Exception {
		FakeBackend evacuated = this.fixture.startBackend("desk-1", "desk", "zone-a",
				GatewayFixture.respondWithSuccess("ok"));
		this.fixture.startBackend("desk-2", "desk", "zone-b", GatewayFixture.respondWithSuccess("ok"));
		this.fixture.startEntry();
		this.fixture.awaitStatus(0, "plain", 200);
		this.fixture.store().write("op", "evacuate/zone-a", new JsonObject());
		Thread.sleep(MAX_DRAIN_DELAY_MS);
		int before = evacuated.receivedRequests().size();
		for (int i = 0; i < 10; i++) {
			assertThat(this.fixture.call("plain").status()).isEqualTo(200);
		}
		assertThat(evacuated.receivedRequests()).hasSize(before);
		this.fixture.store().write("op", "evacuate/zone-a", null);
		GatewayFixture.awaitTrue(() -> {
			try {
				this.fixture.call("plain");
			}
			catch (Exception ex) {
				return false;
			}
			return evacuated.receivedRequests().size() > before;
		});
	}

	/** A request that crashes backend servers is sent to two entries alternately. */
	@Test
	public void harmfulRequestIsRefusedByAllEntries() throws Exception {
		List<FakeBackend> backends = this.fixture.startCrashingBackends(6, "deadly");
		this.fixture.startEntry();
		this.fixture.startEntry();
		this.fixture.awaitStatus(0, "once", 200);
		this.fixture.awaitStatus(1, "once", 200);
		for (int i = 0; i < 8; i++) {
			this.fixture.call(i % 2, "once", "deadly-" + i, GatewayFixture.API_KEY, "deadly");
			Thread.sleep(200);
		}
		assertThat(GatewayFixture.countArrivals(backends, "deadly")).isLessThanOrEqualTo(3);
		assertThat(this.fixture.call("once").status()).isEqualTo(200);
	}

	@Test
	public void malformedRegistrationsAreIgnored() throws Exception {
		this.fixture.store().writeText("servers", "x1", "not json");
		this.fixture.store()
			.writeText("servers", "x2", "{\"service\":\"desk\",\"address\":7,\"zone\":\"a\",\"state\":\"ready\"}");
		this.fixture.store()
			.writeText("servers", "x3",
					"{\"service\":\"desk\",\"address\":\"127.0.0.1:1\",\"zone\":\"zone-a\",\"state\":\"napping\"}");
		this.fixture.startBackend("desk-1", "desk", "zone-a", GatewayFixture.respondWithSuccess("ok"));
		this.fixture.startEntry();
		this.fixture.awaitStatus(0, "plain", 200);
		for (int i = 0; i < 10; i++) {
			assertThat(this.fixture.call("plain").status()).isEqualTo(200);
		}
	}

	/**
	 * Guards against lost requests while an entry drains: other entries drop it from
	 * their directory, and it still answers requests.
	 */
	@Test
	public void drainingEntryIsNotListedAndStillAnswers() throws Exception {
		this.fixture.startBackend("desk-1", "desk", "zone-a", GatewayFixture.respondWithSuccess("ok"));
		this.fixture.startEntry();
		this.fixture.startEntry();
		this.fixture.awaitStatus(0, "plain", 200);
		this.fixture.awaitStatus(1, "plain", 200);
		String drainingAddress = "127.0.0.1:" + this.fixture.settings(1).getFront().getPort();
		GatewayFixture.awaitTrue(() -> directoryAnswer(0).contains(drainingAddress));
		this.fixture.entry(1).drain();
		GatewayFixture.awaitTrue(() -> !directoryAnswer(0).contains(drainingAddress));
		assertThat(directoryAnswer(1)).doesNotContain(drainingAddress);
		assertThat(this.fixture.call(1, "plain", "late", GatewayFixture.API_KEY, "").status()).isEqualTo(200);
	}

	/**
	 * Guards against an entry that treats its own start as the time of an earlier
	 * announcement and therefore serves an outdated version.
	 */
	@Test
	public void versionAnnouncedBeforeStartIsRequiredAtOnce() throws Exception {
		FakeBackend backend = this.fixture.startBackend("engine-1", "engines", "zone-a",
				(arrival, socket) -> socket.write(FakeBackend.partialEventStream(arrival, "s", 0, 1) + "0\r\n\r\n"));
		this.fixture.announceVersion(2);
		this.fixture.startEntry();
		GatewayFixture.awaitTrue(() -> directoryAnswer(0).contains("127.0.0.1"));
		assertThat(this.fixture.call("events").status()).isEqualTo(503);
		assertThat(backend.receivedRequests()).isEmpty();
		this.fixture.store().write("servers", "engine-1", backend.registration("engines", "zone-a", "ready", 2));
		this.fixture.awaitStatus(0, "events", 200);
		assertThat(backend.receivedRequests().get(0).headers()).containsEntry("x-expect-version", "2");
	}

	/** Engines with the older version serve until the version bound has passed. */
	@Test
	public void versionAnnouncedWhileServingIsRequiredLater() throws Exception {
		this.fixture.startBackend("engine-1", "engines", "zone-a",
				(arrival, socket) -> socket.write(FakeBackend.partialEventStream(arrival, "s", 0, 1) + "0\r\n\r\n"));
		this.fixture.startEntry();
		this.fixture.awaitStatus(0, "events", 200);
		this.fixture.announceVersion(2);
		Thread.sleep(500);
		assertThat(this.fixture.call("events").status()).isEqualTo(200);
		this.fixture.awaitStatus(0, "events", 503);
	}

	private String directoryAnswer(int entry) {
		try {
			return this.fixture
				.get(this.fixture.settings(entry).getDirectory(), TestCaller.directoryQueryUri("region-a", "zone-a"))
				.body();
		}
		catch (Exception ex) {
			return "";
		}
	}

}
