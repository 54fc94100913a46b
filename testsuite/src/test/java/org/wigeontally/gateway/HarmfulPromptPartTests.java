package org.wigeontally.gateway;

import java.util.ArrayList;
import java.util.List;

import io.vertx.core.buffer.Buffer;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import org.wigeontally.platform.standin.FakeBackend;
import org.wigeontally.platform.standin.FakeStore;
import org.wigeontally.platform.standin.TestCaller;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Requests that differ from each other but share a part of their prompts that crashes
 * engines, through running entries.
 */
public class HarmfulPromptPartTests {

	private static final String HARMFUL_PART = "bad0";

	private static final int ENTRIES = 3;

	private static final int ENGINES = 24;

	private GatewayFixture fixture;

	private final List<FakeBackend> engines = new ArrayList<>();

	@BeforeMethod
	public void start() throws Exception {
		this.engines.clear();
		this.fixture = new GatewayFixture();
		this.fixture.writeConfiguration();
	}

	@AfterMethod(alwaysRun = true)
	public void stop() throws Exception {
		this.fixture.close();
	}

	@DataProvider
	public Object[][] crashes() {
		return new Object[][] { { EngineCrash.BEFORE_THE_HEAD }, { EngineCrash.WITHIN_THE_FIRST_EVENT },
				{ EngineCrash.AFTER_AN_UNFRAMED_HEAD }, { EngineCrash.WITHIN_THE_FIRST_UNFRAMED_EVENT } };
	}

	/**
	 * Fewer than five engines may crash. Sound requests of the same caller with the same
	 * first part are served all the while.
	 */
	@Test(dataProvider = "crashes")
	public void requestsSharingAPartThatCrashesEnginesAreStopped(EngineCrash crash) throws Exception {
		startEngines(crash);
		startEntries();
		assertThat(sendHarmfulAndSound(12)).isEqualTo(12);
		assertThat(crashedEngines()).isLessThan(5);
	}

	/**
	 * All entries lose power after the part was found, and the store is away when they
	 * start again.
	 */
	@Test
	public void harmfulPartIsRememberedAfterAllEntriesHaveStartedAgain() throws Exception {
		startEngines(EngineCrash.WITHIN_THE_FIRST_EVENT);
		startEntries();
		sendHarmfulAndSound(6);
		long crashed = crashedEngines();
		GatewayFixture.awaitTrue(() -> this.fixture.store().value("harmful-parts", "engines/" + HARMFUL_PART) != null);
		this.fixture.stopEntries();
		this.fixture.store().setMode(FakeStore.Mode.UNAVAILABLE);
		this.fixture.startEntry();
		Thread.sleep(500);
		this.fixture.store().setMode(FakeStore.Mode.SERVING);
		this.fixture.awaitStatus(0, "events", 200);
		GatewayFixture.awaitTrue(() -> isListed(0));
		for (int i = 0; i < 4; i++) {
			assertThat(harmfulStatus(0, i)).isEqualTo(503);
		}
		assertThat(crashedEngines()).isEqualTo(crashed);
	}

	/** An operator allows the part at one entry; others follow. */
	@Test
	public void operatorListsAndLiftsHarmfulParts() throws Exception {
		startEngines(EngineCrash.BEFORE_THE_HEAD);
		startEntries();
		sendHarmfulAndSound(6);
		assertThat(isListed(2)).isTrue();
		assertThat(harmfulStatus(2, 0)).isEqualTo(503);
		this.engines.forEach((engine) -> engine.setBehaviour((arrival, socket) -> socket
			.write(Buffer.buffer(FakeBackend.partialEventStream(arrival, "s", 0, 4) + "0\r\n\r\n"))));
		assertThat(lift(1, "engines/unknown")).isEqualTo(404);
		assertThat(lift(1, "engines/" + HARMFUL_PART)).isEqualTo(204);
		GatewayFixture.awaitTrue(() -> !isListed(2));
		assertThat(harmfulStatus(2, 1)).isEqualTo(200);
		GatewayFixture.awaitTrue(() -> this.fixture.store().value("harmful-parts", "engines/" + HARMFUL_PART) == null);
	}

	/**
	 * The engine's host no longer takes connections, as behind a cut link, and the one
	 * that a request has is closed.
	 */
	@Test
	public void unreachableHostIsNoCrash() throws Exception {
		try (UnreachableBackend backend = new UnreachableBackend()) {
			this.fixture.store().write("servers", "far-1", backend.registration("engines"));
			this.fixture.startEntry();
			GatewayFixture.awaitTrue(() -> {
				this.fixture.sendWithParts(0, "events", "waits", "aa01:40,77:200,1:90");
				return backend.hasRequest();
			});
			backend.closeAfterFillingBacklog();
			GatewayFixture.awaitTrue(() -> metrics().contains("outcome=\"may-have-run\""));
			Thread.sleep(1_500);
			assertThat(metrics()).doesNotContain("wigeontally_backend_crashes_total{");
		}
	}

	private String metrics() {
		try {
			return this.fixture.get(this.fixture.metricsAddress(0), "/metrics").body();
		}
		catch (Exception ex) {
			return "";
		}
	}

	private boolean isListed(int entry) {
		try {
			return this.fixture.get(this.fixture.metricsAddress(entry), "/harmful-parts").body().contains(HARMFUL_PART);
		}
		catch (Exception ex) {
			return false;
		}
	}

	private int lift(int entry, String part) throws Exception {
		return this.fixture.delete(this.fixture.metricsAddress(entry), "/harmful-parts/" + part);
	}

	private int harmfulStatus(int entry, int number) throws Exception {
		return this.fixture
			.callWithParts(entry, "events", "again-" + number, "aa01:40," + HARMFUL_PART + ":200,ff" + number + ":90")
			.status();
	}

	private void startEngines(EngineCrash crash) throws Exception {
		for (int i = 0; i < ENGINES; i++) {
			int number = i;
			this.engines.add(this.fixture.startBackend("engine-" + i, "engines", "zone-a", (arrival, socket) -> {
				if (isHarmful(arrival)) {
					crash.strike(this.engines.get(number), arrival, socket);
					return;
				}
				socket.write(Buffer.buffer(FakeBackend.partialEventStream(arrival, "s", 0, 4) + "0\r\n\r\n"));
			}));
		}
	}

	private void startEntries() throws Exception {
		for (int i = 0; i < ENTRIES; i++) {
			this.fixture.startEntry();
		}
		for (int i = 0; i < ENTRIES; i++) {
			this.fixture.awaitStatus(i, "events", 200);
		}
		Thread.sleep(1_200);
	}

	private int sendHarmfulAndSound(int count) throws Exception {
		int served = 0;
		for (int i = 0; i < count; i++) {
			sendHarmful(i);
			served += isServed(i) ? 1 : 0;
			Thread.sleep(100);
		}
		return served;
	}

	private void sendHarmful(int number) {
		try {
			this.fixture.callWithParts(number % ENTRIES, "events", "harmful-" + number,
					"aa01:40," + HARMFUL_PART + ":200," + Integer.toHexString(number) + ":90");
		}
		catch (Exception ex) {
			// The entry may close the connection if the outcome is unknown.
		}
	}

	private boolean isServed(int number) throws Exception {
		TestCaller.Response response = this.fixture.callWithParts((number + 1) % ENTRIES, "events", "sound-" + number,
				"aa01:40,50d:200," + Integer.toHexString(number) + ":90");
		return response.status() == 200 && response.body().endsWith("data: e3\n\n");
	}

	private long crashedEngines() {
		return this.engines.stream()
			.filter((engine) -> engine.receivedRequests().stream().anyMatch(HarmfulPromptPartTests::isHarmful))
			.count();
	}

	private static boolean isHarmful(FakeBackend.ReceivedRequest arrival) {
		return arrival.headers().getOrDefault("x-prompt-prefix", "").contains("," + HARMFUL_PART + ":");
	}

}
