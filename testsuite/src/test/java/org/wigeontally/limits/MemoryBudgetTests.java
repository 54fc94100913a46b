package org.wigeontally.limits;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import org.testng.annotations.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against messages that together fill the memory although each is within its own
 * limit.
 */
public class MemoryBudgetTests {

	private static final long MAX_BYTES = 40_000_000;

	private final List<String> givenUp = new ArrayList<>();

	private MemoryBudget.Holder open(MemoryBudget budget, String name) {
		return budget.open(() -> this.givenUp.add(name));
	}

	@Test
	public void largestIsGivenUpWhicheverGrows() {
		this.givenUp.clear();
		MemoryBudget budget = MemoryBudget.of(100);
		MemoryBudget.Holder large = open(budget, "large");
		MemoryBudget.Holder small = open(budget, "small");
		assertThat(large.hold(90)).isTrue();
		assertThat(small.hold(20)).isTrue();
		assertThat(this.givenUp).containsExactly("large");
		assertThat(large.hold(91)).isFalse();
		assertThat(budget.heldBytes()).isEqualTo(20);
		small.close();
		assertThat(budget.heldBytes()).isZero();
	}

	@Test
	public void holderThatAloneExceedsTheBudgetIsGivenUp() {
		this.givenUp.clear();
		MemoryBudget budget = MemoryBudget.of(100);
		assertThat(open(budget, "huge").hold(101)).isFalse();
		assertThat(this.givenUp).containsExactly("huge");
	}

	/**
	 * Replays 80 endless responses that grow in steps of 64 KB beside 200 sound ones of 4
	 * KB.
	 */
	@Test
	public void endlessResponsesNeverEndSmallOnes() {
		this.givenUp.clear();
		MemoryBudget budget = MemoryBudget.of(MAX_BYTES);
		Random random = new Random(7);
		Map<String, MemoryBudget.Holder> endless = new HashMap<>();
		Map<String, Long> sizes = new HashMap<>();
		for (int i = 0; i < 80; i++) {
			endless.put("endless-" + i, open(budget, "endless-" + i));
		}
		for (int i = 0; i < 200; i++) {
			assertThat(open(budget, "small-" + i).hold(4_000)).isTrue();
		}
		for (int step = 0; step < 20_000; step++) {
			String name = "endless-" + random.nextInt(80);
			long size = sizes.merge(name, 64_000L, Long::sum);
			if (!endless.get(name).hold(size)) {
				endless.put(name, open(budget, name));
				sizes.remove(name);
			}
			assertThat(budget.heldBytes()).isLessThanOrEqualTo(MAX_BYTES);
		}
		assertThat(this.givenUp).isNotEmpty().allMatch((name) -> name.startsWith("endless"));
	}

	/**
	 * Guards against one organisation whose callers read slowly: its many streams, each
	 * smaller than the one answer of another organisation, must not end that answer.
	 */
	@Test
	public void slowReadersOfOneOrganisationDoNotEndTheAnswersOfAnother() {
		this.givenUp.clear();
		MemoryBudget budget = MemoryBudget.of(1_000);
		MemoryBudget.Holder answer = budget.open("small", () -> this.givenUp.add("answer"));
		assertThat(answer.hold(300)).isTrue();
		for (int i = 0; i < 100; i++) {
			String name = "slow-" + i;
			budget.open("large", () -> this.givenUp.add(name)).hold(20 + i);
			assertThat(budget.heldBytes("large")).isLessThanOrEqualTo(500);
		}
		assertThat(this.givenUp).hasSizeGreaterThan(50).allMatch((name) -> name.startsWith("slow"));
		assertThat(answer.hold(400)).isTrue();
	}

	/** Three organisations at their limit exceed the budget together. */
	@Test
	public void ownerThatHoldsMostGivesUpFirst() {
		this.givenUp.clear();
		MemoryBudget budget = MemoryBudget.of(1_000);
		for (String owner : List.of("a", "b", "c")) {
			for (int i = 0; i < (owner.equals("b") ? 5 : 3); i++) {
				budget.open(owner, () -> this.givenUp.add(owner)).hold(90);
			}
		}
		assertThat(this.givenUp).isEmpty();
		budget.open("c", () -> this.givenUp.add("c")).hold(60);
		assertThat(this.givenUp).containsExactly("b");
		assertThat(budget.heldBytes()).isEqualTo(960);
	}

}
