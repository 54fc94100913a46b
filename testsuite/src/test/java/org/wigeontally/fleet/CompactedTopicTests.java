package org.wigeontally.fleet;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;

import org.testng.annotations.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Records that arrive from the store and from other entries in any order. */
public class CompactedTopicTests {

	@Test
	public void staleSnapshotIsIgnored() {
		CompactedTopic records = CompactedTopic.create();
		records.applySnapshot(List.of(record("config", 10, "v2")), 11);
		List<String> changed = records.applySnapshot(List.of(record("config", 4, "v1")), 5);
		assertThat(changed).isEmpty();
		assertThat(value(records, "config")).isEqualTo("v2");
		assertThat(records.endPosition()).isEqualTo(11);
	}

	@Test
	public void keyMissingFromNewerSnapshotIsRemoved() {
		CompactedTopic records = CompactedTopic.create();
		records.applySnapshot(List.of(record("evacuate/a", 3, "{}"), record("config", 1, "v1")), 5);
		List<String> changed = records.applySnapshot(List.of(record("config", 1, "v1")), 9);
		assertThat(changed).containsExactly("evacuate/a");
		assertThat(records.record("evacuate/a").removed()).isTrue();
	}

	@Test
	public void updateBeyondGapIsAppliedButDoesNotAdvanceTheEnd() {
		CompactedTopic records = CompactedTopic.create();
		records.applySnapshot(List.of(record("config", 1, "v1")), 5);
		records.applyUpdate(8, List.of(record("config", 8, "v3")), 9);
		assertThat(value(records, "config")).isEqualTo("v3");
		assertThat(records.endPosition()).isEqualTo(5);
	}

	@Test
	public void readerBehindTheTombstonesGetsAllRecords() {
		CompactedTopic records = CompactedTopic.create();
		records.applySnapshot(List.of(record("config", 7, "v2")), 10);
		records.applyUpdate(10, List.of(new CompactedTopic.TopicRecord("evacuate/a", 10, new byte[0], true)), 11);
		assertThat(records.tombstoneStart()).isEqualTo(10);
		assertThat(records.recordsSince(3)).extracting(CompactedTopic.TopicRecord::key).containsExactly("config");
		assertThat(records.recordsSince(10)).extracting(CompactedTopic.TopicRecord::key).containsExactly("evacuate/a");
	}

	/**
	 * A random history reaches two processes in different ways: one reads the store with
	 * gaps and snapshots, the other gets records only from the first. Both must end with
	 * the content of the store. The test fails if records are merged by order of arrival
	 * instead of by offset.
	 */
	@Test
	public void updatesFromMixedSourcesConvergeToTheStore() {
		for (int seed = 0; seed < 200; seed++) {
			Random random = new Random(seed);
			CompactedTopic store = CompactedTopic.create();
			CompactedTopic reader = CompactedTopic.create();
			CompactedTopic follower = CompactedTopic.create();
			for (int step = 0; step < 60; step++) {
				int key = random.nextInt(6);
				boolean removed = random.nextInt(4) == 0;
				long offset = store.endPosition();
				store.applyUpdate(offset, List.of(new CompactedTopic.TopicRecord("k" + key, offset,
						removed ? new byte[0] : bytes("v" + step), removed)), offset + 1);
				int choice = random.nextInt(5);
				if (choice == 0) {
					copySnapshot(store, reader);
				}
				else if (choice < 3) {
					reader.applyUpdate(reader.endPosition(), store.recordsSince(reader.endPosition()),
							store.endPosition());
				}
				if (random.nextBoolean()) {
					sendMissingRecords(reader, follower);
				}
			}
			copySnapshot(store, reader);
			sendMissingRecords(reader, follower);
			for (CompactedTopic.TopicRecord entry : store.records()) {
				assertSame(entry, reader.record(entry.key()), seed);
				assertSame(entry, follower.record(entry.key()), seed);
			}
		}
	}

	private static void assertSame(CompactedTopic.TopicRecord expected, CompactedTopic.TopicRecord actual, int seed) {
		boolean gone = actual == null || actual.removed();
		assertThat(gone).as("seed %s, key %s", seed, expected.key()).isEqualTo(expected.removed());
		if (!gone) {
			assertThat(actual.value()).as("seed %s, key %s", seed, expected.key()).isEqualTo(expected.value());
		}
	}

	private static void copySnapshot(CompactedTopic from, CompactedTopic to) {
		to.applySnapshot(from.records().stream().filter((entry) -> !entry.removed()).toList(), from.endPosition());
	}

	private static void sendMissingRecords(CompactedTopic from, CompactedTopic to) {
		if (to.endPosition() >= from.endPosition()) {
			return;
		}
		if (to.endPosition() < from.tombstoneStart()) {
			to.applySnapshot(from.recordsSince(to.endPosition()), from.endPosition());
		}
		else {
			to.applyUpdate(to.endPosition(), from.recordsSince(to.endPosition()), from.endPosition());
		}
	}

	private static CompactedTopic.TopicRecord record(String key, long offset, String value) {
		return new CompactedTopic.TopicRecord(key, offset, bytes(value), false);
	}

	private static String value(CompactedTopic records, String key) {
		return new String(records.record(key).value(), StandardCharsets.UTF_8);
	}

	private static byte[] bytes(String text) {
		return text.getBytes(StandardCharsets.UTF_8);
	}

}
