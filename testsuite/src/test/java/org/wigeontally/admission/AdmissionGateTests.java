package org.wigeontally.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import org.testng.annotations.Test;

import org.wigeontally.admission.Admission.Verdict;
import org.wigeontally.admission.EngineReport.Warmth;
import org.wigeontally.errors.ErrorType;
import org.wigeontally.misc.ManualClock;

import static org.assertj.core.api.Assertions.assertThat;

public class AdmissionGateTests {

	private static final GateLimits LIMITS = GateLimits.reporting(16, 2, 4);

	private final ManualClock clock = ManualClock.startingAt(1_000_000);

	private final Random random = new Random(7);

	/**
	 * Nine entries keep sending to a backend server that says it is cold, whatever they
	 * know. Seen red with the limit compared by "at most" in place of "less than".
	 */
	@Test
	public void nineEntriesNeverExceedTheColdBound() {
		AdmissionGate gate = openGate(Warmth.COLD);
		Set<String> running = new HashSet<>();
		int ran = 0;
		for (int i = 0; i < 5_000; i++) {
			this.clock.advance(this.random.nextInt(5));
			note(running, List.of(gate.offer(request("e" + i % 9 + "-" + i))));
			assertThat(running.size()).isLessThanOrEqualTo(2);
			if (!running.isEmpty() && this.random.nextInt(8) == 0) {
				String id = running.iterator().next();
				running.remove(id);
				ran++;
				note(running, gate.answered(id));
				note(running, gate.ended(id, AdmissionGate.End.COMPLETE));
			}
			assertThat(running.size()).isLessThanOrEqualTo(2);
		}
		assertThat(ran).isGreaterThan(500);
	}

	/**
	 * The agent restarts again and again while its requests go on at the engine, whose
	 * report lags by 500 ms. Seen red with the first report taken whatever instant it is
	 * true of, and with nothing counted as outside work.
	 */
	@Test
	public void restartedAgentCountsWhatStillRuns() {
		Set<String> atEngine = new HashSet<>();
		List<Integer> lagging = new ArrayList<>();
		AdmissionGate gate = AdmissionGate.create(LIMITS, this.clock, this.random);
		int admitted = 0;
		for (int i = 0; i < 20_000; i++) {
			this.clock.advance(10);
			lagging.add(atEngine.size());
			if (i % 20 == 0 && i > 50) {
				long asOfMs = this.clock.monotonicMs() - 500;
				note(atEngine, gate.report(new EngineReport(lagging.get(i - 50), Warmth.COLD, asOfMs)));
			}
			if (this.random.nextInt(300) == 0) {
				gate = AdmissionGate.create(LIMITS, this.clock, this.random);
			}
			Admission admission = gate.offer(request("q" + i));
			admitted += (admission.verdict() == Verdict.RUN) ? 1 : 0;
			note(atEngine, List.of(admission));
			assertThat(atEngine.size()).isLessThanOrEqualTo(2);
			if (!atEngine.isEmpty() && this.random.nextInt(100) == 0) {
				String id = atEngine.iterator().next();
				atEngine.remove(id);
				note(atEngine, gate.ended(id, AdmissionGate.End.COMPLETE));
			}
		}
		assertThat(admitted).isGreaterThan(20);
	}

	/**
	 * The backend server turns cold without a word. Seen red without the look at requests
	 * that are outstanding too long.
	 */
	@Test
	public void silentColdnessIsNoticedBeforeAnyAnswerComes() {
		AdmissionGate gate = warmGate(100);
		gate.offer(request("slow-1"));
		gate.offer(request("slow-2"));
		this.clock.advance(4 * 100 + 51);
		assertThat(gate.offer(request("next")).verdict()).isNotEqualTo(Verdict.RUN);
		assertThat(gate.limit()).isEqualTo(2);
		assertThat(gate.cold()).isTrue();
		assertThat(gate.ended("slow-1", AdmissionGate.End.COMPLETE)).extracting(Admission::verdict)
			.containsExactly(Verdict.RUN);
		assertThat(gate.offer(request("more")).verdict()).isNotEqualTo(Verdict.RUN);
	}

	@Test
	public void limitGrowsByPromptAnswersAndNotByTime() {
		AdmissionGate gate = openGate(Warmth.UNSAID);
		this.clock.advance(3_600_000);
		assertThat(gate.limit()).isEqualTo(2);
		runAtOnce(gate, 2, 100);
		assertThat(gate.limit()).isEqualTo(4);
		runAtOnce(gate, 4, 1_000);
		assertThat(gate.limit()).isEqualTo(4);
		runAtOnce(gate, 4, 100);
		assertThat(gate.limit()).isEqualTo(8);
		gate.report(new EngineReport(0, Warmth.COLD, this.clock.monotonicMs()));
		assertThat(gate.limit()).isEqualTo(2);
	}

	@Test
	public void deadlineIsCheckedBeforeDispatch() {
		AdmissionGate gate = openGate(Warmth.COLD);
		gate.offer(request("a"));
		gate.offer(request("b"));
		AdmissionRequest late = request("c").withDeadline(this.clock.monotonicMs() + 100);
		assertThat(gate.offer(late).verdict()).isEqualTo(Verdict.QUEUED);
		this.clock.advance(100);
		List<Admission> decisions = gate.ended("a", AdmissionGate.End.COMPLETE);
		assertThat(decisions).extracting(Admission::reason).containsExactly(ErrorType.DEADLINE);
		assertThat(gate.offer(late).reason()).isEqualTo(ErrorType.DEADLINE);
	}

	@Test
	public void higherPriorityLeavesTheQueueFirst() {
		AdmissionGate gate = openGate(Warmth.COLD);
		gate.offer(request("a"));
		gate.offer(request("b"));
		gate.offer(request("low"));
		gate.offer(request("high").withPriority(1));
		assertThat(gate.ended("a", AdmissionGate.End.COMPLETE)).extracting((decision) -> decision.request().id())
			.containsExactly("high");
	}

	/**
	 * One organisation offers ten times what the backend server can do, nine small ones
	 * half of it together; every refusal comes at arrival. Seen red with the virtual time
	 * set to the start tag in service, as in plain start-time fair queueing.
	 */
	@Test
	public void oneLargeOrganisationDoesNotStarveNineSmall() {
		AdmissionGate gate = warmGate(1_000);
		Map<Long, List<String>> ends = new HashMap<>();
		int[] offered = new int[10];
		int[] ran = new int[10];
		for (int ms = 0; ms < 200_000; ms++) {
			this.clock.advance(1);
			for (String id : ends.getOrDefault(this.clock.monotonicMs(), List.of())) {
				gate.answered(id).forEach((decision) -> started(decision, ran, ends));
				gate.ended(id, AdmissionGate.End.COMPLETE).forEach((decision) -> started(decision, ran, ends));
			}
			int draw = this.random.nextInt(1_000);
			if (draw < 160 + 8) {
				int organisation = (draw < 160) ? 0 : 1 + this.random.nextInt(9);
				offered[organisation]++;
				Admission admission = gate.offer(AdmissionRequest.of("q" + ms, "organisation-" + organisation, 100));
				assertThat(admission.waitedMs()).isZero();
				started(admission, ran, ends);
			}
		}
		for (int organisation = 1; organisation < 10; organisation++) {
			assertThat((double) ran[organisation] / offered[organisation]).isGreaterThan(0.95);
		}
		assertThat(ran[0]).isGreaterThan(1_000);
	}

	@Test
	public void closingCutsNothing() {
		AdmissionGate gate = openGate(Warmth.COLD);
		gate.offer(request("a"));
		gate.offer(request("b"));
		gate.offer(request("waiting"));
		gate.close();
		assertThat(gate.offer(request("new")).reason()).isEqualTo(ErrorType.NOT_SERVING);
		assertThat(gate.ended("a", AdmissionGate.End.COMPLETE)).extracting(Admission::verdict)
			.containsExactly(Verdict.RUN);
		assertThat(gate.runningIds()).containsExactlyInAnyOrder("b", "waiting");
	}

	@Test
	public void suspectsRunOneAtATime() {
		AdmissionGate gate = warmGate(100);
		assertThat(gate.offer(request("s1").asSuspect()).verdict()).isEqualTo(Verdict.RUN);
		assertThat(gate.offer(request("s2").asSuspect()).verdict()).isEqualTo(Verdict.REFUSED);
		assertThat(gate.offer(request("innocent")).verdict()).isEqualTo(Verdict.RUN);
		gate.ended("s1", AdmissionGate.End.COMPLETE);
		assertThat(gate.offer(request("s2").asSuspect()).verdict()).isEqualTo(Verdict.RUN);
	}

	@Test
	public void timesToComeBackAreSpread() {
		AdmissionGate gate = AdmissionGate.create(LIMITS, this.clock, this.random);
		Set<Long> times = new HashSet<>();
		for (int i = 0; i < 100; i++) {
			times.add(gate.offer(request("q" + i)).retryAfterMs());
		}
		assertThat(times).hasSizeGreaterThan(50).allMatch((ms) -> ms >= 200 && ms <= 20_000);
	}

	private void started(Admission admission, int[] ran, Map<Long, List<String>> ends) {
		if (admission.verdict() == Verdict.RUN) {
			ran[Integer.parseInt(admission.request().organisation().substring("organisation-".length()))]++;
			long endMs = this.clock.monotonicMs() + 500 + this.random.nextInt(1_000);
			ends.computeIfAbsent(endMs, (key) -> new ArrayList<>()).add(admission.request().id());
		}
	}

	private static void note(Set<String> running, List<Admission> decisions) {
		for (Admission decision : decisions) {
			if (decision.verdict() == Verdict.RUN) {
				running.add(decision.request().id());
			}
		}
	}

	private AdmissionGate openGate(Warmth warmth) {
		AdmissionGate gate = AdmissionGate.create(LIMITS, this.clock, this.random);
		gate.report(new EngineReport(0, warmth, this.clock.monotonicMs()));
		return gate;
	}

	private AdmissionGate warmGate(long answerMs) {
		AdmissionGate gate = openGate(Warmth.UNSAID);
		for (int atOnce = 2; atOnce <= 16; atOnce *= 2) {
			runAtOnce(gate, atOnce, answerMs);
		}
		assertThat(gate.limit()).isEqualTo(16);
		return gate;
	}

	private void runAtOnce(AdmissionGate gate, int count, long answerMs) {
		for (int i = 0; i < count; i++) {
			assertThat(gate.offer(request("w" + i)).verdict()).isEqualTo(Verdict.RUN);
		}
		this.clock.advance(answerMs);
		for (int i = 0; i < count; i++) {
			gate.answered("w" + i);
		}
		for (int i = 0; i < count; i++) {
			gate.ended("w" + i, AdmissionGate.End.COMPLETE);
		}
	}

	private static AdmissionRequest request(String id) {
		return AdmissionRequest.of(id, "organisation-1", 100);
	}

}
