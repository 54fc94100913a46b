package org.wigeontally.fleet;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import org.testng.annotations.Test;

import org.wigeontally.fleet.CompactedTopic.TopicRecord;

import static org.assertj.core.api.Assertions.assertThat;

/** Records of a store that is restored from older copies of its data. */
public class StoreEraTests {

	/** Orders records by a number in their content, like versions of configurations. */
	private static final RestorePolicy BY_CONTENT = new RestorePolicy() {

		@Override
		public boolean isNewer(TopicRecord restored, TopicRecord known) {
			return number(restored) > number(known);
		}

		@Override
		public boolean isRightAfterGrace(TopicRecord restored, TopicRecord known) {
			return isNewer(restored, known);
		}

	};

	@Test
	public void lateResponseOfAnEarlierEraIsDropped() {
		StoreEraTracker eras = StoreEraTracker.create();
		assertThat(eras.classify(null)).isEqualTo(StoreEraTracker.Verdict.CURRENT);
		assertThat(eras.classify("4")).isEqualTo(StoreEraTracker.Verdict.CURRENT);
		assertThat(eras.classify("5")).isEqualTo(StoreEraTracker.Verdict.CURRENT);
		assertThat(eras.classify("4")).isEqualTo(StoreEraTracker.Verdict.OUTDATED);
		assertThat(eras.era()).isEqualTo(5);
	}

	@Test
	public void unusableHeadersKeepTheLastEra() {
		StoreEraTracker eras = StoreEraTracker.create();
		eras.classify("5");
		for (String header : new String[] { null, "", "-1", "1e9", "99999999999999999999" }) {
			assertThat(eras.classify(header)).isEqualTo(StoreEraTracker.Verdict.UNREADABLE);
			assertThat(eras.era()).isEqualTo(5);
		}
		for (int i = 0; i < StoreEraTracker.MAX_DROPPED_RESPONSES; i++) {
			assertThat(eras.classify("2")).isEqualTo(StoreEraTracker.Verdict.OUTDATED);
		}
		assertThat(eras.classify("2")).isEqualTo(StoreEraTracker.Verdict.UNREADABLE);
		assertThat(eras.era()).isEqualTo(5);
	}

	@Test
	public void recordOfTheNewEraBeatsALostOneAtAHigherOffset() {
		CompactedTopic topic = CompactedTopic.create();
		topic.applySnapshot(List.of(record(1, 105, "k", 7)), StorePosition.of(1, 110));
		topic.applyRestoredSnapshot(List.of(record(2, 90, "k", 6)), StorePosition.of(2, 100), BY_CONTENT);
		assertThat(number(topic.record("k"))).isEqualTo(7);
		topic.applyUpdate(StorePosition.of(2, 100), List.of(record(2, 100, "k", 3)), StorePosition.of(2, 101));
		assertThat(number(topic.record("k"))).isEqualTo(3);
	}

	@Test
	public void keysOfTheLostRecordsAreRemovedOnlyWhenSettled() {
		CompactedTopic topic = CompactedTopic.create();
		topic.applySnapshot(List.of(record(1, 5, "old", 1), record(1, 9, "lost", 1)), StorePosition.of(1, 10));
		topic.applyRestoredSnapshot(List.of(record(2, 5, "old", 1)), StorePosition.of(2, 8), BY_CONTENT);
		assertThat(topic.record("lost").removed()).isFalse();
		assertThat(topic.isSettlementNeeded()).isTrue();
		assertThat(topic.settle(List.of(record(2, 5, "old", 1)), StorePosition.of(2, 8), BY_CONTENT)).contains("lost");
		assertThat(topic.record("lost").removed()).isTrue();
		assertThat(topic.isSettlementNeeded()).isFalse();
	}

	/**
	 * An entry that has not read the restored store yet teaches nothing to one that has,
	 * and learns from it without losing what only it knows.
	 */
	@Test
	public void entriesOfDifferentErasExchangeRecords() {
		CompactedTopic behind = CompactedTopic.create();
		behind.applySnapshot(List.of(record(1, 50, "k", 1), record(1, 105, "lost", 7)), StorePosition.of(1, 110));
		CompactedTopic ahead = CompactedTopic.create();
		ahead.applySnapshot(List.of(record(1, 50, "k", 1)), StorePosition.of(1, 60));
		ahead.applyRestoredSnapshot(List.of(record(2, 50, "k", 1)), StorePosition.of(2, 60), BY_CONTENT);
		ahead.applyUpdate(StorePosition.of(2, 60), List.of(record(2, 60, "k", 2)), StorePosition.of(2, 61));
		assertThat(behind.endPosition()).isLessThan(ahead.endPosition());
		behind.applySnapshot(ahead.recordsSince(behind.endPosition()), ahead.endPosition());
		assertThat(number(behind.record("k"))).isEqualTo(2);
		assertThat(number(behind.record("lost"))).isEqualTo(7);
		assertThat(behind.isSettlementNeeded()).isTrue();
	}

	/**
	 * Random histories with restores: two readers never see the content of a key go back,
	 * and both hold the store's content once everything was written again and the store
	 * was read. Fails if positions do not contain the era.
	 */
	@Test
	public void contentNeverGoesBackOverRandomRestores() {
		for (int seed = 0; seed < 300; seed++) {
			RestoredStore store = new RestoredStore(new Random(seed));
			CompactedTopic reader = CompactedTopic.create();
			CompactedTopic follower = CompactedTopic.create();
			Map<String, Long> seen = new HashMap<>();
			for (int step = 0; step < 80; step++) {
				store.step();
				if (store.random.nextInt(3) > 0) {
					store.readInto(reader);
				}
				if (store.random.nextInt(3) == 0 && follower.endPosition() < reader.endPosition()) {
					exchange(reader, follower);
				}
				assertNothingGoesBack(reader, seen, "reader, seed " + seed);
				assertNothingGoesBack(follower, seen, "follower, seed " + seed);
			}
			store.writeAllAgain();
			store.readInto(reader);
			if (reader.isSettlementNeeded()) {
				reader.settle(store.snapshot(), store.end(), BY_CONTENT);
			}
			store.newest.forEach((key, number) -> assertThat(number(reader.record(key))).isEqualTo(number));
		}
	}

	private static void exchange(CompactedTopic from, CompactedTopic to) {
		long known = to.endPosition();
		if (known < from.tombstoneStart()) {
			to.applySnapshot(from.recordsSince(known), from.endPosition());
		}
		else {
			to.applyUpdate(known, from.recordsSince(known), from.endPosition());
		}
	}

	private static void assertNothingGoesBack(CompactedTopic topic, Map<String, Long> seen, String reader) {
		for (TopicRecord known : topic.records()) {
			String place = reader.substring(0, 6) + known.key();
			assertThat(known.removed()).as(reader).isFalse();
			assertThat(number(known)).as(reader).isGreaterThanOrEqualTo(seen.getOrDefault(place, 0L));
			seen.put(place, number(known));
		}
	}

	private static TopicRecord record(long era, long offset, String key, long number) {
		return new TopicRecord(key, StorePosition.of(era, offset),
				Long.toString(number).getBytes(StandardCharsets.UTF_8), false);
	}

	private static long number(TopicRecord topicRecord) {
		return Long.parseLong(new String(topicRecord.value(), StandardCharsets.UTF_8));
	}

	/** A topic whose records carry increasing numbers and are lost now and then. */
	private static final class RestoredStore {

		private final Random random;

		private final List<TopicRecord> log = new ArrayList<>();

		private final Map<String, Long> newest = new HashMap<>();

		private long era = 1;

		private long lastNumber;

		private RestoredStore(Random random) {
			this.random = random;
		}

		private void step() {
			if (this.random.nextInt(15) == 0 && !this.log.isEmpty()) {
				int lost = this.random.nextInt(Math.min(6, this.log.size()));
				this.log.subList(this.log.size() - lost, this.log.size()).clear();
				this.era++;
				return;
			}
			write("k" + this.random.nextInt(5), ++this.lastNumber);
		}

		private void write(String key, long number) {
			this.newest.put(key, number);
			this.log.add(record(this.era, this.log.size(), key, number));
		}

		private void writeAllAgain() {
			Map.copyOf(this.newest).forEach(this::write);
		}

		private long end() {
			return StorePosition.of(this.era, this.log.size());
		}

		private List<TopicRecord> snapshot() {
			Map<String, TopicRecord> latest = new HashMap<>();
			this.log.forEach((entry) -> latest.put(entry.key(),
					entry.withPosition(StorePosition.of(this.era, StorePosition.offset(entry.position())))));
			return List.copyOf(latest.values());
		}

		private void readInto(CompactedTopic topic) {
			if (topic.endPosition() == 0) {
				topic.applySnapshot(snapshot(), end());
				return;
			}
			if (topic.isOfLaterEra(end())) {
				topic.applyRestoredSnapshot(snapshot(), end(), BY_CONTENT);
				return;
			}
			int start = (int) StorePosition.offset(topic.endPosition());
			List<TopicRecord> page = this.log.subList(start, this.log.size())
				.stream()
				.map((entry) -> entry.withPosition(StorePosition.of(this.era, StorePosition.offset(entry.position()))))
				.toList();
			topic.applyUpdate(topic.endPosition(), page, end());
		}

	}

}
