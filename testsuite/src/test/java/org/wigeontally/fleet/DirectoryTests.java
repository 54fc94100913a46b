package org.wigeontally.fleet;

import java.util.List;
import java.util.Set;

import org.testng.annotations.Test;

import org.wigeontally.schema.generated.Address;
import org.wigeontally.schema.generated.EntryNews;

import static org.assertj.core.api.Assertions.assertThat;

/** Selection of the entries that callers connect to, and liveness of entries. */
public class DirectoryTests {

	@Test
	public void callerGetsEntriesOfItsZone() {
		List<EntryNews> entries = List.of(entry(1, "a", "r1", true), entry(2, "a", "r1", true),
				entry(3, "b", "r2", true));
		assertThat(EntrySelection.selectAddresses(new DirectoryQuery("h", "r1", "a"), entries, AllowedRegions.all()))
			.containsExactlyInAnyOrder("10.0.0.1:80", "10.0.0.2:80");
	}

	@Test
	public void entryThatIsNotReadyIsNotSelected() {
		List<EntryNews> entries = List.of(entry(1, "a", "r1", false), entry(2, "a", "r1", true),
				entry(3, "a", "r1", true));
		assertThat(EntrySelection.selectAddresses(new DirectoryQuery("h", "r1", "a"), entries, AllowedRegions.all()))
			.containsExactlyInAnyOrder("10.0.0.2:80", "10.0.0.3:80");
	}

	/** With only one entry a caller would have no alternative if that entry fails. */
	@Test
	public void otherEntriesAreSelectedIfTheZoneHasTooFew() {
		List<EntryNews> entries = List.of(entry(1, "a", "r1", true), entry(3, "b", "r2", true));
		assertThat(EntrySelection.selectAddresses(new DirectoryQuery("h", "r1", "a"), entries, AllowedRegions.all()))
			.containsExactlyInAnyOrder("10.0.0.1:80", "10.0.0.3:80");
	}

	@Test
	public void regionRestrictionIsRespected() {
		List<EntryNews> entries = List.of(entry(1, "a", "r1", true), entry(3, "b", "r2", true),
				entry(4, "c", "r3", true));
		assertThat(EntrySelection.selectAddresses(new DirectoryQuery("h", "r1", "a"), entries,
				AllowedRegions.only(Set.of("r1"))))
			.containsExactly("10.0.0.1:80");
		assertThat(EntrySelection.selectAddresses(new DirectoryQuery("h", "r9", "z"), entries,
				AllowedRegions.only(Set.of("r3"))))
			.containsExactly("10.0.0.4:80");
	}

	/**
	 * An entry that was killed is returned to callers only until the liveness timeout.
	 */
	@Test
	public void silentEntryIsNotLive() {
		EntryTable table = EntryTable.create("r1");
		table.recordMessage(entry(1, "a", "r1", true), 1_000);
		assertThat(table.liveEntries(1_000 + EntryTable.LIVENESS_TIMEOUT_MS)).hasSize(1);
		assertThat(table.liveEntries(1_001 + EntryTable.LIVENESS_TIMEOUT_MS)).isEmpty();
		assertThat(table.recordMessage(entry(1, "a", "r1", true), 9_000)).isTrue();
	}

	@Test
	public void unresponsiveAddressIsRetriedWithBackoffAndRemoved() {
		EntryTable table = EntryTable.create("r1");
		Address seed = address(7);
		table.addAddress(seed);
		long nowMs = 0;
		int attempts = 0;
		while (!table.dueForExchange(Long.MAX_VALUE, 0).isEmpty()) {
			if (!table.dueForExchange(nowMs, 0).isEmpty()) {
				table.recordFailure(seed, nowMs);
				attempts++;
			}
			nowMs += 500;
		}
		assertThat(attempts).isLessThan(60);
		assertThat(nowMs).isGreaterThan(60_000);
	}

	/**
	 * Two entries run their timers with different phases; each pair exchanges messages
	 * once in each interval.
	 */
	@Test
	public void onlyOneEntryOfAPairStartsAnExchange() {
		EntryTable[] tables = { EntryTable.create("r1"), EntryTable.create("region-a") };
		tables[0].addAddress(entry(1, "a", "r1", true).getControl());
		tables[1].addAddress(entry(0, "a", "r1", true).getControl());
		int exchanges = 0;
		long longestMs = 0;
		long lastMs = 0;
		for (long nowMs = 0; nowMs < 30_000; nowMs += 10) {
			for (int self = 0; self < 2; self++) {
				if ((nowMs + self * 430L) % 500 != 0 || tables[self].dueForExchange(nowMs, 350).isEmpty()) {
					continue;
				}
				tables[self].recordMessage(entry(1 - self, "a", "r1", true), nowMs);
				tables[1 - self].recordMessage(entry(self, "a", "r1", true), nowMs);
				longestMs = Math.max(longestMs, nowMs - lastMs);
				lastMs = nowMs;
				exchanges++;
			}
		}
		assertThat(exchanges).isBetween(58, 72);
		assertThat(longestMs).isLessThanOrEqualTo(1_000);
	}

	/** Entries of other regions exchange less often, but are sent news at once. */
	@Test
	public void entriesOfOtherRegionsExchangeLessOften() {
		EntryTable table = EntryTable.create("r1");
		table.recordMessage(entry(1, "a", "r1", true), 0);
		table.recordMessage(entry(2, "b", "r2", true), 0);
		assertThat(table.dueForExchange(500, 350)).containsExactly(entry(1, "a", "r1", true).getControl());
		assertThat(table.dueForExchange(2_500, 350)).hasSize(2);
		assertThat(table.dueForExchange(10, 0)).hasSize(2);
		assertThat(table.liveEntries(EntryTable.REMOTE_LIVENESS_TIMEOUT_MS)).hasSize(1);
		assertThat(table.liveEntries(EntryTable.REMOTE_LIVENESS_TIMEOUT_MS + 1)).isEmpty();
	}

	private static EntryNews entry(int number, String zone, String region, boolean ready) {
		return EntryNews.newBuilder()
			.setHost("e" + number)
			.setZone(zone)
			.setRegion(region)
			.setReady(ready)
			.setFront(address(number))
			.setControl(address(number).toBuilder().setPort(81))
			.build();
	}

	private static Address address(int number) {
		return Address.newBuilder().setIp("10.0.0." + number).setPort(80).build();
	}

}
