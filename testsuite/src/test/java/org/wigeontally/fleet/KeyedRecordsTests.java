package org.wigeontally.fleet;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;

import org.testng.annotations.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Records that reach a process from the store and from other entries, in any order.
 */
public class KeyedRecordsTests {

	@Test
	public void staleSnapshotTakesNothingBack() {
		KeyedRecords records = KeyedRecords.create();
		records.takeSnapshot(List.of(record("config", 10, "v2")), 11);
		List<String> changed = records.takeSnapshot(List.of(record("config", 4, "v1")), 5);
		assertThat(changed).isEmpty();
		assertThat(value(records, "config")).isEqualTo("v2");
		assertThat(records.end()).isEqualTo(11);
	}

	@Test
	public void keyMissingFromNewerSnapshotIsRemoved() {
		KeyedRecords records = KeyedRecords.create();
		records.takeSnapshot(List.of(record("evacuate/a", 3, "{}"), record("config", 1, "v1")), 5);
		List<String> changed = records.takeSnapshot(List.of(record("config", 1, "v1")), 9);
		assertThat(changed).containsExactly("evacuate/a");
		assertThat(records.entry("evacuate/a").removed()).isTrue();
	}

	@Test
	public void updateBeyondGapIsTakenButLeavesTheGapOpen() {
		KeyedRecords records = KeyedRecords.create();
		records.takeSnapshot(List.of(record("config", 1, "v1")), 5);
		records.takeUpdate(8, List.of(record("config", 8, "v3")), 9);
		assertThat(value(records, "config")).isEqualTo("v3");
		assertThat(records.end()).isEqualTo(5);
	}

	@Test
	public void otherThatIsBehindTheBaseGetsTheWholeContent() {
		KeyedRecords records = KeyedRecords.create();
		records.takeSnapshot(List.of(record("config", 7, "v2")), 10);
		records.takeUpdate(10, List.of(new KeyedRecords.Entry("evacuate/a", 10, new byte[0], true)), 11);
		assertThat(records.base()).isEqualTo(10);
		assertThat(records.since(3)).extracting(KeyedRecords.Entry::key).containsExactly("config");
		assertThat(records.since(10)).extracting(KeyedRecords.Entry::key).containsExactly("evacuate/a");
	}

	/**
	 * A random history reaches two processes by different ways: one reads the store with
	 * gaps and snapshots, the other only what the first one tells. Both end with the
	 * store's content. Seen red with a merge by order of arrival.
	 */
	@Test
	public void anyMixOfSourcesEndsWithTheStoresContent() {
		for (int seed = 0; seed < 200; seed++) {
			Random random = new Random(seed);
			KeyedRecords store = KeyedRecords.create();
			KeyedRecords reader = KeyedRecords.create();
			KeyedRecords follower = KeyedRecords.create();
			for (int step = 0; step < 60; step++) {
				int key = random.nextInt(6);
				boolean removed = random.nextInt(4) == 0;
				long offset = store.end();
				store.takeUpdate(offset, List
					.of(new KeyedRecords.Entry("k" + key, offset, removed ? new byte[0] : bytes("v" + step), removed)),
						offset + 1);
				int choice = random.nextInt(5);
				if (choice == 0) {
					snapshot(store, reader);
				}
				else if (choice < 3) {
					reader.takeUpdate(reader.end(), store.since(reader.end()), store.end());
				}
				if (random.nextBoolean()) {
					tell(reader, follower);
				}
			}
			snapshot(store, reader);
			tell(reader, follower);
			for (KeyedRecords.Entry entry : store.entries()) {
				assertSame(entry, reader.entry(entry.key()), seed);
				assertSame(entry, follower.entry(entry.key()), seed);
			}
		}
	}

	private static void assertSame(KeyedRecords.Entry expected, KeyedRecords.Entry actual, int seed) {
		boolean gone = actual == null || actual.removed();
		assertThat(gone).as("seed %s, key %s", seed, expected.key()).isEqualTo(expected.removed());
		if (!gone) {
			assertThat(actual.value()).as("seed %s, key %s", seed, expected.key()).isEqualTo(expected.value());
		}
	}

	private static void snapshot(KeyedRecords from, KeyedRecords to) {
		to.takeSnapshot(from.entries().stream().filter((entry) -> !entry.removed()).toList(), from.end());
	}

	private static void tell(KeyedRecords from, KeyedRecords to) {
		if (to.end() >= from.end()) {
			return;
		}
		if (to.end() < from.base()) {
			to.takeSnapshot(from.since(to.end()), from.end());
		}
		else {
			to.takeUpdate(to.end(), from.since(to.end()), from.end());
		}
	}

	private static KeyedRecords.Entry record(String key, long offset, String value) {
		return new KeyedRecords.Entry(key, offset, bytes(value), false);
	}

	private static String value(KeyedRecords records, String key) {
		return new String(records.entry(key).value(), StandardCharsets.UTF_8);
	}

	private static byte[] bytes(String text) {
		return text.getBytes(StandardCharsets.UTF_8);
	}

}
