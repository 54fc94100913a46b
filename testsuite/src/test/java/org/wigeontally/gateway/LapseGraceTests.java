package org.wigeontally.gateway;

import java.util.List;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import org.wigeontally.eventlog.EventLog;
import org.wigeontally.fleet.CompactedTopic.TopicRecord;
import org.wigeontally.fleet.LapseGrace;
import org.wigeontally.fleet.StoreKnowledge;
import org.wigeontally.misc.ManualClock;
import org.wigeontally.platform.standin.FakeBackend;
import org.wigeontally.schema.generated.HostBounds;
import org.wigeontally.schema.generated.HostSettings;

import static org.assertj.core.api.Assertions.assertThat;

public class LapseGraceTests {

	private static final String ID = "desk-1";

	private static final long RETURNED_AT_MS = 100_000;

	private static final long ENDS_AT_MS = RETURNED_AT_MS + LapseGrace.LENGTH_MS;

	private static final long HEARTBEAT_MS = 1_400;

	/** A long poll of the store and its timeout. */
	private static final long MAX_CALL_MS = 2_200;

	private ManualClock clock;

	private FleetState first;

	private FleetState second;

	@BeforeMethod
	public void create() {
		this.clock = ManualClock.startingAt(RETURNED_AT_MS);
		this.first = fleet();
		this.second = fleet();
	}

	private FleetState fleet() {
		return fleet(HostSettings.getDefaultInstance());
	}

	private FleetState fleetWithDrainBound(int drainMs) {
		return fleet(HostSettings.newBuilder().setBounds(HostBounds.newBuilder().setDrainMs(drainMs)).build());
	}

	private FleetState fleet(HostSettings settings) {
		FleetState fleet = new FleetState(settings, null, this.clock, EventLog.create(this.clock, "entry"));
		byte[] registration = FakeBackend.registration(9, "desk", "zone-a", "ready", 1).toBuffer().getBytes();
		apply(fleet, new TopicRecord(ID, 1, registration, false));
		return fleet;
	}

	private static void apply(FleetState fleet, TopicRecord topicRecord) {
		fleet.applyBackendRecords(fleet.backendRecords().applySingleRecords(List.of(topicRecord)), "store",
				RETURNED_AT_MS);
	}

	@DataProvider
	public Object[][] delays() {
		return new Object[][] { { 0, 5 }, { 40, 40 }, { 5, 700 }, { 700, 5 }, { 900, 1_200 } };
	}

	/** The delays are those of the question and of the reply, with pauses. */
	@Test(dataProvider = "delays")
	public void graceThatEntriesTellEachOtherEndsOnTime(int questionMs, int replyMs) {
		this.first.grace().storeReturned(RETURNED_AT_MS - 1_000, this.clock.monotonicMs(), true);
		FleetState teller = this.first;
		FleetState asker = this.second;
		while (this.clock.monotonicMs() < ENDS_AT_MS) {
			long askedAtMs = this.clock.monotonicMs();
			this.clock.advance(questionMs);
			long restMs = teller.grace().remainingMs();
			this.clock.advance(replyMs);
			asker.grace().told(restMs, askedAtMs, StoreKnowledge.startedAt(askedAtMs));
			apply(asker, new TopicRecord(ID, 2, new byte[0], true));
			FleetState next = teller;
			teller = asker;
			asker = next;
		}
		for (FleetState fleet : List.of(this.first, this.second)) {
			assertThat(fleet.grace().remainingMs()).isZero();
			fleet.removeLapsedBackends();
			assertThat(fleet.backends()).isEmpty();
		}
	}

	@Test
	public void lapsedRegistrationIsKeptUntilTheGraceEnds() {
		this.first.grace().storeReturned(RETURNED_AT_MS - 1_000, this.clock.monotonicMs(), true);
		this.clock.advance(50);
		this.second.grace()
			.told(this.first.grace().remainingMs(), this.clock.monotonicMs(), StoreKnowledge.startedAt(RETURNED_AT_MS));
		List<FleetState> fleets = List.of(this.first, this.second);
		fleets.forEach((fleet) -> apply(fleet, new TopicRecord(ID, 2, new byte[0], true)));
		this.clock.advance(LapseGrace.LENGTH_MS - 51);
		fleets.forEach(FleetState::removeLapsedBackends);
		assertThat(fleets).allMatch((fleet) -> fleet.backends().iterator().hasNext());
		this.clock.advance(1);
		fleets.forEach(FleetState::removeLapsedBackends);
		assertThat(fleets).noneMatch((fleet) -> fleet.backends().iterator().hasNext());
	}

	/** This entry's own calls failed for longer than those of the others. */
	@Test
	public void graceIsBoundByTheFirstAnswerOfTheStoreToAnyEntry() {
		long longestGraceMs = MAX_CALL_MS + LapseGrace.LENGTH_MS;
		this.clock.advance(3_000);
		this.first.grace().storeReturned(RETURNED_AT_MS - 1_000, this.clock.monotonicMs(), true);
		this.first.grace().storeAnswered(RETURNED_AT_MS - 1_000);
		assertThat(this.first.grace().remainingMs()).isEqualTo(LapseGrace.LENGTH_MS);
		this.first.grace().storeAnswered(RETURNED_AT_MS);
		assertThat(this.first.grace().remainingMs()).isEqualTo(longestGraceMs - 3_000);
	}

	/** Live backend servers need the whole grace after a call that hung in the outage. */
	@Test
	public void graceIsNotShortenedByACallThatHungUntilTheStoreReturned() {
		LapseGrace grace = LapseGrace.none().storeReturned(RETURNED_AT_MS - 1_450, RETURNED_AT_MS, true);
		assertThat(grace.storeAnswered(RETURNED_AT_MS - 1_400).restMs(RETURNED_AT_MS)).isEqualTo(LapseGrace.LENGTH_MS);
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
		this.clock.advance(heldBackMs);
		this.first.grace().storeReturned(RETURNED_AT_MS - 1_000, this.clock.monotonicMs(), true);
		apply(this.first, new TopicRecord(ID, 2, new byte[0], true));
		this.clock.advance(HEARTBEAT_MS);
		this.first.removeLapsedBackends();
		assertThat(this.first.backends()).isNotEmpty();
	}

	/**
	 * Guards against requests to a backend server that left just before an entry read the
	 * registrations after an outage: it was kept for the whole grace period and one
	 * housekeeping, which is longer than the bound for leaving.
	 */
	@Test
	public void serverThatLeavesInTheGraceIsRemovedWithinTheBoundForLeaving() {
		int drainMs = 2_000;
		int housekeepingMs = 250;
		FleetState fleet = fleetWithDrainBound(drainMs);
		long acknowledgedAtMs = RETURNED_AT_MS - 50;
		fleet.grace().storeReturned(RETURNED_AT_MS - 1_000, this.clock.monotonicMs(), true);
		apply(fleet, new TopicRecord(ID, 2, new byte[0], true));
		this.clock.advance(HEARTBEAT_MS);
		fleet.removeLapsedBackends();
		assertThat(fleet.backends()).isNotEmpty();
		this.clock.advance(acknowledgedAtMs + drainMs - housekeepingMs - this.clock.monotonicMs());
		fleet.removeLapsedBackends();
		assertThat(fleet.backends()).isEmpty();
	}

	/**
	 * Guards against requests to backend servers that have left while an entry was cut
	 * off, if it reaches the store before any other entry.
	 */
	@Test
	public void graceThatNoOtherEntryConfirmsEndsEarly() {
		int drainMs = 3_000;
		FleetState fleet = fleetWithDrainBound(drainMs);
		fleet.grace().storeReturned(RETURNED_AT_MS - 4_000, RETURNED_AT_MS, false);
		apply(fleet, new TopicRecord(ID, 2, new byte[0], true));
		assertThat(fleet.backends()).isNotEmpty();
		this.clock.advance(1_000);
		fleet.removeLapsedBackends();
		assertThat(fleet.backends()).isEmpty();
	}

	@DataProvider
	public Object[][] uptimes() {
		return new Object[][] { { RETURNED_AT_MS - 60_000, 0 },
				{ RETURNED_AT_MS - 1_000, LapseGrace.LENGTH_MS - 1_000 }, { RETURNED_AT_MS, LapseGrace.LENGTH_MS } };
	}

	/**
	 * Another entry has read the store all the time, or since shortly before this one.
	 */
	@Test(dataProvider = "uptimes")
	public void graceCountsFromTheReturnOfTheStoreForAnyEntry(long upSinceMs, long graceMs) {
		this.first.grace().storeReturned(RETURNED_AT_MS - 4_000, RETURNED_AT_MS, false);
		this.first.grace().storeUpSince(upSinceMs);
		assertThat(this.first.grace().remainingMs()).isEqualTo(graceMs);
	}

	@Test
	public void serverThatSaidThatItLeavesIsNotKeptInTheGrace() {
		byte[] draining = FakeBackend.registration(9, "desk", "zone-a", "draining", 1).toBuffer().getBytes();
		apply(this.first, new TopicRecord(ID, 2, draining, false));
		this.first.grace().storeReturned(RETURNED_AT_MS - 4_000, RETURNED_AT_MS, true);
		apply(this.first, new TopicRecord(ID, 3, new byte[0], true));
		assertThat(this.first.backends()).isEmpty();
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
		this.first.grace().told(2_000, RETURNED_AT_MS, knowledge);
		assertThat(this.first.grace().remainingMs()).isEqualTo(keptMs);
	}

}
