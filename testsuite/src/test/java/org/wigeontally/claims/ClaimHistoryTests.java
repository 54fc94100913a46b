package org.wigeontally.claims;

import java.util.List;
import java.util.Random;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.testng.annotations.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Histories of concurrent runs of the real claim code under faults, with fixed seeds.
 * Each key runs at most once, a sending that was answered "not run" never runs, and every
 * answer belongs to its key.
 * <p>
 * Seen red on these faults planted in the code, one at a time: the gate lets a claim
 * through again; the gate does not remember a fence; no answer from an agent counts as
 * fenced; an agent that was replaced counts as fenced; the last claim of a key wins; a
 * recovery releases a claim without asking the agents.
 */
public class ClaimHistoryTests {

	private static final Logger logger = LoggerFactory.getLogger(ClaimHistoryTests.class);

	private static final int SEEDS = 60;

	private static final int KEYS = 60;

	@Test
	public void everyKeyRunsAtMostOnceUnderFaults() {
		int answered = 0;
		int notRun = 0;
		int unknown = 0;
		for (long seed = 1; seed <= SEEDS; seed++) {
			ClaimWorld world = new ClaimWorld(seed, ClaimWorld.Faults.many());
			history(world, new Random(seed));
			check(world, seed);
			for (ClaimWorld.Sending sending : world.sendings()) {
				answered += (sending.answer() instanceof ClaimDecision.AlreadyDone) ? 1 : 0;
				notRun += (sending.answer() instanceof ClaimDecision.NotRun) ? 1 : 0;
				unknown += (sending.answer() instanceof ClaimDecision.OutcomeUnknown) ? 1 : 0;
			}
		}
		logger.info("claims: {} seeds: answered {}, not run {}, unknown {}", SEEDS, answered, notRun, unknown);
		assertThat(answered).as("sendings answered, so that the histories show something")
			.isGreaterThan(SEEDS * KEYS / 2);
		assertThat(notRun).isGreaterThan(SEEDS);
		assertThat(unknown).isGreaterThan(0);
	}

	private static void history(ClaimWorld world, Random random) {
		for (int i = 0; i < 4; i++) {
			world.startEntry();
			world.startAgent();
		}
		for (int key = 0; key < KEYS; key++) {
			int sendings = 1 + random.nextInt(4);
			long atMs = random.nextInt(6000);
			for (int i = 0; i < sendings; i++) {
				ClaimWorld.Entry entry = world.entries().get(random.nextInt(4));
				world.send(key, entry, named(world, random), atMs);
				atMs += random.nextInt(3000);
			}
		}
		for (int phase = 0; phase < 24; phase++) {
			disturb(world, random);
			world.run(500);
		}
		world.log().outage(false);
		world.run(8000);
	}

	private static void disturb(ClaimWorld world, Random random) {
		world.log().outage(random.nextInt(8) == 0);
		ClaimWorld.Entry entry = world.entries().get(random.nextInt(world.entries().size()));
		ClaimWorld.Agent agent = world.agents().get(random.nextInt(world.agents().size()));
		switch (random.nextInt(6)) {
			case 0 -> entry.successor().restart();
			case 1 -> entry.pause(random.nextInt(3000));
			case 2 -> agent.pause(random.nextInt(2000));
			case 3 -> agent.full(random.nextBoolean());
			case 4 -> agent.successor().restart();
			default -> {
			}
		}
	}

	private static List<ClaimWorld.Agent> named(ClaimWorld world, Random random) {
		ClaimWorld.Agent first = world.agents().get(random.nextInt(4));
		ClaimWorld.Agent second = world.agents().get(random.nextInt(4));
		return first.equals(second) ? List.of(first) : List.of(first, second);
	}

	private static void check(ClaimWorld world, long seed) {
		for (int key = 0; key < KEYS; key++) {
			int wanted = key;
			int runs = world.sendings()
				.stream()
				.filter((sending) -> sending.key() == wanted)
				.mapToInt(ClaimWorld.Sending::runs)
				.sum();
			assertThat(runs).as("runs of key %s with seed %s", key, seed).isLessThanOrEqualTo(1);
		}
		for (ClaimWorld.Sending sending : world.sendings()) {
			if (sending.answer() instanceof ClaimDecision.NotRun) {
				assertThat(sending.runs()).as("runs of sending %s, told not run, seed %s", sending.id(), seed).isZero();
			}
			if (sending.answer() instanceof ClaimDecision.AlreadyDone done) {
				assertThat(done.outcome().getAnswer().toStringUtf8()).as("seed %s", seed)
					.isEqualTo("answer " + sending.key());
			}
		}
	}

}
