package org.wigeontally.claims;

import java.util.List;
import java.util.Random;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.testng.annotations.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Runs the production claim code in random histories with concurrent requests and
 * injected faults, with fixed seeds. Checks that each key runs at most once, that a
 * request answered with "not run" never runs, and that every answer belongs to its key.
 * <p>
 * Verified to fail for each of these faults in the code, planted one at a time: the
 * deduplicator lets a claim through a second time; the deduplicator does not remember a
 * fenced claim; a missing answer from an agent counts as fenced; an agent that was
 * replaced counts as fenced; the last claim of a key is granted instead of the first;
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
			ClaimSimulation simulation = new ClaimSimulation(seed, ClaimSimulation.Faults.many());
			runHistory(simulation, new Random(seed));
			assertInvariants(simulation, seed);
			for (ClaimSimulation.SentRequest sentRequest : simulation.sentRequests()) {
				answered += (sentRequest.answer() instanceof ClaimDecision.AlreadyDone) ? 1 : 0;
				notRun += (sentRequest.answer() instanceof ClaimDecision.NotRun) ? 1 : 0;
				unknown += (sentRequest.answer() instanceof ClaimDecision.OutcomeUnknown) ? 1 : 0;
			}
		}
		logger.info("claims: {} seeds: answered {}, not run {}, unknown {}", SEEDS, answered, notRun, unknown);
		assertThat(answered).as("answered requests; with too few of them the histories prove nothing")
			.isGreaterThan(SEEDS * KEYS / 2);
		assertThat(notRun).isGreaterThan(SEEDS);
		assertThat(unknown).isGreaterThan(0);
	}

	private static void runHistory(ClaimSimulation simulation, Random random) {
		for (int i = 0; i < 4; i++) {
			simulation.startEntry();
			simulation.startAgent();
		}
		for (int key = 0; key < KEYS; key++) {
			int sendCount = 1 + random.nextInt(4);
			long atMs = random.nextInt(6000);
			for (int i = 0; i < sendCount; i++) {
				ClaimSimulation.Entry entry = simulation.entries().get(random.nextInt(4));
				simulation.send(key, entry, pickAgents(simulation, random), atMs);
				atMs += random.nextInt(3000);
			}
		}
		for (int phase = 0; phase < 24; phase++) {
			injectFault(simulation, random);
			simulation.run(500);
		}
		simulation.log().outage(false);
		simulation.run(8000);
	}

	private static void injectFault(ClaimSimulation simulation, Random random) {
		simulation.log().outage(random.nextInt(8) == 0);
		ClaimSimulation.Entry entry = simulation.entries().get(random.nextInt(simulation.entries().size()));
		ClaimSimulation.Agent agent = simulation.agents().get(random.nextInt(simulation.agents().size()));
		switch (random.nextInt(6)) {
			case 0 -> entry.currentProcess().restart();
			case 1 -> entry.pause(random.nextInt(3000));
			case 2 -> agent.pause(random.nextInt(2000));
			case 3 -> agent.overloaded(random.nextBoolean());
			case 4 -> agent.currentProcess().restart();
			default -> {
			}
		}
	}

	private static List<ClaimSimulation.Agent> pickAgents(ClaimSimulation simulation, Random random) {
		ClaimSimulation.Agent first = simulation.agents().get(random.nextInt(4));
		ClaimSimulation.Agent second = simulation.agents().get(random.nextInt(4));
		return first.equals(second) ? List.of(first) : List.of(first, second);
	}

	private static void assertInvariants(ClaimSimulation simulation, long seed) {
		for (int key = 0; key < KEYS; key++) {
			int currentKey = key;
			int runs = simulation.sentRequests()
				.stream()
				.filter((sentRequest) -> sentRequest.key() == currentKey)
				.mapToInt(ClaimSimulation.SentRequest::runs)
				.sum();
			assertThat(runs).as("runs of key %s with seed %s", key, seed).isLessThanOrEqualTo(1);
		}
		for (ClaimSimulation.SentRequest sentRequest : simulation.sentRequests()) {
			if (sentRequest.answer() instanceof ClaimDecision.NotRun) {
				assertThat(sentRequest.runs())
					.as("runs of request %s, which was answered not run, with seed %s", sentRequest.id(), seed)
					.isZero();
			}
			if (sentRequest.answer() instanceof ClaimDecision.AlreadyDone done) {
				assertThat(done.outcome().getAnswer().toStringUtf8()).as("seed %s", seed)
					.isEqualTo("answer " + sentRequest.key());
			}
		}
	}

}
