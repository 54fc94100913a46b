package org.wigeontally.streams;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;

import org.testng.annotations.Test;

import org.wigeontally.streams.ResumeDecision.KvCacheExport;

import static org.assertj.core.api.Assertions.assertThat;

public class ResumeDecisionTests {

	/**
	 * Streams move between engines at random points with exports that are older or newer
	 * than what was delivered. Seen red with a resume from the export's index when that
	 * is ahead.
	 */
	@Test
	public void resumedStreamLosesAndRepeatsNoToken() {
		Random random = new Random(5);
		int resumed = 0;
		for (int run = 0; run < 2_000; run++) {
			TokenSequencer order = TokenSequencer.create();
			List<Long> delivered = new ArrayList<>();
			generate(order, delivered, 0, random.nextInt(50));
			long exported = Math.max(0, order.deliveredTokens() + random.nextInt(11) - 5);
			KvCacheExport export = new KvCacheExport("v1", exported, random.nextBoolean(), random.nextBoolean());
			ResumeDecision decision = ResumeDecision.of("v1", order.deliveredTokens(), Optional.of(export), "v1");
			if (decision.resume()) {
				resumed++;
				generate(order, delivered, decision.fromIndex(), 100);
				assertThat(delivered).hasSize(100);
			}
			for (int i = 0; i < delivered.size(); i++) {
				assertThat(delivered.get(i)).isEqualTo(i);
			}
		}
		assertThat(resumed).isGreaterThan(500);
	}

	@Test
	public void resumesOnlyOnTheSameVersion() {
		Optional<KvCacheExport> export = Optional.of(new KvCacheExport("v1", 10, true, true));
		assertThat(ResumeDecision.of("v1", 10, export, "v1").resume()).isTrue();
		assertThat(ResumeDecision.of("v1", 10, export, "v2").resume()).isFalse();
		assertThat(ResumeDecision.of("v2", 10, export, "v2").resume()).isFalse();
		assertThat(ResumeDecision.of("v1", 10, Optional.empty(), "v1").resume()).isFalse();
	}

	private static void generate(TokenSequencer order, List<Long> delivered, long from, long to) {
		for (long index = from; index < to; index++) {
			TokenSequencer.Action step = order.accept(index);
			assertThat(step).isNotEqualTo(TokenSequencer.Action.GAP);
			if (step == TokenSequencer.Action.DELIVER) {
				delivered.add(index);
			}
		}
	}

}
