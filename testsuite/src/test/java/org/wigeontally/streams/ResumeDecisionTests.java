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
	 * Guards against lost or repeated tokens when streams move between engines at random
	 * points, with exports that cover fewer or more tokens than were delivered. Fails if
	 * a stream resumes at the end of an export that covers more tokens than were
	 * delivered.
	 */
	@Test
	public void resumedStreamLosesAndRepeatsNoToken() {
		Random random = new Random(5);
		int resumed = 0;
		for (int run = 0; run < 2_000; run++) {
			TokenSequencer sequencer = TokenSequencer.create();
			List<Long> deliveredTokens = new ArrayList<>();
			generate(sequencer, deliveredTokens, 0, random.nextInt(50));
			long coveredTokens = Math.max(0, sequencer.deliveredTokens() + random.nextInt(11) - 5);
			KvCacheExport export = new KvCacheExport("v1", coveredTokens, random.nextBoolean(), random.nextBoolean());
			ResumeDecision decision = ResumeDecision.of("v1", sequencer.deliveredTokens(), Optional.of(export), "v1");
			if (decision.resume()) {
				resumed++;
				generate(sequencer, deliveredTokens, decision.fromIndex(), 100);
				assertThat(deliveredTokens).hasSize(100);
			}
			for (int i = 0; i < deliveredTokens.size(); i++) {
				assertThat(deliveredTokens.get(i)).isEqualTo(i);
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

	private static void generate(TokenSequencer sequencer, List<Long> deliveredTokens, long from, long to) {
		for (long index = from; index < to; index++) {
			TokenSequencer.Action action = sequencer.accept(index);
			assertThat(action).isNotEqualTo(TokenSequencer.Action.GAP);
			if (action == TokenSequencer.Action.DELIVER) {
				deliveredTokens.add(index);
			}
		}
	}

}
