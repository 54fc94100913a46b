package org.wigeontally.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Predicate;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import org.wigeontally.schema.generated.Address;
import org.wigeontally.schema.generated.EntryNews;
import org.wigeontally.schema.generated.LeavingBackend;
import org.wigeontally.schema.generated.VersionAge;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Contacts of 67 entries in three regions in virtual time, with one heartbeat in ten
 * lost.
 */
public class ContactScheduleTests {

	private static final int ENTRIES = 67;

	private static final int SETTLED_MS = 20_000;

	private static final double LOSS = 0.1;

	private Random random;

	private final List<SimulatedEntry> entries = new ArrayList<>();

	private long nowMs;

	private int calls;

	private int heartbeats;

	@BeforeMethod
	public void start() {
		this.random = new Random(1);
		this.entries.clear();
		this.nowMs = 0;
		for (int i = 0; i < ENTRIES; i++) {
			this.entries.add(new SimulatedEntry(i, true));
		}
		this.entries.forEach((entry) -> entry.table.addAddress(this.entries.get(0).address()));
	}

	/** Fails if most rounds still call, or if lost heartbeats make entries look dead. */
	@Test
	public void entriesWithNothingToTellCallRarely() {
		runUntil(SETTLED_MS);
		this.calls = 0;
		this.heartbeats = 0;
		for (int second = 1; second <= 30; second++) {
			runUntil(SETTLED_MS + second * 1_000);
			assertThat(this.entries).allMatch((entry) -> entry.table.liveEntries(this.nowMs).size() == ENTRIES - 1);
		}
		// One call for each pair and interval: 21 of 66 pairs of an entry are in its
		// region.
		double callsOfAnEntryBefore = 21 * 2 + 45 * 0.4;
		assertThat(2.0 * this.calls / ENTRIES / 30).isLessThan(callsOfAnEntryBefore / 5);
		assertThat((double) this.heartbeats / ENTRIES / 30).isLessThan(callsOfAnEntryBefore);
	}

	/** Fails if a fact waits for a call that comes without reason. */
	@Test
	public void factSpreadsAsFastAsWithCallsOnly() {
		runUntil(SETTLED_MS);
		this.entries.get(1).facts |= 2;
		awaitAll((entry) -> !entry.isNear(1) || entry.facts == 2);
		assertThat(this.nowMs - SETTLED_MS).isLessThanOrEqualTo(1_000);
		awaitAll((entry) -> entry.facts == 2);
		assertThat(this.nowMs - SETTLED_MS).isLessThanOrEqualTo(3_500);
	}

	/** Fails if an entry that was killed looks alive because others still name it. */
	@Test
	public void deadEntryIsNoticedAndItsSuccessorKnownAtOnce() {
		runUntil(SETTLED_MS);
		SimulatedEntry dead = this.entries.get(1);
		dead.alive = false;
		awaitAll((entry) -> entry == dead || !entry.isNear(1) || !entry.knows(dead));
		assertThat(this.nowMs - SETTLED_MS).isLessThanOrEqualTo(3_000);
		runUntil(this.nowMs + 10_000);
		SimulatedEntry successor = new SimulatedEntry(1, true);
		successor.incarnation = 2;
		successor.table.addAddress(this.entries.get(0).address());
		this.entries.set(1, successor);
		long startMs = this.nowMs;
		awaitAll((entry) -> entry == successor || entry.knows(successor));
		// Two rounds to learn of the others, two heartbeats that may be lost, and a call.
		assertThat(this.nowMs - startMs).isLessThanOrEqualTo(2_000);
	}

	/** Fails if an entry of the previous release, which ignores heartbeats, gets them. */
	@Test
	public void entryOfThePreviousReleaseIsCalled() {
		this.entries.set(1, new SimulatedEntry(1, false));
		this.entries.get(1).table.addAddress(this.entries.get(0).address());
		for (int second = 5; second <= 40; second++) {
			runUntil(second * 1_000);
			assertThat(this.entries).allMatch((entry) -> entry.number == 1 || entry.knows(this.entries.get(1)));
		}
	}

	/** Fails if a datagram that was overtaken undoes the news that an entry drains. */
	@Test
	public void overtakenHeartbeatIsIgnored() {
		EntryTable table = EntryTable.create("region-0");
		EntryNews.Builder news = new SimulatedEntry(0, true).news().setIncarnation(5);
		table.recordMessage(news.clone().setSequence(8).setReady(false).build(), 0);
		assertThat(table.recordHeartbeat(news.clone().setSequence(7).setReady(true).build(), 10))
			.isEqualTo(EntryTable.HeartbeatResult.OVERTAKEN);
		assertThat(table.recordHeartbeat(news.clone().setSequence(9).setIncarnation(4).build(), 10))
			.isEqualTo(EntryTable.HeartbeatResult.OVERTAKEN);
		assertThat(table.liveEntries(10)).allMatch((entry) -> !entry.getReady());
		assertThat(table.recordHeartbeat(news.clone().setSequence(9).setReady(true).build(), 10))
			.isEqualTo(EntryTable.HeartbeatResult.CURRENT);
	}

	/** Fails if ages or the order of lists count, or if a changed fact does not. */
	@Test
	public void digestCoversFactsWithoutTheirAges() {
		VersionAge version = VersionAge.newBuilder().setModel("m").setVersion(3).setAgeMs(10).build();
		LeavingBackend leaving = LeavingBackend.newBuilder().setId("b").setProcessStartMs(1).build();
		EntryNews news = EntryNews.newBuilder().addVersions(version).addLeavingBackends(leaving).build();
		EntryNews older = news.toBuilder().setVersions(0, version.toBuilder().setAgeMs(900)).build();
		EntryNews restarted = news.toBuilder().setLeavingBackends(0, leaving.toBuilder().setProcessStartMs(2)).build();
		assertThat(FactsDigest.of(older)).isEqualTo(FactsDigest.of(news)).isNotEqualTo(FactsDigest.of(restarted));
		assertThat(FactsDigest.of(EntryNews.getDefaultInstance())).isZero();
	}

	private void awaitAll(Predicate<SimulatedEntry> condition) {
		long limitMs = this.nowMs + 10_000;
		while (this.nowMs < limitMs && !this.entries.stream().allMatch(condition)) {
			runUntil(this.nowMs + 10);
		}
	}

	private void runUntil(long endMs) {
		for (; this.nowMs < endMs; this.nowMs += 10) {
			this.entries.stream()
				.filter((entry) -> entry.alive && (this.nowMs + 70L * entry.number) % 500 == 0)
				.toList()
				.forEach(SimulatedEntry::contactOthers);
		}
	}

	private final class SimulatedEntry {

		private final int number;

		private final boolean takesHeartbeats;

		private final EntryTable table;

		private long incarnation = 1;

		private long sequence;

		private long facts;

		private boolean alive = true;

		private SimulatedEntry(int number, boolean takesHeartbeats) {
			this.number = number;
			this.takesHeartbeats = takesHeartbeats;
			this.table = EntryTable.create(region());
		}

		private String region() {
			return "region-" + this.number % 3;
		}

		private boolean isNear(int other) {
			return this.number % 3 == other % 3;
		}

		private Address address() {
			return Address.newBuilder().setIp("10.0.0." + this.number).setPort(1).build();
		}

		private boolean knows(SimulatedEntry other) {
			return this.table.liveEntries(ContactScheduleTests.this.nowMs)
				.stream()
				.anyMatch((news) -> news.getControl().equals(other.address())
						&& news.getIncarnation() == other.incarnation);
		}

		private EntryNews.Builder news() {
			EntryNews.Builder news = EntryNews.newBuilder()
				.setControl(address())
				.setRegion(region())
				.setReady(true)
				.setIncarnation(this.incarnation)
				.setSequence(++this.sequence);
			if (this.takesHeartbeats) {
				news.setHeartbeatPort(9)
					.setFactsDigest(this.facts)
					.setEntriesDigest(this.table.digest(address(), ContactScheduleTests.this.nowMs));
			}
			return news;
		}

		private void contactOthers() {
			long now = ContactScheduleTests.this.nowMs;
			EntryNews own = news().build();
			if (!this.takesHeartbeats) {
				this.table.dueForExchange(now, 350).forEach((target) -> call(target, own));
				return;
			}
			DueContacts due = this.table.dueContacts(own, 350, true, now);
			due.calls().forEach((target) -> call(target, own));
			for (DueContacts.Receiver receiver : due.heartbeats()) {
				ContactScheduleTests.this.heartbeats++;
				assertThat(receiver.port()).isPositive();
				if (ContactScheduleTests.this.random.nextDouble() >= LOSS) {
					find(receiver.control()).table.recordHeartbeat(own, now);
				}
			}
		}

		private void call(Address target, EntryNews own) {
			long now = ContactScheduleTests.this.nowMs;
			SimulatedEntry other = find(target);
			if (other == this) {
				return;
			}
			if (!other.alive) {
				this.table.recordFailure(target, now);
				return;
			}
			ContactScheduleTests.this.calls++;
			other.table.recordMessage(own, now);
			other.facts |= this.facts;
			this.facts = other.facts;
			this.table.recordMessage(other.news().build(), now);
			other.table.liveEntries(now)
				.forEach((known) -> this.table.addEntry(known.getControl(), known.getHeartbeatPort()));
		}

		private SimulatedEntry find(Address address) {
			return ContactScheduleTests.this.entries.stream()
				.filter((entry) -> entry.address().equals(address))
				.findFirst()
				.orElseThrow();
		}

	}

}
