package org.wigeontally.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.fail;

public class StoreUptimeTests {

	private static final long CALL_MS = 5;

	private static final int SEEDS = 50;

	/** One entry is cut off from 10 to 16 s, the other one reads all the time. */
	@Test
	public void outageThatOnlyOneEntrySawIsNone() {
		StoreUptime before = answered(StoreUptime.unknown(), 0, 10_000);
		StoreUptime returned = before.answered(16_000, 0, 16_000 + CALL_MS);
		assertThat(returned.isAfterOutage(before)).isTrue();
		StoreUptime other = answered(StoreUptime.unknown(), 500, 16_000);
		long askedAtMs = 16_010;
		StoreUptime told = returned.told(other.durationMs(askedAtMs), askedAtMs - other.lastMs(), askedAtMs,
				askedAtMs + CALL_MS);
		assertThat(told.sinceMs()).isLessThan(1_000);
		StoreUptime toldFirst = before.told(other.durationMs(askedAtMs), askedAtMs - other.lastMs(), askedAtMs,
				askedAtMs + CALL_MS);
		assertThat(toldFirst.answered(16_020, 0, 16_020 + CALL_MS).isAfterOutage(before)).isFalse();
	}

	/** A call that hangs in an outage does not make the outage look shorter. */
	@Test
	public void outageIsSeenAfterACallThatHungInIt() {
		StoreUptime before = answered(StoreUptime.unknown(), 0, 10_000);
		StoreUptime after = before.answered(11_200, 700, 13_400);
		assertThat(after.isAfterOutage(before)).isTrue();
		assertThat(after.sinceMs()).isEqualTo(13_400);
	}

	/**
	 * The reader waits after each page of records, and the store holds its next call back
	 * until there are some, and answers late.
	 */
	@Test
	public void slowStoreIsNotTakenForAnOutage() {
		StoreUptime uptime = StoreUptime.unknown();
		for (long calledAtMs = 0; calledAtMs < 20_000; calledAtMs += 1_700) {
			StoreUptime next = uptime.answered(calledAtMs, 700, calledAtMs + 1_000);
			assertThat(next.isAfterOutage(uptime)).isFalse();
			uptime = next;
		}
	}

	private static StoreUptime answered(StoreUptime uptime, long fromMs, long untilMs) {
		StoreUptime result = uptime;
		for (long atMs = fromMs; atMs <= untilMs; atMs += 700) {
			result = result.answered(atMs, 0, atMs + CALL_MS);
		}
		return result;
	}

	@DataProvider
	public Object[][] seeds() {
		List<Object[]> seeds = new ArrayList<>();
		for (int seed = 0; seed < SEEDS; seed++) {
			seeds.add(new Object[] { seed });
		}
		return seeds.toArray(new Object[0][]);
	}

	/**
	 * Two of three entries are cut off at times, beside outages for all. Messages are
	 * slow in both directions, and entries that are cut off exchange them with each
	 * other. No entry takes the period for longer than it is, and one that is connected
	 * again soon knows since when it lasts. Red if what is told counts from the question,
	 * or its end from the arrival.
	 */
	@Test(dataProvider = "seeds")
	public void entriesAgreeOnTheTimeSinceTheLastOutage(int seed) {
		new Fleet(seed).run();
	}

	private static final class Fleet {

		private static final int ENTRIES = 12;

		private static final int NEVER_CUT = 4;

		private static final long DURATION_MS = 60_000;

		private static final long STEP_MS = 20;

		private static final long MAX_MESSAGE_DELAY_MS = 300;

		/** Three rounds of exchanges, one of them with the reader, and their ways. */
		private static final long SETTLED_MS = 2_100;

		private final Random random;

		private final List<Entry> entries = new ArrayList<>();

		private boolean storeUp = true;

		private long storeChangesAtMs;

		private long upSinceMs;

		private Fleet(int seed) {
			this.random = new Random(seed);
			for (int i = 0; i < ENTRIES; i++) {
				this.entries.add(new Entry((i >= NEVER_CUT) ? this.random.nextInt(12_000) : DURATION_MS));
			}
			this.storeChangesAtMs = 8_000;
		}

		private void run() {
			for (long nowMs = 0; nowMs < DURATION_MS; nowMs += STEP_MS) {
				changeStore(nowMs);
				for (Entry entry : this.entries) {
					entry.step(this, nowMs);
				}
				for (Entry entry : this.entries) {
					if (!isPlausible(entry, nowMs)) {
						fail("At %d ms, the store is up since %d ms and was last up at %d ms, but began to be up at %d ms",
								nowMs, entry.uptime.sinceMs(), entry.uptime.lastMs(), this.upSinceMs);
					}
				}
			}
		}

		private boolean isPlausible(Entry entry, long nowMs) {
			boolean ofEarlierPeriod = entry.uptime.lastMs() < this.upSinceMs;
			if (!ofEarlierPeriod && entry.uptime.sinceMs() < this.upSinceMs) {
				return false;
			}
			long settledSinceMs = Math.max(entry.connectedSinceMs, this.upSinceMs);
			boolean settled = entry.connected && this.storeUp && nowMs - settledSinceMs > SETTLED_MS;
			return !settled || entry.uptime.sinceMs() < this.upSinceMs + SETTLED_MS;
		}

		private void changeStore(long nowMs) {
			if (nowMs < this.storeChangesAtMs) {
				return;
			}
			this.storeUp = !this.storeUp;
			this.storeChangesAtMs = nowMs + (this.storeUp ? 8_000 : 3_000) + this.random.nextInt(4_000);
			if (this.storeUp) {
				this.upSinceMs = nowMs;
			}
		}

		private long way() {
			return this.random.nextInt((int) MAX_MESSAGE_DELAY_MS);
		}

	}

	private static final class Entry {

		private StoreUptime uptime = StoreUptime.unknown();

		private boolean connected = true;

		private long connectionChangesAtMs;

		private long connectedSinceMs;

		private long nextCallAtMs;

		private long nextExchangeAtMs;

		private boolean readerNext;

		private Reply reply;

		private Entry(long firstCutAtMs) {
			this.connectionChangesAtMs = firstCutAtMs;
		}

		private void step(Fleet fleet, long nowMs) {
			if (nowMs >= this.connectionChangesAtMs) {
				this.connected = !this.connected;
				this.connectionChangesAtMs = nowMs + (this.connected ? 12_000 : 3_000) + fleet.random.nextInt(6_000);
				this.connectedSinceMs = nowMs;
				this.reply = null;
			}
			if (this.connected && fleet.storeUp && nowMs >= this.nextCallAtMs) {
				this.nextCallAtMs = nowMs + 700;
				this.uptime = this.uptime.answered(nowMs - Math.min(CALL_MS, nowMs), 0, nowMs);
			}
			if (this.reply != null && nowMs >= this.reply.arrivesAtMs) {
				StoreUptime before = this.uptime;
				this.uptime = this.uptime.told(this.reply.durationMs, this.reply.ageMs, this.reply.askedAtMs, nowMs)
					.suppliedAsOf(this.reply.askedAtMs - this.reply.ageMs, nowMs);
				boolean wasAway = before.lastMs() < fleet.upSinceMs;
				if (!this.connected && !wasAway && this.uptime.isAfterOutage(before)) {
					fail("At %d ms, an entry that is cut off takes the store for back", nowMs);
				}
				this.reply = null;
			}
			if (this.reply == null && nowMs >= this.nextExchangeAtMs) {
				this.nextExchangeAtMs = nowMs + 500;
				this.readerNext = !this.readerNext;
				Entry other = fleet.entries.get(this.readerNext ? 0 : fleet.random.nextInt(Fleet.ENTRIES));
				if (other.connected == this.connected && other.uptime.isKnown()) {
					long askedAtMs = nowMs - fleet.way();
					this.reply = new Reply(other.uptime.durationMs(nowMs), nowMs - other.uptime.lastMs(), askedAtMs,
							nowMs + fleet.way());
				}
			}
		}

	}

	private record Reply(long durationMs, long ageMs, long askedAtMs, long arrivesAtMs) {

	}

}
