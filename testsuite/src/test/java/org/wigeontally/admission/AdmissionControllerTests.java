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
	 * Guards against exceeding the cold capacity when nine entries send requests without
	 * coordination. Fails if the controller admits a request while the number of running
	 * requests is less than or equal to the limit, instead of less than the limit.
	 */
	@Test
	public void nineEntriesNeverExceedTheColdCapacity() {
		AdmissionController controller = createController(WarmupState.COLD);
		Set<String> running = new HashSet<>();
		int ran = 0;
		for (int i = 0; i < 5_000; i++) {
			this.clock.advance(this.random.nextInt(5));
			addStarted(running, List.of(controller.offer(request("e" + i % 9 + "-" + i))));
			assertThat(running.size()).isLessThanOrEqualTo(2);
			if (!running.isEmpty() && this.random.nextInt(8) == 0) {
				String id = running.iterator().next();
				running.remove(id);
				ran++;
				addStarted(running, controller.responseStarted(id));
				addStarted(running, controller.requestEnded(id, AdmissionController.CompletionStatus.COMPLETED));
			}
			assertThat(running.size()).isLessThanOrEqualTo(2);
		}
		assertThat(ran).isGreaterThan(500);
	}

	/**
	 * Guards against exceeding the cold capacity when the agent restarts repeatedly while
	 * its requests continue at the engine, whose reports lag by 500 ms. Fails if the
	 * first report is applied regardless of the time that it describes, or if inherited
	 * requests are not counted.
	 */
	@Test
	public void restartedAgentCountsRequestsStillRunning() {
		Set<String> atEngine = new HashSet<>();
		List<Integer> runningHistory = new ArrayList<>();
		AdmissionController controller = AdmissionController.create(LIMITS, this.clock, this.random);
		int admitted = 0;
		for (int i = 0; i < 20_000; i++) {
			this.clock.advance(10);
			runningHistory.add(atEngine.size());
			if (i % 20 == 0 && i > 50) {
				long asOfMs = this.clock.monotonicMs() - 500;
				addStarted(atEngine,
						controller.applyReport(new EngineReport(runningHistory.get(i - 50), WarmupState.COLD, asOfMs)));
			}
			if (this.random.nextInt(300) == 0) {
				controller = AdmissionController.create(LIMITS, this.clock, this.random);
			}
			AdmissionDecision decision = controller.offer(request("q" + i));
			admitted += (decision.verdict() == Verdict.RUN) ? 1 : 0;
			addStarted(atEngine, List.of(decision));
			assertThat(atEngine.size()).isLessThanOrEqualTo(2);
			if (!atEngine.isEmpty() && this.random.nextInt(100) == 0) {
				String id = atEngine.iterator().next();
				atEngine.remove(id);
				addStarted(atEngine, controller.requestEnded(id, AdmissionController.CompletionStatus.COMPLETED));
			}
		}
		assertThat(admitted).isGreaterThan(20);
	}

	/**
	 * Guards against sending more requests to a backend server that becomes cold without
	 * reporting it. Fails if outstanding requests are not checked for excessive latency.
	 */
	@Test
	public void silentColdStartIsDetectedBeforeFirstResponse() {
		AdmissionController controller = createWarmController(100);
		controller.offer(request("slow-1"));
		controller.offer(request("slow-2"));
		this.clock.advance(4 * 100 + 51);
		assertThat(controller.offer(request("next")).verdict()).isNotEqualTo(Verdict.RUN);
		assertThat(controller.limit()).isEqualTo(2);
		assertThat(controller.isCold()).isTrue();
		assertThat(controller.requestEnded("slow-1", AdmissionController.CompletionStatus.COMPLETED))
			.extracting(AdmissionDecision::verdict)
			.containsExactly(Verdict.RUN);
		assertThat(controller.offer(request("more")).verdict()).isNotEqualTo(Verdict.RUN);
	}

	@Test
	public void limitGrowsOnTimelyResponsesNotElapsedTime() {
		AdmissionController controller = createController(WarmupState.UNKNOWN);
		this.clock.advance(3_600_000);
		assertThat(controller.limit()).isEqualTo(2);
		runConcurrently(controller, 2, 100);
		assertThat(controller.limit()).isEqualTo(4);
		runConcurrently(controller, 4, 1_000);
		assertThat(controller.limit()).isEqualTo(4);
		runConcurrently(controller, 4, 100);
		assertThat(controller.limit()).isEqualTo(8);
		controller.applyReport(new EngineReport(0, WarmupState.COLD, this.clock.monotonicMs()));
		assertThat(controller.limit()).isEqualTo(2);
	}

	/**
	 * Guards against a limit that stops growing while streams stay open: only the new
	 * slots can produce responses. Fails if each increase requires as many timely
	 * responses as the whole limit.
	 */
	@Test
	public void limitGrowsWhileLongStreamsStayOpen() {
		AdmissionController controller = createController(WarmupState.WARM);
		for (int i = 0; i < 16; i++) {
			assertThat(controller.offer(request("s" + i)).verdict()).isEqualTo(Verdict.RUN);
			this.clock.advance(100);
			controller.responseStarted("s" + i);
		}
		assertThat(controller.limit()).isEqualTo(16);
	}

	@Test
	public void deadlineIsCheckedBeforeDispatch() {
		AdmissionController controller = createController(WarmupState.COLD);
		controller.offer(request("a"));
		controller.offer(request("b"));
		AdmissionRequest late = request("c").withDeadline(this.clock.monotonicMs() + 100);
		assertThat(controller.offer(late).verdict()).isEqualTo(Verdict.QUEUED);
		this.clock.advance(100);
		List<AdmissionDecision> decisions = controller.requestEnded("a",
				AdmissionController.CompletionStatus.COMPLETED);
		assertThat(decisions).extracting(AdmissionDecision::reason).containsExactly(ErrorType.DEADLINE);
		assertThat(controller.offer(late).reason()).isEqualTo(ErrorType.DEADLINE);
	}

	@Test
	public void higherPriorityLeavesTheQueueFirst() {
		AdmissionController controller = createController(WarmupState.COLD);
		controller.offer(request("a"));
		controller.offer(request("b"));
		controller.offer(request("low"));
		controller.offer(request("high").withPriority(1));
		assertThat(controller.requestEnded("a", AdmissionController.CompletionStatus.COMPLETED))
			.extracting((decision) -> decision.request().id())
			.containsExactly("high");
	}

	/**
	 * Guards against starvation of small organisations. One organisation offers ten times
	 * the capacity of the backend server, nine small ones together offer half of it, and
	 * every refusal happens on arrival. Fails if the virtual time is set to the start tag
	 * of the request in service, as in plain start-time fair queueing.
	 */
	@Test
	public void oneLargeOrganisationDoesNotStarveNineSmall() {
		AdmissionController controller = createWarmController(1_000);
		Map<Long, List<String>> endingIdsByMs = new HashMap<>();
		int[] offered = new int[10];
		int[] ran = new int[10];
		for (int ms = 0; ms < 200_000; ms++) {
			this.clock.advance(1);
			for (String id : endingIdsByMs.getOrDefault(this.clock.monotonicMs(), List.of())) {
				controller.responseStarted(id).forEach((decision) -> scheduleEndIfRun(decision, ran, endingIdsByMs));
				controller.requestEnded(id, AdmissionController.CompletionStatus.COMPLETED)
					.forEach((decision) -> scheduleEndIfRun(decision, ran, endingIdsByMs));
			}
			int draw = this.random.nextInt(1_000);
			if (draw < 160 + 8) {
				int organisation = (draw < 160) ? 0 : 1 + this.random.nextInt(9);
				offered[organisation]++;
				AdmissionDecision decision = controller
					.offer(AdmissionRequest.of("q" + ms, "organisation-" + organisation, 100));
				assertThat(decision.waitedMs()).isZero();
				scheduleEndIfRun(decision, ran, endingIdsByMs);
			}
		}
		for (int organisation = 1; organisation < 10; organisation++) {
			assertThat((double) ran[organisation] / offered[organisation]).isGreaterThan(0.95);
		}
		assertThat(ran[0]).isGreaterThan(1_000);
	}

	@Test
	public void closingKeepsAdmittedRequests() {
		AdmissionController controller = createController(WarmupState.COLD);
		controller.offer(request("a"));
		controller.offer(request("b"));
		controller.offer(request("waiting"));
		controller.startDraining();
		assertThat(controller.offer(request("new")).reason()).isEqualTo(ErrorType.NOT_SERVING);
		assertThat(controller.requestEnded("a", AdmissionController.CompletionStatus.COMPLETED))
			.extracting(AdmissionDecision::verdict)
			.containsExactly(Verdict.RUN);
		assertThat(controller.runningIds()).containsExactlyInAnyOrder("b", "waiting");
	}

	@Test
	public void suspectsRunOneAtATime() {
		AdmissionController controller = createWarmController(100);
		assertThat(controller.offer(request("s1").asSuspect()).verdict()).isEqualTo(Verdict.RUN);
		assertThat(controller.offer(request("s2").asSuspect()).verdict()).isEqualTo(Verdict.REFUSED);
		assertThat(controller.offer(request("innocent")).verdict()).isEqualTo(Verdict.RUN);
		controller.requestEnded("s1", AdmissionController.CompletionStatus.COMPLETED);
		assertThat(controller.offer(request("s2").asSuspect()).verdict()).isEqualTo(Verdict.RUN);
	}

	@Test
	public void timesToRetryAreSpread() {
		AdmissionController controller = AdmissionController.create(LIMITS, this.clock, this.random);
		Set<Long> retryDelaysMs = new HashSet<>();
		for (int i = 0; i < 100; i++) {
			retryDelaysMs.add(controller.offer(request("q" + i)).retryAfterMs());
		}
		assertThat(retryDelaysMs).hasSizeGreaterThan(50).allMatch((ms) -> ms >= 200 && ms <= 20_000);
	}

	private void scheduleEndIfRun(AdmissionDecision decision, int[] ran, Map<Long, List<String>> endingIdsByMs) {
		if (decision.verdict() == Verdict.RUN) {
			ran[Integer.parseInt(decision.request().organisation().substring("organisation-".length()))]++;
			long endMs = this.clock.monotonicMs() + 500 + this.random.nextInt(1_000);
			endingIdsByMs.computeIfAbsent(endMs, (key) -> new ArrayList<>()).add(decision.request().id());
		}
	}

	private static void addStarted(Set<String> running, List<AdmissionDecision> decisions) {
		for (AdmissionDecision decision : decisions) {
			if (decision.verdict() == Verdict.RUN) {
				running.add(decision.request().id());
			}
		}
	}

	private AdmissionController createController(WarmupState state) {
		AdmissionController controller = AdmissionController.create(LIMITS, this.clock, this.random);
		controller.applyReport(new EngineReport(0, state, this.clock.monotonicMs()));
		return controller;
	}

	private AdmissionController createWarmController(long responseTimeMs) {
		AdmissionController controller = createController(WarmupState.UNKNOWN);
		for (int concurrency = 2; concurrency <= 16; concurrency *= 2) {
			runConcurrently(controller, concurrency, responseTimeMs);
		}
		assertThat(controller.limit()).isEqualTo(16);
		return controller;
	}

	private void runConcurrently(AdmissionController controller, int count, long responseTimeMs) {
		for (int i = 0; i < count; i++) {
			assertThat(controller.offer(request("w" + i)).verdict()).isEqualTo(Verdict.RUN);
		}
		this.clock.advance(responseTimeMs);
		for (int i = 0; i < count; i++) {
			controller.responseStarted("w" + i);
		}
		for (int i = 0; i < count; i++) {
			controller.requestEnded("w" + i, AdmissionController.CompletionStatus.COMPLETED);
		}
	}

	private static AdmissionRequest request(String id) {
		return AdmissionRequest.of(id, "organisation-1", 100);
	}

}
