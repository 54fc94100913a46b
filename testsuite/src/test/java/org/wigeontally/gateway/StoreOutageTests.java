package org.wigeontally.gateway;

import java.util.List;

import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import org.wigeontally.platform.standin.FakeBackend;
import org.wigeontally.platform.standin.FakeConfiguration;
import org.wigeontally.platform.standin.FakeStore;
import org.wigeontally.schema.generated.HostBounds;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Two entries, each with a store of its own that holds the same records, so that the
 * store can be away for one of them. They meet when the test tells them of each other.
 */
public class StoreOutageTests {

	private static final int DRAIN_MS = 3_000;

	/** Longer than registrations hold without being renewed. */
	private static final long OUTAGE_MS = 4_000;

	/** Longest pause between two calls to a store that refuses them, and a call. */
	private static final long RETURN_MS = 650;

	/**
	 * From 4 s after an entry is connected again it is bound by what was acknowledged.
	 * Reaching the store takes 2.1 s of them, if a call hung at the end.
	 */
	private static final long REACTION_MS = 1_900;

	/** Heartbeat interval of backend servers and the way of their registration. */
	private static final long RENEWAL_MS = 1_400;

	private static final int REQUESTS = 20;

	private GatewayFixture fixture;

	private List<FakeStore> stores;

	private FakeBackend backend;

	@BeforeMethod
	public void start() throws Exception {
		this.fixture = new GatewayFixture();
		this.stores = List.of(this.fixture.store(), GatewayFixture.await(FakeStore.start(this.fixture.vertx())));
		this.stores.forEach((store) -> store.write("op", "config", FakeConfiguration.create(1, List.of())));
		this.backend = GatewayFixture
			.await(FakeBackend.start(this.fixture.vertx(), "desk-1", GatewayFixture.respondWithSuccess("ok")));
		register("ready");
		for (FakeStore store : this.stores) {
			this.fixture.startEntryWithStore(store, HostBounds.newBuilder().setDrainMs(DRAIN_MS).build());
		}
		this.fixture.awaitStatus(0, "plain", 200);
		this.fixture.awaitStatus(1, "plain", 200);
	}

	@AfterMethod(alwaysRun = true)
	public void stop() throws Exception {
		this.fixture.close();
	}

	private void register(String state) {
		this.stores.forEach(
				(store) -> store.write("servers", "desk-1", this.backend.registration("desk", "zone-a", state, 1)));
	}

	private void deregister() {
		this.stores.forEach((store) -> store.write("servers", "desk-1", null));
	}

	private void meet() {
		this.fixture.addEntryAddress(1, this.fixture.settings(0).getControl());
	}

	private long arrivalsOfRequests(int entry) throws Exception {
		int before = this.backend.receivedRequests().size();
		for (int i = 0; i < REQUESTS; i++) {
			this.fixture.call(entry, "plain", "request-" + entry + "-" + i, GatewayFixture.API_KEY, "body");
		}
		return this.backend.receivedRequests().size() - before;
	}

	/**
	 * The entry reads the store again before it hears from the other one, which has read
	 * it all the time.
	 */
	@Test
	public void serverThatLeftWhileOneEntryWasCutOffGetsNoRequests() throws Exception {
		this.stores.get(1).setMode(FakeStore.Mode.UNAVAILABLE);
		Thread.sleep(OUTAGE_MS / 2);
		register("draining");
		Thread.sleep(OUTAGE_MS / 4);
		deregister();
		Thread.sleep(OUTAGE_MS / 4);
		this.stores.get(1).setMode(FakeStore.Mode.SERVING);
		Thread.sleep(RETURN_MS);
		meet();
		Thread.sleep(REACTION_MS - RETURN_MS);
		assertThat(arrivalsOfRequests(1)).isZero();
	}

	/** Backend servers cannot renew their registrations while the store is away. */
	@Test
	public void serverWhoseRegistrationLapsedInAnOutageForAllStaysInUse() throws Exception {
		meet();
		this.stores.forEach((store) -> store.setMode(FakeStore.Mode.UNAVAILABLE));
		Thread.sleep(OUTAGE_MS);
		deregister();
		this.stores.forEach((store) -> store.setMode(FakeStore.Mode.SERVING));
		Thread.sleep(RENEWAL_MS);
		assertThat(arrivalsOfRequests(0)).isEqualTo(REQUESTS);
		assertThat(arrivalsOfRequests(1)).isEqualTo(REQUESTS);
		register("ready");
		Thread.sleep(REACTION_MS);
		assertThat(arrivalsOfRequests(0)).isEqualTo(REQUESTS);
		assertThat(arrivalsOfRequests(1)).isEqualTo(REQUESTS);
	}

}
