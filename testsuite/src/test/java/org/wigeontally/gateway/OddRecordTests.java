package org.wigeontally.gateway;

import java.util.List;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import io.vertx.core.Promise;
import io.vertx.core.json.JsonObject;
import org.slf4j.LoggerFactory;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import org.wigeontally.eventlog.EventLog;
import org.wigeontally.fleet.CompactedTopic;
import org.wigeontally.misc.Clock;
import org.wigeontally.platform.standin.FakeBackend;
import org.wigeontally.platform.standin.TestCaller;
import org.wigeontally.platform.wire.StoreClient;
import org.wigeontally.platform.wire.StoreTopic;
import org.wigeontally.schema.generated.Address;
import org.wigeontally.schema.generated.BackendLoss;
import org.wigeontally.schema.generated.HarmfulPartRecord;
import org.wigeontally.schema.generated.HostSettings;
import org.wigeontally.schema.generated.LossTrial;
import org.wigeontally.schema.generated.SuspectContent;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Entries whose store holds a record of another writer that no entry can use. The event
 * loops have the stack of the deployed processes.
 */
public class OddRecordTests {

	/** Overflows the stack of an event loop, and is less than what the parser permits. */
	private static final String DEEP = "[".repeat(900) + "]".repeat(900);

	private static final int MAX_LINE_LENGTH = 1_000;

	private GatewayFixture fixture;

	private final ListAppender<ILoggingEvent> appender = new ListAppender<>();

	@BeforeMethod
	public void start() throws Exception {
		this.fixture = new GatewayFixture(SmallStackVertx.create());
		this.fixture.writeConfiguration();
		this.appender.list.clear();
		this.appender.start();
		((Logger) LoggerFactory.getLogger("wigeontally")).addAppender(this.appender);
	}

	@AfterMethod(alwaysRun = true)
	public void stop() throws Exception {
		((Logger) LoggerFactory.getLogger("wigeontally")).detachAppender(this.appender);
		this.fixture.close();
	}

	@DataProvider
	public Object[][] oddRegistrations() {
		JsonObject valid = FakeBackend.registration(9, "desk", "zone-a", "ready", 1);
		String slots = valid.copy().put("slots", 99_999_999_999L).encode();
		return new Object[][] { { new OddContent("deep", valid.encode().replace("\"seq\":1", "\"seq\":" + DEEP)) },
				{ new OddContent("large number", slots) },
				{ new OddContent("port 0", valid.copy().put("address", "127.0.0.1:0").encode()) },
				{ new OddContent("port 70000", valid.copy().put("address", "127.0.0.1:70000").encode()) },
				{ new OddContent("long value", valid.copy().put("state", "x".repeat(100_000)).encode()) } };
	}

	/**
	 * The odd registration arrives by long polling, then in a snapshot after a restart,
	 * and from another entry.
	 */
	@Test(dataProvider = "oddRegistrations")
	public void oddRegistrationNamesNoBackendAndOthersAreStillFollowed(OddContent odd) throws Exception {
		this.fixture.startBackend("desk-1", "desk", "zone-a", GatewayFixture.respondWithSuccess("first"));
		this.fixture.startEntry();
		awaitBody(0, "first");
		this.fixture.store().writeText("servers", "desk-0", odd.text());
		replaceBackend("desk-1", "desk-2", "second");
		awaitBody(0, "second");
		// It does not read the store, so it gets the odd registration from the first one.
		this.fixture.startEntry();
		awaitBody(1, "second");
		replaceBackend("desk-2", "desk-3", "third");
		awaitBody(0, "third");
		awaitBody(1, "third");
		this.fixture.stopEntries();
		this.fixture.startEntry();
		awaitBody(0, "third");
		replaceBackend("desk-3", "desk-4", "fourth");
		awaitBody(0, "fourth");
		for (String host : List.of("entry-0", "entry-1")) {
			assertThat(messages("event=record-unreadable host=" + host)).as(odd + " at " + host)
				.isNotEmpty()
				.allMatch((line) -> line.contains("desk-0") && line.length() < MAX_LINE_LENGTH);
		}
		assertThat(messages("event=backend host=")).noneMatch((line) -> line.contains("backend=desk-0"));
	}

	/** A writer that writes the same odd registration each second is reported once. */
	@Test
	public void oddRegistrationThatIsWrittenAgainIsLoggedOnce() throws Exception {
		this.fixture.startBackend("desk-1", "desk", "zone-a", GatewayFixture.respondWithSuccess("first"));
		this.fixture.startEntry();
		awaitBody(0, "first");
		for (int i = 0; i < 5; i++) {
			this.fixture.store().writeText("servers", "desk-0", "{\"seq\":" + i + "}");
			Thread.sleep(100);
		}
		replaceBackend("desk-1", "desk-2", "second");
		awaitBody(0, "second");
		assertThat(messages("event=record-unreadable")).hasSize(1);
	}

	@DataProvider
	public Object[][] oddOperatorRecords() {
		return new Object[][] { { "config", new OddContent("deep", "{\"version\":99,\"extra\":" + DEEP + "}") },
				{ "config", new OddContent("infinite", "{\"version\":1e400}") },
				{ "version/m0", new OddContent("deep", "{\"version\":2,\"extra\":" + DEEP + "}") },
				{ "version/m0", new OddContent("null", "{\"version\":null}") },
				{ "version/m1", new OddContent("large", "{\"version\":123456789012345678901234567890}") } };
	}

	@Test(dataProvider = "oddOperatorRecords")
	public void configurationsAfterAnOddOperatorRecordTakeEffect(String key, OddContent odd) throws Exception {
		this.fixture.startBackend("desk-1", "desk", "zone-a", GatewayFixture.respondWithSuccess("ok"));
		this.fixture.startEntry();
		this.fixture.startEntry();
		this.fixture.awaitStatus(0, "plain", 200);
		this.fixture.awaitStatus(1, "plain", 200);
		this.fixture.store().writeText("op", key, odd.text());
		Thread.sleep(100);
		this.fixture.writeConfiguration("plain");
		this.fixture.awaitStatus(0, "plain", 404);
		this.fixture.awaitStatus(1, "plain", 404);
		assertThat(messages("event=record-unreadable host=entry-0")).hasSize(1);
	}

	/** What the first of several changed records throws. */
	@Test
	public void faultInOneRecordDoesNotHideTheOthersOfItsRead() {
		EventLog log = EventLog.create(Clock.system(), "entry");
		FleetState fleet = new FleetState(HostSettings.getDefaultInstance(), this.fixture.vertx().createNetClient(),
				Clock.system(), log);
		byte[] registration = FakeBackend.registration(9, "desk", "zone-a", "ready", 1).toBuffer().getBytes();
		fleet.backendRecords()
			.applyUpdate(0, List.of(new CompactedTopic.TopicRecord("desk-1", 0, registration, false)), 1);
		fleet.operatorRecords()
			.applyUpdate(0, List.of(new CompactedTopic.TopicRecord("evacuate/zone-a", 0, new byte[] { 1 }, false)), 1);
		fleet.applyBackendRecords(List.of("unknown", "desk-1"), "store", 0);
		fleet.applyOperatorRecords(List.of("unknown", "evacuate/zone-a"), "store", 0);
		assertThat(fleet.backends()).extracting((backend) -> backend.record().id()).containsExactly("desk-1");
		assertThat(fleet.isZoneEvacuated("zone-a")).isTrue();
		assertThat(messages("event=fault")).hasSize(2);
	}

	/** The addresses of entries are read in the order of their keys. */
	@Test
	public void entriesFindEachOtherBesideAnOddEntryRecord() throws Exception {
		for (int i = 0; i < 20; i++) {
			this.fixture.store().writeText("status", "a" + i, "{\"control\":" + DEEP + "}");
			this.fixture.store().writeText("status", "b" + i, "{\"control\":\"127.0.0.1:0\"}");
		}
		this.fixture.startBackend("desk-1", "desk", "zone-a", GatewayFixture.respondWithSuccess("ok"));
		this.fixture.startEntry();
		GatewayFixture.awaitTrue(() -> this.fixture.store().value("status", "entry-0") != null);
		this.fixture.startEntryWithoutSeeds();
		GatewayFixture.awaitTrue(() -> !messages("event=peer host=entry-1 entry=entry-0").isEmpty());
	}

	/** Each odd record would make an entry refuse requests with the part for minutes. */
	@Test
	public void oddRecordsOfHarmfulPartsRefuseNoRequests() throws Exception {
		long nowMs = System.currentTimeMillis();
		writeHarmfulPart("engines/a1", "a1", nowMs - 1_000, Long.MAX_VALUE);
		writeHarmfulPart("engines/a2", "a2", nowMs, -1);
		writeHarmfulPart("engines/a3", "a3", Long.MAX_VALUE, 0);
		writeHarmfulPart("engines/a4", "a4", Long.MIN_VALUE, 0);
		writeHarmfulPart("engines/a5", "other", nowMs, 0);
		writeHarmfulPart("engines/sound", "sound", nowMs - 1_000, 5_000);
		this.fixture.startEntry();
		GatewayFixture.awaitTrue(() -> harmfulParts().contains("sound"));
		assertThat(harmfulParts()).doesNotContain("a1", "a2", "a3", "a4", "other");
		assertThat(messages("event=record-unreadable")).hasSize(5);
	}

	private String harmfulParts() {
		try {
			return this.fixture.get(this.fixture.metricsAddress(0), "/harmful-parts").body();
		}
		catch (Exception ex) {
			return "";
		}
	}

	private void writeHarmfulPart(String key, String part, long writtenAtMs, long ageMs) throws Exception {
		SuspectContent.Builder content = SuspectContent.newBuilder().setService("engines").setPartId(part);
		for (int i = 0; i < 3; i++) {
			content.addLosses(BackendLoss.newBuilder()
				.setId(part + "-" + i)
				.setAgeMs(ageMs)
				.setTrial(LossTrial.LOSS_TRIAL_ALONE));
		}
		byte[] value = HarmfulPartRecord.newBuilder()
			.setContent(content)
			.setWrittenAtMs(writtenAtMs)
			.build()
			.toByteArray();
		Address store = Address.newBuilder().setIp("127.0.0.1").setPort(this.fixture.store().port()).build();
		// A response can end before its reader is set if the call comes from no event
		// loop.
		Promise<Void> written = Promise.promise();
		this.fixture.vertx()
			.getOrCreateContext()
			.runOnContext((v) -> StoreClient.create(this.fixture.vertx(), store)
				.write(StoreTopic.HARMFUL_PARTS, key, value)
				.onComplete(written));
		GatewayFixture.await(written.future());
	}

	private void replaceBackend(String oldId, String newId, String body) throws Exception {
		this.fixture.startBackend(newId, "desk", "zone-a", GatewayFixture.respondWithSuccess(body));
		this.fixture.store().write("servers", oldId, null);
	}

	private void awaitBody(int entry, String body) throws InterruptedException {
		GatewayFixture.awaitTrue(() -> {
			try {
				TestCaller.Response response = this.fixture.call(entry, "plain", "id-" + System.nanoTime(),
						GatewayFixture.API_KEY, "");
				return response.status() == 200 && response.body().equals(body);
			}
			catch (Exception ex) {
				return false;
			}
		});
	}

	private List<String> messages(String start) {
		return List.copyOf(this.appender.list)
			.stream()
			.map(ILoggingEvent::getFormattedMessage)
			.filter((line) -> line.startsWith(start))
			.toList();
	}

	private record OddContent(String kind, String text) {

		@Override
		public String toString() {
			return this.kind;
		}

	}

}
