package org.wigeontally.harmful;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;

import org.testng.annotations.Test;

import org.wigeontally.misc.ManualClock;
import org.wigeontally.schema.generated.BackendLoss;
import org.wigeontally.schema.generated.SuspectContent;
import org.wigeontally.schema.generated.SuspectSummary;

import static org.assertj.core.api.Assertions.assertThat;

public class HarmfulPartTrackerTests {

	private static final PromptPart HARMFUL = part("bad0");

	private static final PromptPart COMMON = part("aa01");

	private final ManualClock clock = ManualClock.startingAt(1_000_000);

	private int losses;

	/**
	 * Requests with the part come one after the other at nine entries, no two alike; the
	 * first part of their prompts is in all other prompts too.
	 */
	@Test
	public void partIsRefusedEverywhereAfterThreeLosses() {
		List<HarmfulPartTracker> entries = entries(9);
		int crashes = 0;
		for (int i = 0; i < 50; i++) {
			HarmfulPartTracker entry = entries.get(i % 9);
			PartAdmission admission = entry.admit(List.of(COMMON, HARMFUL));
			if (admission.isAllowed()) {
				entry.trialStarted(admission.parts());
				loseBackend(entry, List.of(COMMON, HARMFUL), admission.parts());
				crashes++;
			}
			this.clock.advance(5);
			entries.get((i + 4) % 9).recordAnswerBegun(List.of(COMMON, part("sound" + i)));
			exchange(entries);
			this.clock.advance(20);
			assertThat(entries.get((i + 2) % 9).admit(List.of(COMMON, part("sound" + i))).action())
				.isEqualTo(PartAdmission.Action.SEND);
		}
		assertThat(crashes).isEqualTo(HarmfulPartTracker.MAX_BACKEND_LOSSES);
		for (HarmfulPartTracker entry : entries) {
			assertThat(entry.harmfulParts()).containsExactly(HARMFUL);
			assertThat(entry.admit(List.of(HARMFUL)).retryAfterMs()).isPositive();
		}
	}

	@Test
	public void fiveEntriesThatLoseABackendAtTheSameMomentAgree() {
		List<HarmfulPartTracker> entries = entries(5);
		for (HarmfulPartTracker entry : entries) {
			loseBackend(entry, List.of(COMMON, HARMFUL), Set.of());
		}
		this.clock.advance(5);
		exchange(entries);
		entries.get(0).recordAnswerBegun(List.of(COMMON));
		exchange(entries);
		assertThat(entries.get(1).admit(List.of(COMMON)).action()).isEqualTo(PartAdmission.Action.SEND);
		PartAdmission trial = entries.get(1).admit(List.of(COMMON, HARMFUL));
		assertThat(trial.action()).isEqualTo(PartAdmission.Action.TRY);
		assertThat(trial.parts()).containsExactly(HARMFUL);
		entries.get(1).trialStarted(trial.parts());
		exchange(entries);
		assertThat(entries.get(2).admit(List.of(COMMON, HARMFUL)).action()).isEqualTo(PartAdmission.Action.WAIT);
		this.clock.advance(1_100);
		loseBackend(entries.get(1), List.of(COMMON, HARMFUL), trial.parts());
		exchange(entries);
		for (HarmfulPartTracker entry : entries) {
			assertThat(entry.admit(List.of(COMMON, HARMFUL)).action()).isEqualTo(PartAdmission.Action.REFUSE);
		}
	}

	/**
	 * Guards against refusing a part that was in many prompts when a zone was lost.
	 */
	@Test
	public void partOfManyPromptsIsNotRefusedWhenManyBackendsAreLostAtOnce() {
		HarmfulPartTracker entry = HarmfulPartTracker.create(this.clock);
		for (int i = 0; i < 6; i++) {
			loseBackend(entry, List.of(COMMON, part("hot")), Set.of());
		}
		PartAdmission trial = entry.admit(List.of(part("hot")));
		entry.trialStarted(trial.parts());
		this.clock.advance(40);
		loseBackend(entry, List.of(part("hot")), trial.parts());
		loseBackend(entry, List.of(part("other")), Set.of());
		assertThat(entry.harmfulParts()).isEmpty();
		PartAdmission second = entry.admit(List.of(part("hot")));
		assertThat(second.action()).isEqualTo(PartAdmission.Action.TRY);
		entry.trialStarted(second.parts());
		this.clock.advance(200);
		assertThat(entry.recordAnswerBegun(List.of(part("hot")))).isTrue();
		assertThat(entry.admit(List.of(part("hot"))).action()).isEqualTo(PartAdmission.Action.SEND);
	}

	/** The entry that saw the answer begin hears of the loss later. */
	@Test
	public void answerClearsALossThatItsEntryHearsOfLater() {
		List<HarmfulPartTracker> entries = entries(2);
		loseBackend(entries.get(0), List.of(COMMON), Set.of());
		loseBackend(entries.get(0), List.of(COMMON), Set.of());
		this.clock.advance(3);
		assertThat(entries.get(1).recordAnswerBegun(List.of(COMMON))).isFalse();
		assertThat(entries.get(0).admit(List.of(COMMON)).action()).isEqualTo(PartAdmission.Action.TRY);
		this.clock.advance(10);
		exchange(entries);
		assertThat(entries.get(0).admit(List.of(COMMON)).action()).isEqualTo(PartAdmission.Action.SEND);
	}

	@Test
	public void partThatServedWellBeforeIsStillFound() {
		HarmfulPartTracker entry = HarmfulPartTracker.create(this.clock);
		for (int i = 0; i < 100; i++) {
			entry.recordAnswerBegun(List.of(HARMFUL));
			this.clock.advance(10);
		}
		this.clock.advance(HarmfulPartTracker.AGE_TOLERANCE_MS);
		assertThat(crashesUntilRefused(entry, List.of(HARMFUL))).isEqualTo(HarmfulPartTracker.MAX_BACKEND_LOSSES);
	}

	/**
	 * The news of a loss takes 30 ms, so its age seems too small to the entry that saw an
	 * answer begin 10 ms after it. The news of a trial takes longer than that of its end.
	 */
	@Test
	public void slowNewsDoesNotKeepSoundRequestsBack() {
		List<HarmfulPartTracker> entries = entries(3);
		loseBackend(entries.get(0), List.of(COMMON, HARMFUL), Set.of());
		loseBackend(entries.get(0), List.of(COMMON, HARMFUL), Set.of());
		SuspectSummary losses = entries.get(0).summary();
		this.clock.advance(10);
		entries.get(1).recordAnswerBegun(List.of(COMMON));
		this.clock.advance(20);
		assertThat(entries.get(1).merge(losses)).isTrue();
		assertThat(entries.get(1).admit(List.of(COMMON)).action()).isEqualTo(PartAdmission.Action.SEND);
		PartAdmission trial = entries.get(1).admit(List.of(COMMON, HARMFUL));
		entries.get(1).trialStarted(trial.parts());
		SuspectSummary started = entries.get(1).summary();
		this.clock.advance(10);
		loseBackend(entries.get(1), List.of(COMMON, HARMFUL), trial.parts());
		this.clock.advance(40);
		entries.get(2).merge(started);
		entries.get(2).merge(entries.get(1).summary());
		assertThat(entries.get(2).admit(List.of(COMMON, HARMFUL)).action()).isEqualTo(PartAdmission.Action.REFUSE);
	}

	/** Neither part is ever seen without the other until a sound request has one. */
	@Test
	public void partsThatWereOnlyTriedTogetherAreRefusedTogether() {
		HarmfulPartTracker entry = HarmfulPartTracker.create(this.clock);
		PromptPart subject = part("subject");
		int crashes = crashesUntilRefused(entry, List.of(subject, HARMFUL));
		assertThat(crashes).isLessThan(5);
		PartAdmission alone = entry.admit(List.of(subject));
		assertThat(alone.action()).isEqualTo(PartAdmission.Action.TRY);
		entry.trialStarted(alone.parts());
		this.clock.advance(300);
		entry.recordAnswerBegun(List.of(subject));
		assertThat(entry.admit(List.of(subject)).action()).isEqualTo(PartAdmission.Action.SEND);
		assertThat(crashesUntilRefused(entry, List.of(subject, HARMFUL))).isEqualTo(1);
		assertThat(entry.harmfulParts()).containsExactly(HARMFUL);
		assertThat(entry.admit(List.of(subject)).action()).isEqualTo(PartAdmission.Action.SEND);
	}

	@Test
	public void twoHarmfulPartsAtOnceAreBothFound() {
		HarmfulPartTracker entry = HarmfulPartTracker.create(this.clock);
		PromptPart rare = part("bad1");
		int crashes = 0;
		for (int i = 0; i < 40; i++) {
			List<PromptPart> parts = (i % 5 == 4) ? List.of(COMMON, rare) : List.of(COMMON, HARMFUL);
			PartAdmission admission = entry.admit(parts);
			if (admission.isAllowed()) {
				entry.trialStarted(admission.parts());
				loseBackend(entry, parts, admission.parts());
				crashes++;
			}
			this.clock.advance(150);
			entry.recordAnswerBegun(List.of(COMMON));
		}
		assertThat(entry.harmfulParts()).containsExactlyInAnyOrder(HARMFUL, rare);
		assertThat(crashes).isLessThanOrEqualTo(2 * (HarmfulPartTracker.MAX_BACKEND_LOSSES + 1));
	}

	@Test
	public void lossesExplainedByAHarmfulPartDoNotCountAgainstOthers() {
		HarmfulPartTracker entry = HarmfulPartTracker.create(this.clock);
		PromptPart neighbour = part("neighbour");
		for (int i = 0; i < 2; i++) {
			String id = "engine-" + this.losses++;
			entry.recordBackendLoss(id, this.clock.monotonicMs(), List.of(new SuspectRequest(Set.of(HARMFUL), Set.of()),
					new SuspectRequest(Set.of(neighbour), Set.of())));
			this.clock.advance(300);
		}
		assertThat(entry.admit(List.of(neighbour)).action()).isEqualTo(PartAdmission.Action.TRY);
		assertThat(crashesUntilRefused(entry, List.of(HARMFUL))).isEqualTo(1);
		assertThat(entry.admit(List.of(neighbour)).action()).isEqualTo(PartAdmission.Action.SEND);
	}

	@Test
	public void trialWithoutResultIsRepeated() {
		HarmfulPartTracker entry = HarmfulPartTracker.create(this.clock);
		loseBackend(entry, List.of(HARMFUL), Set.of());
		loseBackend(entry, List.of(HARMFUL), Set.of());
		entry.trialStarted(List.of(HARMFUL));
		assertThat(entry.admit(List.of(HARMFUL)).action()).isEqualTo(PartAdmission.Action.WAIT);
		entry.trialEnded(List.of(HARMFUL));
		assertThat(entry.admit(List.of(HARMFUL)).action()).isEqualTo(PartAdmission.Action.TRY);
		entry.trialStarted(List.of(HARMFUL));
		this.clock.advance(HarmfulPartTracker.TRIAL_MS);
		assertThat(entry.admit(List.of(HARMFUL)).action()).isEqualTo(PartAdmission.Action.TRY);
	}

	@Test
	public void liftedPartIsAllowedAtAllEntries() {
		List<HarmfulPartTracker> entries = entries(3);
		crashesUntilRefused(entries.get(0), List.of(HARMFUL));
		exchange(entries);
		assertThat(entries.get(2).lift(HARMFUL)).isTrue();
		assertThat(entries.get(2).lift(part("unknown"))).isFalse();
		exchange(entries);
		for (HarmfulPartTracker entry : entries) {
			assertThat(entry.harmfulParts()).isEmpty();
			assertThat(entry.admit(List.of(HARMFUL)).action()).isEqualTo(PartAdmission.Action.SEND);
		}
	}

	/**
	 * The entry with the losses could not reach the one that saw the answer begin, such
	 * as while their regions had lost each other.
	 */
	@Test
	public void oldLossThatAnotherEntryHasClearedIsClearedHereAndToldOnce() {
		List<HarmfulPartTracker> entries = entries(2);
		loseBackend(entries.get(0), List.of(HARMFUL), Set.of());
		loseBackend(entries.get(0), List.of(HARMFUL), Set.of());
		this.clock.advance(200);
		entries.get(1).recordAnswerBegun(List.of(HARMFUL));
		this.clock.advance(30_000);
		int released = 0;
		for (int i = 0; i < 20; i++) {
			released += entries.get(1).merge(entries.get(0).summary()) ? 1 : 0;
			this.clock.advance(5);
			entries.get(0).merge(entries.get(1).summary());
			this.clock.advance(5);
		}
		assertThat(entries.get(0).admit(List.of(HARMFUL)).action()).isEqualTo(PartAdmission.Action.SEND);
		assertThat(released).isEqualTo(1);
		this.clock.advance(30_000);
		exchange(entries);
		assertThat(entries.get(0).summary().getContentsList()).isEmpty();
		assertThat(entries.get(1).summary().getContentsList()).isEmpty();
	}

	@Test
	public void lossesExpireEvenIfEntriesExchangeThemRepeatedly() {
		List<HarmfulPartTracker> entries = entries(2);
		crashesUntilRefused(entries.get(0), List.of(HARMFUL));
		loseBackend(entries.get(0), List.of(part("once")), Set.of());
		for (int i = 0; i < 100; i++) {
			this.clock.advance(HarmfulPartTracker.LOSS_RETENTION_MS / 100);
			exchange(entries);
			assertThat(entries.get(1).summary().getContentsCount())
				.isLessThanOrEqualTo((this.clock.monotonicMs() < 1_070_000) ? 2 : 1);
		}
		assertThat(entries.get(1).summary().getContentsCount()).isZero();
		assertThat(entries.get(0).admit(List.of(HARMFUL)).action()).isEqualTo(PartAdmission.Action.SEND);
	}

	/** Callers invent parts; a summary from a peer claims many. */
	@Test
	public void memoryIsBoundedAndKeepsHarmfulParts() {
		HarmfulPartTracker entry = HarmfulPartTracker.create(this.clock);
		crashesUntilRefused(entry, List.of(HARMFUL));
		SuspectSummary.Builder summary = SuspectSummary.newBuilder();
		for (int i = 0; i < 6_000; i++) {
			entry.recordAnswerBegun(List.of(part("invented" + i)));
			summary.addContents(SuspectContent.newBuilder()
				.setService("engines")
				.setPartId("claimed" + i)
				.addLosses(BackendLoss.newBuilder().setId("engine-claimed")));
		}
		entry.merge(summary.build());
		assertThat(entry.summary().getContentsCount()).isEqualTo(4_096);
		assertThat(entry.harmfulParts()).containsExactly(HARMFUL);
	}

	/** A peer claims a loss and a trial that are still to come. */
	@Test
	public void timesInTheFutureAreTakenForNow() {
		HarmfulPartTracker entry = HarmfulPartTracker.create(this.clock);
		SuspectContent.Builder content = SuspectContent.newBuilder()
			.setService("engines")
			.setPartId("claimed")
			.setTrialId(1)
			.setTrialAgeMs(Long.MIN_VALUE / 4);
		for (int i = 0; i < 2; i++) {
			content.addLosses(BackendLoss.newBuilder().setId("claimed-" + i).setAgeMs(-1_000_000_000));
		}
		entry.merge(SuspectSummary.newBuilder().addContents(content).build());
		assertThat(entry.admit(List.of(part("claimed"))).action()).isEqualTo(PartAdmission.Action.WAIT);
		this.clock.advance(HarmfulPartTracker.TRIAL_MS);
		assertThat(entry.admit(List.of(part("claimed"))).action()).isEqualTo(PartAdmission.Action.TRY);
		entry.recordAnswerBegun(List.of(part("claimed")));
		assertThat(entry.admit(List.of(part("claimed"))).action()).isEqualTo(PartAdmission.Action.SEND);
	}

	/** A trial's loss must not be the one that no longer fits into the table. */
	@Test
	public void partIsRefusedAlthoughManyOfItsRequestsWereUnderWay() {
		HarmfulPartTracker entry = HarmfulPartTracker.create(this.clock);
		for (int i = 0; i < 40; i++) {
			loseBackend(entry, List.of(HARMFUL), Set.of());
		}
		this.clock.advance(50);
		assertThat(crashesUntilRefused(entry, List.of(HARMFUL))).isEqualTo(1);
	}

	@Test
	public void mergeIsIdempotentAndCommutative() {
		Random random = new Random(7);
		List<HarmfulPartTracker> sources = entries(4);
		for (int i = 0; i < 300; i++) {
			HarmfulPartTracker source = sources.get(random.nextInt(4));
			PromptPart part = part("p" + random.nextInt(20));
			if (random.nextInt(5) == 0) {
				source.recordAnswerBegun(List.of(part));
			}
			else {
				source.recordBackendLoss("engine-" + random.nextInt(12), this.clock.monotonicMs(),
						List.of(new SuspectRequest(Set.of(part), (random.nextInt(3) == 0) ? Set.of(part) : Set.of())));
			}
			this.clock.advance(random.nextInt(30));
		}
		HarmfulPartTracker forward = HarmfulPartTracker.create(this.clock);
		HarmfulPartTracker backward = HarmfulPartTracker.create(this.clock);
		for (int i = 0; i < 8; i++) {
			forward.merge(sources.get(i % 4).summary());
			backward.merge(sources.get(3 - i % 4).summary());
		}
		assertThat(forward.harmfulParts()).isEqualTo(backward.harmfulParts()).isNotEmpty();
		SuspectSummary before = forward.summary();
		forward.merge(before);
		assertThat(forward.summary()).isEqualTo(before);
	}

	private int crashesUntilRefused(HarmfulPartTracker entry, List<PromptPart> parts) {
		int crashes = 0;
		PartAdmission admission = entry.admit(parts);
		while (admission.isAllowed() && crashes < 50) {
			entry.trialStarted(admission.parts());
			this.clock.advance(50);
			loseBackend(entry, parts, admission.parts());
			crashes++;
			this.clock.advance(1_200);
			admission = entry.admit(parts);
		}
		return crashes;
	}

	private void loseBackend(HarmfulPartTracker entry, List<PromptPart> parts, Set<PromptPart> tried) {
		entry.recordBackendLoss("engine-" + this.losses++, this.clock.monotonicMs(),
				List.of(new SuspectRequest(Set.copyOf(parts), tried)));
	}

	private List<HarmfulPartTracker> entries(int count) {
		List<HarmfulPartTracker> entries = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			entries.add(HarmfulPartTracker.create(this.clock));
		}
		return entries;
	}

	private static void exchange(List<HarmfulPartTracker> entries) {
		for (int round = 0; round < 2; round++) {
			for (HarmfulPartTracker from : entries) {
				entries.forEach((to) -> to.merge(from.summary()));
			}
		}
	}

	private static PromptPart part(String id) {
		return new PromptPart("engines", id);
	}

}
