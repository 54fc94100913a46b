package org.wigeontally.harmful;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import org.testng.annotations.Test;

import org.wigeontally.misc.ManualClock;
import org.wigeontally.schema.generated.SuspectSummary;

import static org.assertj.core.api.Assertions.assertThat;

public class HarmfulRequestTrackerTests {

	private final ManualClock clock = ManualClock.startingAt(1_000_000);

	/**
	 * Guards against a caller that repeatedly sends a request that brings its backend
	 * server down, each time through another entry, and against refusing the harmless
	 * requests that run beside it and are retried. Fails if losses are not exchanged
	 * between entries, or, for the harmless requests, if a loss explained by a harmful
	 * content still counts against other contents.
	 */
	@Test
	public void harmfulContentIsRefusedAfterTwoLossesAndOthersAreCleared() {
		List<HarmfulRequestTracker> entries = entries(9);
		Fingerprint killer = content("killer");
		int lost = 0;
		for (int attempt = 0; attempt < 50; attempt++) {
			HarmfulRequestTracker entry = entries.get(attempt % 9);
			if (entry.classify(killer).level() == Suspicion.Level.HARMFUL) {
				continue;
			}
			entry.recordBackendLoss("host-" + lost + "/1/1",
					List.of(killer, content("neighbour-" + lost), content("regular")));
			lost++;
			mergeIntoAll(entries, entry);
			this.clock.advance(10);
		}
		assertThat(lost).isEqualTo(HarmfulRequestTracker.MAX_BACKEND_LOSSES);
		for (HarmfulRequestTracker entry : entries) {
			assertThat(entry.classify(killer).level()).isEqualTo(Suspicion.Level.HARMFUL);
			assertThat(entry.classify(killer).expiresInMs()).isPositive();
			assertThat(entry.classify(content("neighbour-0")).level()).isEqualTo(Suspicion.Level.NONE);
			assertThat(entry.classify(content("neighbour-1")).level()).isEqualTo(Suspicion.Level.NONE);
		}
	}

	@Test
	public void lossThatEntriesGoOnTellingEachOtherIsForgottenInTime() {
		List<HarmfulRequestTracker> entries = entries(2);
		Fingerprint suspect = content("suspect");
		entries.get(0).recordBackendLoss("host-1/1/1", List.of(suspect));
		long startMs = this.clock.monotonicMs();
		while (this.clock.monotonicMs() - startMs < HarmfulRequestTracker.LOSS_RETENTION_MS + 1_000) {
			SuspectSummary first = entries.get(0).summary();
			SuspectSummary second = entries.get(1).summary();
			this.clock.advance(50);
			entries.get(0).merge(second);
			entries.get(1).merge(first);
		}
		assertThat(entries).allMatch((entry) -> entry.classify(suspect).level() == Suspicion.Level.NONE);
	}

	@Test
	public void completedSuspectIsCleared() {
		List<HarmfulRequestTracker> entries = entries(2);
		Fingerprint innocent = content("innocent");
		entries.get(0).recordBackendLoss("host-1/1/1", List.of(innocent));
		mergeIntoAll(entries, entries.get(0));
		assertThat(entries.get(1).classify(innocent).level()).isEqualTo(Suspicion.Level.SUSPECT);
		assertThat(entries.get(1).recordSuccess(innocent)).isTrue();
		assertThat(entries.get(1).recordSuccess(innocent)).isFalse();
		mergeIntoAll(entries, entries.get(1));
		entries.get(0).recordBackendLoss("host-2/1/1", List.of(innocent));
		assertThat(entries.get(0).classify(innocent).level()).isEqualTo(Suspicion.Level.SUSPECT);
	}

	@Test
	public void mergeIsIdempotentAndCommutative() {
		Random random = new Random(3);
		List<HarmfulRequestTracker> sources = entries(4);
		for (int i = 0; i < 200; i++) {
			HarmfulRequestTracker source = sources.get(random.nextInt(4));
			Fingerprint content = content("c" + random.nextInt(20));
			if (random.nextInt(4) == 0) {
				source.recordSuccess(content);
			}
			else {
				source.recordBackendLoss("host-" + random.nextInt(5), List.of(content));
			}
			this.clock.advance(random.nextInt(50));
		}
		HarmfulRequestTracker forward = HarmfulRequestTracker.create(this.clock);
		HarmfulRequestTracker backward = HarmfulRequestTracker.create(this.clock);
		for (int i = 0; i < 8; i++) {
			forward.merge(sources.get(i % 4).summary());
			backward.merge(sources.get(3 - i % 4).summary());
		}
		assertThat(levels(forward)).isEqualTo(levels(backward));
		SuspectSummary before = forward.summary();
		forward.merge(before);
		assertThat(forward.summary()).isEqualTo(before);
	}

	@Test
	public void lossesExpireEvenIfSummariesAreExchangedRepeatedly() {
		List<HarmfulRequestTracker> entries = entries(2);
		entries.get(0).recordBackendLoss("host-1/1/1", List.of(content("killer")));
		entries.get(0).recordBackendLoss("host-2/1/1", List.of(content("killer")));
		for (int i = 0; i < 100; i++) {
			this.clock.advance(HarmfulRequestTracker.LOSS_RETENTION_MS / 100);
			mergeIntoAll(entries, entries.get(i % 2));
		}
		assertThat(entries.get(0).classify(content("killer"))).isEqualTo(Suspicion.NONE);
		assertThat(entries.get(1).summary().getContentsCount()).isZero();
	}

	@Test
	public void memoryIsBoundedAndKeepsHarmfulContents() {
		HarmfulRequestTracker entry = HarmfulRequestTracker.create(this.clock);
		entry.recordBackendLoss("host-1/1/1", List.of(content("killer")));
		entry.recordBackendLoss("host-2/1/1", List.of(content("killer")));
		List<Fingerprint> many = new ArrayList<>();
		for (int i = 0; i < 5_000; i++) {
			many.add(content("c" + i));
		}
		entry.recordBackendLoss("host-3/1/1", many);
		assertThat(entry.summary().getContentsCount()).isEqualTo(4_096);
		assertThat(entry.classify(content("killer")).level()).isEqualTo(Suspicion.Level.HARMFUL);
	}

	private List<HarmfulRequestTracker> entries(int count) {
		List<HarmfulRequestTracker> entries = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			entries.add(HarmfulRequestTracker.create(this.clock));
		}
		return entries;
	}

	private static void mergeIntoAll(List<HarmfulRequestTracker> entries, HarmfulRequestTracker from) {
		for (HarmfulRequestTracker entry : entries) {
			entry.merge(from.summary());
		}
	}

	private static List<Suspicion.Level> levels(HarmfulRequestTracker entry) {
		List<Suspicion.Level> levels = new ArrayList<>();
		for (int i = 0; i < 20; i++) {
			levels.add(entry.classify(content("c" + i)).level());
		}
		return levels;
	}

	private static Fingerprint content(String body) {
		return Fingerprint.of("assist-llm", "/v1/generate", body.getBytes(StandardCharsets.UTF_8));
	}

}
