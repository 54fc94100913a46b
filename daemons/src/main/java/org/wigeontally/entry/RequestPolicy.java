package org.wigeontally.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;

import io.vertx.core.Future;

import org.wigeontally.control.ControlView;
import org.wigeontally.harmful.Fingerprint;
import org.wigeontally.harmful.HarmfulRequestTracker;
import org.wigeontally.harmful.Suspicion;
import org.wigeontally.metrics.EntryMetrics;
import org.wigeontally.misc.Clock;
import org.wigeontally.retries.AttemptOutcome;
import org.wigeontally.retries.RetryBudget;
import org.wigeontally.retries.RetryPolicy;
import org.wigeontally.routing.BackendChooser;
import org.wigeontally.routing.Candidate;
import org.wigeontally.routing.LeastLoadedOfFew;
import org.wigeontally.routing.PrefixAffinity;
import org.wigeontally.routing.RoutingRequest;
import org.wigeontally.schema.generated.BackendState;
import org.wigeontally.schema.generated.HarmfulService;
import org.wigeontally.schema.generated.HostState;
import org.wigeontally.schema.generated.SuspectSummary;

/**
 * The decisions on a request at the entry, put together: where it goes, whether it is
 * tried again, whether its content is harmful. Safe for use by several threads; each
 * thread has a chooser of its own.
 */
final class RequestPolicy {

	private static final int ATTEMPTS_MAX = 4;

	private static final double RETRY_SHARE = 0.5;

	private static final double RETRIES_SAVED = 10;

	private static final int AFFINITY_BLOCKS = 100_000;

	private final ControlView view;

	private final Clock clock;

	private final BackendLoads loads;

	private final HarmfulRequestTracker harmful;

	private final EntryMetrics metrics;

	private final RetryPolicy retries = RetryPolicy.create(ATTEMPTS_MAX);

	private final Map<String, RetryBudget> budgets = new ConcurrentHashMap<>();

	private final ThreadLocal<Choice> choices = ThreadLocal.withInitial(this::choice);

	RequestPolicy(ControlView view, EntryMetrics metrics, Clock clock) {
		this.view = view;
		this.clock = clock;
		this.loads = new BackendLoads(clock);
		this.harmful = HarmfulRequestTracker.create(clock);
		this.metrics = metrics;
	}

	private Choice choice() {
		PrefixAffinity affinity = PrefixAffinity.create(AFFINITY_BLOCKS);
		String region = this.view.self().getRegion();
		return new Choice(affinity,
				LeastLoadedOfFew.create(region, this.view.self().getZone(), affinity, new Random()));
	}

	/**
	 * Chooses a host.
	 * @param request what is asked for
	 * @param hosts hosts that may get it
	 * @return the choice, if there is one
	 */
	Optional<HostState> choose(RoutingRequest request, List<HostState> hosts) {
		List<Candidate> candidates = new ArrayList<>(hosts.size());
		for (HostState host : hosts) {
			Optional<BackendState> backend = Candidates.backend(host, request.service(), request.version());
			backend.ifPresent((state) -> candidates.add(this.loads.candidate(host, state)));
		}
		Choice choice = this.choices.get();
		Optional<Candidate> chosen = choice.chooser.choose(request, candidates);
		if (chosen.isEmpty()) {
			return Optional.empty();
		}
		String name = chosen.get().host();
		choice.affinity.recordStored(name, request.prefixBlocks());
		return hosts.stream().filter((host) -> host.getHost().getHost().equals(name)).findFirst();
	}

	void arrived(CallerRequest request) {
		budget(request).recordRequest();
	}

	boolean retry(AttemptOutcome outcome, CallerRequest request, int attempts, boolean mayHaveRun) {
		long leftMs = request.deadlineMs() - this.clock.monotonicMs();
		return this.retries
			.decideAfterFailure(outcome, request.repeatable(), attempts, mayHaveRun, leftMs, budget(request))
			.retry();
	}

	private RetryBudget budget(CallerRequest request) {
		return this.budgets.computeIfAbsent(request.organisation().getName(),
				(name) -> RetryBudget.create(RETRY_SHARE, RETRIES_SAVED));
	}

	Suspicion judge(Fingerprint fingerprint) {
		return this.harmful.classify(fingerprint);
	}

	void succeeded(Fingerprint fingerprint) {
		this.harmful.recordSuccess(fingerprint);
	}

	BackendLoads loads() {
		return this.loads;
	}

	EntryMetrics metrics() {
		return this.metrics;
	}

	/**
	 * Returns the service by which other processes tell what they suspect.
	 * @return the service
	 */
	HarmfulService harmfulService() {
		return new HarmfulService() {

			@Override
			public Future<SuspectSummary> tell(SuspectSummary request) {
				RequestPolicy.this.harmful.merge(request);
				return Future.succeededFuture(RequestPolicy.this.harmful.summary());
			}

		};
	}

	/**
	 * What one thread chooses with.
	 */
	private record Choice(PrefixAffinity affinity, BackendChooser chooser) {

	}

}
