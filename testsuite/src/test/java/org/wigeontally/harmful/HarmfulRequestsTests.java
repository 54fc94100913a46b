package org.wigeontally.harmful;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import org.testng.annotations.Test;

import org.wigeontally.misc.ManualClock;
import org.wigeontally.schema.generated.SuspectSummary;

import static org.assertj.core.api.Assertions.assertThat;

public class HarmfulRequestsTests {

	private final ManualClock clock = ManualClock.startingAt(1_000_000);

	/**
	 * A caller sends a request that kills its backend server again and again, each time
	 * through another entry. Each backend server runs innocent requests beside it, which
	 * are tried again. Seen red without telling the other entries, and (innocents
	 * refused) without the losses that a harmful content explains.
	 */
	@Test
	public void killerIsStoppedAtTwoLossesAndNeighboursAreCleared() {
		List<HarmfulRequests> entries = entries(9);
		Fingerprint killer = content("killer");
		int lost = 0;
		for (int sending = 0; sending < 50; sending++) {
			HarmfulRequests entry = entries.get(sending % 9);
			if (entry.judge(killer).level() == Suspicion.Level.HARMFUL) {
				continue;
			}
			entry.lost("host-" + lost + "/1/1", List.of(killer, content("neighbour-" + lost), content("regular")));
			lost++;
			tellAll(entries, entry);
			this.clock.advance(10);
		}
		assertThat(lost).isEqualTo(HarmfulRequests.LOSSES_MAX);
		for (HarmfulRequests entry : entries) {
			assertThat(entry.judge(killer).level()).isEqualTo(Suspicion.Level.HARMFUL);
			assertThat(entry.judge(killer).remainingMs()).isPositive();
			assertThat(entry.judge(content("neighbour-0")).level()).isEqualTo(Suspicion.Level.NONE);
			assertThat(entry.judge(content("neighbour-1")).level()).isEqualTo(Suspicion.Level.NONE);
		}
	}

	@Test
	public void suspectIsClearedByRunningToItsEnd() {
		List<HarmfulRequests> entries = entries(2);
		Fingerprint innocent = content("innocent");
		entries.get(0).lost("host-1/1/1", List.of(innocent));
		tellAll(entries, entries.get(0));
		assertThat(entries.get(1).judge(innocent).level()).isEqualTo(Suspicion.Level.SUSPECT);
		assertThat(entries.get(1).succeeded(innocent)).isTrue();
		assertThat(entries.get(1).succeeded(innocent)).isFalse();
		tellAll(entries, entries.get(1));
		entries.get(0).lost("host-2/1/1", List.of(innocent));
		assertThat(entries.get(0).judge(innocent).level()).isEqualTo(Suspicion.Level.SUSPECT);
	}

	@Test
	public void mergingIsIdempotentAndOrderDoesNotMatter() {
		Random random = new Random(3);
		List<HarmfulRequests> sources = entries(4);
		for (int i = 0; i < 200; i++) {
			HarmfulRequests source = sources.get(random.nextInt(4));
			Fingerprint content = content("c" + random.nextInt(20));
			if (random.nextInt(4) == 0) {
				source.succeeded(content);
			}
			else {
				source.lost("host-" + random.nextInt(5), List.of(content));
			}
			this.clock.advance(random.nextInt(50));
		}
		HarmfulRequests forward = HarmfulRequests.create(this.clock);
		HarmfulRequests backward = HarmfulRequests.create(this.clock);
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
	public void lossesAreForgottenAfterTheirTimeHoweverOftenTold() {
		List<HarmfulRequests> entries = entries(2);
		entries.get(0).lost("host-1/1/1", List.of(content("killer")));
		entries.get(0).lost("host-2/1/1", List.of(content("killer")));
		for (int i = 0; i < 100; i++) {
			this.clock.advance(HarmfulRequests.KILLER_MEMORY_MS / 100);
			tellAll(entries, entries.get(i % 2));
		}
		assertThat(entries.get(0).judge(content("killer"))).isEqualTo(Suspicion.NONE);
		assertThat(entries.get(1).summary().getContentsCount()).isZero();
	}

	@Test
	public void memoryIsBoundedAndKeepsTheHarmful() {
		HarmfulRequests entry = HarmfulRequests.create(this.clock);
		entry.lost("host-1/1/1", List.of(content("killer")));
		entry.lost("host-2/1/1", List.of(content("killer")));
		List<Fingerprint> many = new ArrayList<>();
		for (int i = 0; i < 5_000; i++) {
			many.add(content("c" + i));
		}
		entry.lost("host-3/1/1", many);
		assertThat(entry.summary().getContentsCount()).isEqualTo(4_096);
		assertThat(entry.judge(content("killer")).level()).isEqualTo(Suspicion.Level.HARMFUL);
	}

	private List<HarmfulRequests> entries(int count) {
		List<HarmfulRequests> entries = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			entries.add(HarmfulRequests.create(this.clock));
		}
		return entries;
	}

	private static void tellAll(List<HarmfulRequests> entries, HarmfulRequests from) {
		for (HarmfulRequests entry : entries) {
			entry.merge(from.summary());
		}
	}

	private static List<Suspicion.Level> levels(HarmfulRequests entry) {
		List<Suspicion.Level> levels = new ArrayList<>();
		for (int i = 0; i < 20; i++) {
			levels.add(entry.judge(content("c" + i)).level());
		}
		return levels;
	}

	private static Fingerprint content(String body) {
		return Fingerprint.of("assist-llm", "/v1/generate", body.getBytes(StandardCharsets.UTF_8));
	}

}
