package org.wigeontally.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import org.testng.annotations.Test;

import org.wigeontally.admission.AdmissionDecision.Verdict;
import org.wigeontally.admission.EngineReport.WarmupState;
import org.wigeontally.errors.ErrorType;
import org.wigeontally.misc.ManualClock;

import static org.assertj.core.api.Assertions.assertThat;

public class AdmissionControllerTests {

	private static final AdmissionLimits LIMITS = AdmissionLimits.reporting(16, 2, 4);

	private final ManualClock clock = ManualClock.startingAt(1_000_000);

	private final Random random = new Random(7);

	/**
	 * Nine entries keep sending to a backend server that says it is cold, whatever they
	 * know. Seen red with the limit compared by "at most" in place of "less than".
	 */
	@Test
	public void nineEntriesNeverExceedTheColdCapacity() {
		AdmissionController gate = createController(WarmupState.COLD);
		Set<String> running = new HashSet<>();
		int ran = 0;
		for (int i = 0; i < 5_000; i++) {
			this.clock.advance(this.random.nextInt(5));
			addStarted(running, List.of(gate.offer(request("e" + i % 9 + "-" + i))));
			assertThat(running.size()).isLessThanOrEqualTo(2);
			if (!running.isEmpty() && this.random.nextInt(8) == 0) {
				String id = running.iterator().next();
				running.remove(id);
				ran++;
				addStarted(running, gate.responseStarted(id));
				addStarted(running, gate.requestEnded(id, AdmissionController.CompletionStatus.COMPLETED));
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
	public void restartedAgentCountsRequestsStillRunning() {
		Set<String> atEngine = new HashSet<>();
		List<Integer> lagging = new ArrayList<>();
		AdmissionController gate = AdmissionController.create(LIMITS, this.clock, this.random);
		int admitted = 0;
		for (int i = 0; i < 20_000; i++) {
			this.clock.advance(10);
			lagging.add(atEngine.size());
			if (i % 20 == 0 && i > 50) {
				long asOfMs = this.clock.monotonicMs() - 500;
				addStarted(atEngine, gate.applyReport(new EngineReport(lagging.get(i - 50), WarmupState.COLD, asOfMs)));
			}
			if (this.random.nextInt(300) == 0) {
				gate = AdmissionController.create(LIMITS, this.clock, this.random);
			}
			AdmissionDecision admission = gate.offer(request("q" + i));
			admitted += (admission.verdict() == Verdict.RUN) ? 1 : 0;
			addStarted(atEngine, List.of(admission));
			assertThat(atEngine.size()).isLessThanOrEqualTo(2);
			if (!atEngine.isEmpty() && this.random.nextInt(100) == 0) {
				String id = atEngine.iterator().next();
				atEngine.remove(id);
				addStarted(atEngine, gate.requestEnded(id, AdmissionController.CompletionStatus.COMPLETED));
			}
		}
		assertThat(admitted).isGreaterThan(20);
	}

	/**
	 * The backend server turns cold without a word. Seen red without the look at requests
	 * that are outstanding too long.
	 */
	@Test
	public void silentColdStartIsDetectedBeforeFirstResponse() {
		AdmissionController gate = createWarmController(100);
		gate.offer(request("slow-1"));
		gate.offer(request("slow-2"));
		this.clock.advance(4 * 100 + 51);
		assertThat(gate.offer(request("next")).verdict()).isNotEqualTo(Verdict.RUN);
		assertThat(gate.limit()).isEqualTo(2);
		assertThat(gate.isCold()).isTrue();
		assertThat(gate.requestEnded("slow-1", AdmissionController.CompletionStatus.COMPLETED))
			.extracting(AdmissionDecision::verdict)
			.containsExactly(Verdict.RUN);
		assertThat(gate.offer(request("more")).verdict()).isNotEqualTo(Verdict.RUN);
	}

	@Test
	public void limitGrowsOnTimelyResponsesNotElapsedTime() {
		AdmissionController gate = createController(WarmupState.UNKNOWN);
		this.clock.advance(3_600_000);
		assertThat(gate.limit()).isEqualTo(2);
		runConcurrently(gate, 2, 100);
		assertThat(gate.limit()).isEqualTo(4);
		runConcurrently(gate, 4, 1_000);
		assertThat(gate.limit()).isEqualTo(4);
		runConcurrently(gate, 4, 100);
		assertThat(gate.limit()).isEqualTo(8);
		gate.applyReport(new EngineReport(0, WarmupState.COLD, this.clock.monotonicMs()));
		assertThat(gate.limit()).isEqualTo(2);
	}

	/**
	 * Seen red when each step asked for as many answers as the limit: streams that stay
	 * open leave only the new places to answer.
	 */
	@Test
	public void limitGrowsWhileLongStreamsStayOpen() {
		AdmissionController gate = createController(WarmupState.WARM);
		for (int i = 0; i < 16; i++) {
			assertThat(gate.offer(request("s" + i)).verdict()).isEqualTo(Verdict.RUN);
			this.clock.advance(100);
			gate.responseStarted("s" + i);
		}
		assertThat(gate.limit()).isEqualTo(16);
	}

	@Test
	public void deadlineIsCheckedBeforeDispatch() {
		AdmissionController gate = createController(WarmupState.COLD);
		gate.offer(request("a"));
		gate.offer(request("b"));
		AdmissionRequest late = request("c").withDeadline(this.clock.monotonicMs() + 100);
		assertThat(gate.offer(late).verdict()).isEqualTo(Verdict.QUEUED);
		this.clock.advance(100);
		List<AdmissionDecision> decisions = gate.requestEnded("a", AdmissionController.CompletionStatus.COMPLETED);
		assertThat(decisions).extracting(AdmissionDecision::reason).containsExactly(ErrorType.DEADLINE);
		assertThat(gate.offer(late).reason()).isEqualTo(ErrorType.DEADLINE);
	}

	@Test
	public void higherPriorityLeavesTheQueueFirst() {
		AdmissionController gate = createController(WarmupState.COLD);
		gate.offer(request("a"));
		gate.offer(request("b"));
		gate.offer(request("low"));
		gate.offer(request("high").withPriority(1));
		assertThat(gate.requestEnded("a", AdmissionController.CompletionStatus.COMPLETED))
			.extracting((decision) -> decision.request().id())
			.containsExactly("high");
	}

	/**
	 * One organisation offers ten times what the backend server can do, nine small ones
	 * half of it together; every refusal comes at arrival. Seen red with the virtual time
	 * set to the start tag in service, as in plain start-time fair queueing.
	 */
	@Test
	public void oneLargeOrganisationDoesNotStarveNineSmall() {
		AdmissionController gate = createWarmController(1_000);
		Map<Long, List<String>> ends = new HashMap<>();
		int[] offered = new int[10];
		int[] ran = new int[10];
		for (int ms = 0; ms < 200_000; ms++) {
			this.clock.advance(1);
			for (String id : ends.getOrDefault(this.clock.monotonicMs(), List.of())) {
				gate.responseStarted(id).forEach((decision) -> scheduleEndIfRun(decision, ran, ends));
				gate.requestEnded(id, AdmissionController.CompletionStatus.COMPLETED)
					.forEach((decision) -> scheduleEndIfRun(decision, ran, ends));
			}
			int draw = this.random.nextInt(1_000);
			if (draw < 160 + 8) {
				int organisation = (draw < 160) ? 0 : 1 + this.random.nextInt(9);
				offered[organisation]++;
				AdmissionDecision admission = gate
					.offer(AdmissionRequest.of("q" + ms, "organisation-" + organisation, 100));
				assertThat(admission.waitedMs()).isZero();
				scheduleEndIfRun(admission, ran, ends);
			}
		}
		for (int organisation = 1; organisation < 10; organisation++) {
			assertThat((double) ran[organisation] / offered[organisation]).isGreaterThan(0.95);
		}
		assertThat(ran[0]).isGreaterThan(1_000);
	}

	@Test
	public void closingKeepsAdmittedRequests() {
		AdmissionController gate = createController(WarmupState.COLD);
		gate.offer(request("a"));
		gate.offer(request("b"));
		gate.offer(request("waiting"));
		gate.startDraining();
		assertThat(gate.offer(request("new")).reason()).isEqualTo(ErrorType.NOT_SERVING);
		assertThat(gate.requestEnded("a", AdmissionController.CompletionStatus.COMPLETED))
			.extracting(AdmissionDecision::verdict)
			.containsExactly(Verdict.RUN);
		assertThat(gate.runningIds()).containsExactlyInAnyOrder("b", "waiting");
	}

	@Test
	public void suspectsRunOneAtATime() {
		AdmissionController gate = createWarmController(100);
		assertThat(gate.offer(request("s1").asSuspect()).verdict()).isEqualTo(Verdict.RUN);
		assertThat(gate.offer(request("s2").asSuspect()).verdict()).isEqualTo(Verdict.REFUSED);
		assertThat(gate.offer(request("innocent")).verdict()).isEqualTo(Verdict.RUN);
		gate.requestEnded("s1", AdmissionController.CompletionStatus.COMPLETED);
		assertThat(gate.offer(request("s2").asSuspect()).verdict()).isEqualTo(Verdict.RUN);
	}

	@Test
	public void timesToRetryAreSpread() {
		AdmissionController gate = AdmissionController.create(LIMITS, this.clock, this.random);
		Set<Long> times = new HashSet<>();
		for (int i = 0; i < 100; i++) {
			times.add(gate.offer(request("q" + i)).retryAfterMs());
		}
		assertThat(times).hasSizeGreaterThan(50).allMatch((ms) -> ms >= 200 && ms <= 20_000);
	}

	private void scheduleEndIfRun(AdmissionDecision admission, int[] ran, Map<Long, List<String>> ends) {
		if (admission.verdict() == Verdict.RUN) {
			ran[Integer.parseInt(admission.request().organisation().substring("organisation-".length()))]++;
			long endMs = this.clock.monotonicMs() + 500 + this.random.nextInt(1_000);
			ends.computeIfAbsent(endMs, (key) -> new ArrayList<>()).add(admission.request().id());
		}
	}

	private static void addStarted(Set<String> running, List<AdmissionDecision> decisions) {
		for (AdmissionDecision decision : decisions) {
			if (decision.verdict() == Verdict.RUN) {
				running.add(decision.request().id());
			}
		}
	}

	private AdmissionController createController(WarmupState warmth) {
		AdmissionController gate = AdmissionController.create(LIMITS, this.clock, this.random);
		gate.applyReport(new EngineReport(0, warmth, this.clock.monotonicMs()));
		return gate;
	}

	private AdmissionController createWarmController(long answerMs) {
		AdmissionController gate = createController(WarmupState.UNKNOWN);
		for (int atOnce = 2; atOnce <= 16; atOnce *= 2) {
			runConcurrently(gate, atOnce, answerMs);
		}
		assertThat(gate.limit()).isEqualTo(16);
		return gate;
	}

	private void runConcurrently(AdmissionController gate, int count, long answerMs) {
		for (int i = 0; i < count; i++) {
			assertThat(gate.offer(request("w" + i)).verdict()).isEqualTo(Verdict.RUN);
		}
		this.clock.advance(answerMs);
		for (int i = 0; i < count; i++) {
			gate.responseStarted("w" + i);
		}
		for (int i = 0; i < count; i++) {
			gate.requestEnded("w" + i, AdmissionController.CompletionStatus.COMPLETED);
		}
	}

	private static AdmissionRequest request(String id) {
		return AdmissionRequest.of(id, "organisation-1", 100);
	}

}
