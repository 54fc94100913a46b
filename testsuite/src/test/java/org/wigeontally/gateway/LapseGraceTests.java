package org.wigeontally.gateway;

import java.util.List;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import org.wigeontally.eventlog.EventLog;
import org.wigeontally.fleet.CompactedTopic.TopicRecord;
import org.wigeontally.fleet.LapseGrace;
import org.wigeontally.fleet.StoreKnowledge;
import org.wigeontally.misc.Clock;
import org.wigeontally.platform.standin.FakeBackend;
import org.wigeontally.schema.generated.HostSettings;

import static org.assertj.core.api.Assertions.assertThat;

public class LapseGraceTests {

	private static final String ID = "desk-1";

	private static final long RETURNED_AT_MS = 100_000;

	private static final long ENDS_AT_MS = RETURNED_AT_MS + LapseGrace.LENGTH_MS;

	private static final long HEARTBEAT_MS = 1_400;

	private final VirtualClock clock = new VirtualClock();

	private FleetState first;

	private FleetState second;

	@BeforeMethod
	public void create() {
		this.clock.nowMs = RETURNED_AT_MS;
		this.first = fleet();
		this.second = fleet();
	}

	private FleetState fleet() {
		FleetState fleet = new FleetState(HostSettings.getDefaultInstance(), null, this.clock,
				EventLog.create(this.clock, "entry"));
		byte[] registration = FakeBackend.registration(9, "desk", "zone-a", "ready", 1).toBuffer().getBytes();
		apply(fleet, new TopicRecord(ID, 1, registration, false));
		return fleet;
	}

	private static void apply(FleetState fleet, TopicRecord topicRecord) {
		fleet.applyBackendRecords(fleet.backendRecords().applySingleRecords(List.of(topicRecord)), "store");
	}

	@DataProvider
	public Object[][] delays() {
		return new Object[][] { { 0, 5 }, { 40, 40 }, { 5, 700 }, { 700, 5 }, { 900, 1_200 } };
	}

	/** The delays are those of the question and of the reply, with pauses. */
	@Test(dataProvider = "delays")
	public void graceThatEntriesTellEachOtherEndsOnTime(int questionMs, int replyMs) {
		this.first.storeReturned(RETURNED_AT_MS);
		FleetState teller = this.first;
		FleetState asker = this.second;
		while (this.clock.nowMs < ENDS_AT_MS) {
			long askedAtMs = this.clock.nowMs;
			this.clock.nowMs += questionMs;
			long restMs = teller.remainingLapseGraceMs();
			this.clock.nowMs += replyMs;
			asker.lapseGraceTold(restMs, askedAtMs, StoreKnowledge.startedAt(askedAtMs));
			apply(asker, new TopicRecord(ID, 2, new byte[0], true));
			FleetState next = teller;
			teller = asker;
			asker = next;
		}
		for (FleetState fleet : List.of(this.first, this.second)) {
			assertThat(fleet.remainingLapseGraceMs()).isZero();
			fleet.removeLapsedBackends();
			assertThat(fleet.backends()).isEmpty();
		}
	}

	@Test
	public void lapsedRegistrationIsKeptUntilTheGraceEnds() {
		this.first.storeReturned(RETURNED_AT_MS);
		this.clock.nowMs += 50;
		this.second.lapseGraceTold(this.first.remainingLapseGraceMs(), this.clock.nowMs,
				StoreKnowledge.startedAt(RETURNED_AT_MS));
		List<FleetState> fleets = List.of(this.first, this.second);
		fleets.forEach((fleet) -> apply(fleet, new TopicRecord(ID, 2, new byte[0], true)));
		this.clock.nowMs = ENDS_AT_MS - 1;
		fleets.forEach(FleetState::removeLapsedBackends);
		assertThat(fleets).allMatch((fleet) -> fleet.backends().iterator().hasNext());
		this.clock.nowMs = ENDS_AT_MS;
		fleets.forEach(FleetState::removeLapsedBackends);
		assertThat(fleets).noneMatch((fleet) -> fleet.backends().iterator().hasNext());
	}

	@DataProvider
	public Object[][] heldBackMs() {
		return new Object[][] { { 900 }, { 2_100 } };
	}

	/**
	 * Guards against removals before live backend servers could write their next
	 * heartbeat.
	 */
	@Test(dataProvider = "heldBackMs")
	public void lapsedRegistrationIsKeptAfterAnAnswerThatTheStoreHeldBack(long heldBackMs) {
		this.clock.nowMs += heldBackMs;
		this.first.storeReturned(RETURNED_AT_MS);
		apply(this.first, new TopicRecord(ID, 2, new byte[0], true));
		this.clock.nowMs += HEARTBEAT_MS;
		this.first.removeLapsedBackends();
		assertThat(this.first.backends()).isNotEmpty();
	}

	@DataProvider
	public Object[][] gaps() {
		return new Object[][] { { 700, 0 }, { 2_500, 2_000 } };
	}

	/** An entry whose records were never older than registrations hold saw no outage. */
	@Test(dataProvider = "gaps")
	public void graceOfAnEntryThatWasCutOffAloneIsNotTakenOver(int gapMs, int keptMs) {
		StoreKnowledge knowledge = StoreKnowledge.startedAt(RETURNED_AT_MS - 20_000);
		for (long asOfMs = RETURNED_AT_MS - 20_000; asOfMs <= RETURNED_AT_MS; asOfMs += gapMs) {
			knowledge = knowledge.knownAsOf(asOfMs);
		}
		this.first.lapseGraceTold(2_000, RETURNED_AT_MS, knowledge);
		assertThat(this.first.remainingLapseGraceMs()).isEqualTo(keptMs);
	}

	private static final class VirtualClock implements Clock {

		private long nowMs;

		@Override
		public long monotonicMs() {
			return this.nowMs;
		}

		@Override
		public long wallMs() {
			return this.nowMs;
		}

	}

}
