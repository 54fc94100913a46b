package org.wigeontally.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import org.wigeontally.schema.generated.Address;
import org.wigeontally.schema.generated.EntryNews;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Which entries read the store, in virtual time: calls to the store, and the age of what
 * each entry knows while readers are killed, frozen, cut off or turned away.
 */
public class StoreReadPlanTests {

	/** Time within which changes must take effect on the smallest deployment. */
	private static final long MAX_CHANGE_DELAY_MS = 2_000;

	private static final long DURATION_MS = 15_000;

	private static final long STEP_MS = 10;

	@DataProvider
	public Object[][] fleets() {
		return new Object[][] { { 6, 3 }, { 49, 5 }, { 200, 5 }, { 980, 6 } };
	}

	/** With every entry reading for itself the calls grow with the entries. */
	@Test(dataProvider = "fleets")
	public void callsDoNotGrowWithTheEntries(int entryCount, int regions) {
		Fleet fleet = new Fleet(entryCount, regions, 1);
		fleet.run(DURATION_MS, Fault.NONE);
		double callsPerSecond = fleet.storeCalls * 1_000.0 / DURATION_MS;
		double perReader = 1_000.0 / Fleet.READ_INTERVAL_MS;
		assertThat(callsPerSecond).isLessThan(regions * perReader * 1.1);
		assertThat(fleet.maxAgeMs).isLessThan(MAX_CHANGE_DELAY_MS);
	}

	@DataProvider
	public Object[][] faults() {
		List<Object[]> cases = new ArrayList<>();
		for (Fault fault : Fault.values()) {
			for (int seed = 0; seed < 10; seed++) {
				cases.add(new Object[] { fault, seed });
			}
		}
		return cases.toArray(new Object[0][]);
	}

	/**
	 * Readers fail one after the other, each for three seconds. An entry that can reach
	 * the store itself never knows less than the bound allows. The test fails if entries
	 * that are not readers wait until the reader is known to be gone.
	 */
	@Test(dataProvider = "faults")
	public void failingReadersDelayNoChangeBeyondTheBound(Fault fault, int seed) {
		Fleet fleet = new Fleet(24, 3, seed);
		fleet.run(DURATION_MS, fault);
		assertThat(fleet.maxAgeMs).isLessThan(MAX_CHANGE_DELAY_MS);
	}

	@Test
	public void entryThatIsNotReadyOrTurnedAwayIsNoReader() {
		Entry self = new Entry(1, "r");
		Entry other = new Entry(2, "r");
		Entry elsewhere = new Entry(3, "q");
		List<EntryNews> others = List.of(elsewhere.news().build(), other.news().setReady(false).build());
		assertThat(StoreReadPlan.reader(self.news().build(), others)).isEqualTo(self.address);
		others = List.of(elsewhere.news().build(), other.news().build());
		assertThat(StoreReadPlan.reader(self.news().setStoreReachable(false).build(), others)).isEqualTo(other.address);
	}

	/**
	 * The reader of a region receives a large record, or has died. The others begin one
	 * after the other, and not at all while something arrives.
	 */
	@Test
	public void entriesOfARegionDoNotReadTheSameAtOnce() {
		List<Long> delays = new ArrayList<>();
		for (int rank = 0; rank < 4; rank++) {
			delays.add(StoreReadPlan.readDelayMs(rank, StoreReadPlan.MAX_AGE_MS, false));
		}
		assertThat(delays).containsExactly(0L, 0L, 100L, 200L);
		assertThat(StoreReadPlan.readDelayMs(1, 10_000, true)).isPositive();
		assertThat(StoreReadPlan.readDelayMs(0, 0, true)).isZero();
		assertThat(StoreReadPlan.mayReadFromOtherRegion(0, 0, false)).isTrue();
		assertThat(StoreReadPlan.mayReadFromOtherRegion(1, 0, false)).isFalse();
		assertThat(StoreReadPlan.mayReadFromOtherRegion(9, 300, false)).isTrue();
		assertThat(StoreReadPlan.mayReadFromOtherRegion(0, 10_000, true)).isFalse();
	}

	/**
	 * The others have the records but their messages do not get through. The test fails
	 * if an entry waits for them without end.
	 */
	@Test
	public void startingEntryReadsTheStoreIfNobodySendsTheRecords() {
		assertThat(StoreReadPlan.firstReadDelayMs(5, 0, true, false)).isPositive();
		assertThat(StoreReadPlan.firstReadDelayMs(5, 1_900, true, false)).isZero();
		assertThat(StoreReadPlan.firstReadDelayMs(5, 1_900, true, true)).isPositive();
		assertThat(StoreReadPlan.firstReadDelayMs(0, 250, false, false)).isZero();
	}

	/** What happens to a reader. */
	private enum Fault {

		NONE, KILLED, FROZEN, TURNED_AWAY_BY_STORE, CUT_OFF_FROM_ENTRIES

	}

	private static final class Entry {

		private final Address address;

		private final String region;

		private long knownAsOfMs;

		private long nextReadMs;

		private long nextExchangeMs;

		private boolean storeReachable = true;

		private Entry(int number, String region) {
			this.address = Address.newBuilder().setIp("10.0.0.1").setPort(number).build();
			this.region = region;
		}

		private EntryNews.Builder news() {
			return EntryNews.newBuilder()
				.setControl(this.address)
				.setRegion(this.region)
				.setReady(true)
				.setStoreReachable(this.storeReachable);
		}

	}

	private static final class Fleet {

		/** A read with its wait and pause. */
		private static final long READ_INTERVAL_MS = 700;

		private static final long CALL_MS = 20;

		private static final long EXCHANGE_INTERVAL_MS = 500;

		private static final long FAULT_MS = 3_000;

		private static final long FAULT_PERIOD_MS = 7_000;

		private final List<Entry> entries = new ArrayList<>();

		private final Map<String, List<Entry>> byRegion = new HashMap<>();

		private final Random random;

		private Entry faulty;

		private long faultStartMs;

		private long storeCalls;

		private long maxAgeMs;

		private Fleet(int entryCount, int regions, int seed) {
			this.random = new Random(seed);
			for (int i = 0; i < entryCount; i++) {
				Entry entry = new Entry(i + 1, "region-" + i % regions);
				entry.nextReadMs = this.random.nextInt(100);
				entry.nextExchangeMs = this.random.nextInt((int) EXCHANGE_INTERVAL_MS);
				this.entries.add(entry);
				this.byRegion.computeIfAbsent(entry.region, (key) -> new ArrayList<>()).add(entry);
			}
		}

		private void run(long durationMs, Fault fault) {
			for (long nowMs = 0; nowMs < durationMs; nowMs += STEP_MS) {
				if (nowMs % FAULT_PERIOD_MS == 1_000 && fault != Fault.NONE) {
					Entry any = this.entries.get(this.random.nextInt(this.entries.size()));
					this.faulty = readerOf(any, nowMs, fault);
					this.faultStartMs = nowMs;
				}
				if (this.faulty != null && nowMs - this.faultStartMs == FAULT_MS) {
					this.faulty.knownAsOfMs = nowMs;
					this.faulty.storeReachable = true;
					this.faulty.nextReadMs = nowMs;
					this.faulty = null;
				}
				for (Entry entry : this.entries) {
					step(entry, nowMs, fault);
				}
			}
		}

		private void step(Entry entry, long nowMs, Fault fault) {
			if (nowMs < entry.nextExchangeMs && nowMs < entry.nextReadMs) {
				return;
			}
			boolean affected = entry == this.faulty;
			if (affected && (fault == Fault.KILLED || fault == Fault.FROZEN)) {
				return;
			}
			Entry reader = readerOf(entry, nowMs, fault);
			if (nowMs >= entry.nextExchangeMs) {
				entry.nextExchangeMs = nowMs + EXCHANGE_INTERVAL_MS;
				if (reader != entry && canCall(entry, reader, fault)) {
					entry.knownAsOfMs = Math.max(entry.knownAsOfMs, reader.knownAsOfMs);
				}
			}
			// The age is greatest right before it is renewed.
			if (!affected || fault == Fault.CUT_OFF_FROM_ENTRIES) {
				this.maxAgeMs = Math.max(this.maxAgeMs, nowMs - entry.knownAsOfMs);
			}
			if (nowMs < entry.nextReadMs) {
				return;
			}
			int rank = StoreReadPlan.rank(entry.news().build(), othersOf(entry, nowMs, fault));
			long delayMs = StoreReadPlan.readDelayMs(rank, nowMs - entry.knownAsOfMs, false);
			entry.nextReadMs = nowMs + Math.max(STEP_MS, delayMs);
			if (delayMs == 0) {
				this.storeCalls++;
				entry.storeReachable = !(affected && fault == Fault.TURNED_AWAY_BY_STORE);
				if (entry.storeReachable) {
					entry.knownAsOfMs = nowMs - CALL_MS;
				}
				entry.nextReadMs = nowMs + READ_INTERVAL_MS;
			}
		}

		private boolean canCall(Entry caller, Entry other, Fault fault) {
			return other != this.faulty && (caller != this.faulty || fault != Fault.CUT_OFF_FROM_ENTRIES)
					|| fault == Fault.TURNED_AWAY_BY_STORE || fault == Fault.NONE;
		}

		private Entry readerOf(Entry entry, long nowMs, Fault fault) {
			Address reader = StoreReadPlan.reader(entry.news().build(), othersOf(entry, nowMs, fault));
			return this.entries.get(reader.getPort() - 1);
		}

		// An entry that was not heard of for some time is no longer among the live ones.
		private List<EntryNews> othersOf(Entry entry, long nowMs, Fault fault) {
			boolean faultNoticed = this.faulty != null && fault != Fault.TURNED_AWAY_BY_STORE
					&& nowMs - this.faultStartMs > EntryTable.LIVENESS_TIMEOUT_MS;
			List<EntryNews> others = new ArrayList<>();
			for (Entry other : this.byRegion.get(entry.region)) {
				boolean live = !(faultNoticed && (other == this.faulty || entry == this.faulty));
				if (other != entry && live) {
					others.add(other.news().build());
				}
			}
			return others;
		}

	}

}
