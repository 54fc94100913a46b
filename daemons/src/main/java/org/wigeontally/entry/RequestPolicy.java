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
 * Combines the policies that an entry applies to a request: which host it is sent to,
 * whether it is retried, and whether its content is harmful. Thread-safe; each thread has
 * its own backend chooser.
 */
final class RequestPolicy {

	private static final int MAX_ATTEMPTS = 4;

	private static final double RETRIES_PER_REQUEST = 0.5;

	private static final double MAX_RETRY_BALANCE = 10;

	private static final int MAX_AFFINITY_BLOCKS = 100_000;

	private final ControlView view;

	private final Clock clock;

	private final BackendLoadTracker loads;

	private final HarmfulRequestTracker harmfulRequests;

	private final EntryMetrics metrics;

	private final RetryPolicy retryPolicy = RetryPolicy.create(MAX_ATTEMPTS);

	private final Map<String, RetryBudget> retryBudgets = new ConcurrentHashMap<>();

	private final ThreadLocal<ThreadRouting> threadRouting = ThreadLocal.withInitial(this::createRouting);

	RequestPolicy(ControlView view, EntryMetrics metrics, Clock clock) {
		this.view = view;
		this.clock = clock;
		this.loads = new BackendLoadTracker(clock);
		this.harmfulRequests = HarmfulRequestTracker.create(clock);
		this.metrics = metrics;
	}

	private ThreadRouting createRouting() {
		PrefixAffinity affinity = PrefixAffinity.create(MAX_AFFINITY_BLOCKS);
		String region = this.view.self().getRegion();
		return new ThreadRouting(affinity,
				LeastLoadedOfFew.create(region, this.view.self().getZone(), affinity, new Random()));
	}

	/**
	 * Chooses the host that a request is sent to.
	 * @param request the routing request
	 * @param hosts eligible hosts
	 * @return the chosen host; empty if no host can serve the request
	 */
	Optional<HostState> choose(RoutingRequest request, List<HostState> hosts) {
		List<Candidate> candidates = new ArrayList<>(hosts.size());
		for (HostState host : hosts) {
			Optional<BackendState> backend = Candidates.findBackend(host, request.service(), request.version());
			backend.ifPresent((state) -> candidates.add(this.loads.candidate(host, state)));
		}
		ThreadRouting routing = this.threadRouting.get();
		Optional<Candidate> chosen = routing.chooser.choose(request, candidates);
		if (chosen.isEmpty()) {
			return Optional.empty();
		}
		String chosenHost = chosen.get().host();
		routing.affinity.recordStored(chosenHost, request.prefixBlocks());
		return hosts.stream().filter((host) -> host.getHost().getHost().equals(chosenHost)).findFirst();
	}

	void recordRequest(CallerRequest request) {
		retryBudget(request).recordRequest();
	}

	boolean shouldRetry(AttemptOutcome outcome, CallerRequest request, int attempts, boolean earlierMayHaveRun) {
		long remainingMs = request.deadlineMs() - this.clock.monotonicMs();
		return this.retryPolicy
			.decideAfterFailure(outcome, request.isIdempotent(), attempts, earlierMayHaveRun, remainingMs,
					retryBudget(request))
			.retry();
	}

	private RetryBudget retryBudget(CallerRequest request) {
		return this.retryBudgets.computeIfAbsent(request.organisation().getName(),
				(name) -> RetryBudget.create(RETRIES_PER_REQUEST, MAX_RETRY_BALANCE));
	}

	Suspicion classify(Fingerprint fingerprint) {
		return this.harmfulRequests.classify(fingerprint);
	}

	void recordSuccess(Fingerprint fingerprint) {
		this.harmfulRequests.recordSuccess(fingerprint);
	}

	BackendLoadTracker loads() {
		return this.loads;
	}

	EntryMetrics metrics() {
		return this.metrics;
	}

	/**
	 * Returns the gRPC service through which other processes exchange summaries of
	 * suspected requests with this entry.
	 * @return the service
	 */
	HarmfulService harmfulService() {
		return new HarmfulService() {

			@Override
			public Future<SuspectSummary> tell(SuspectSummary request) {
				RequestPolicy.this.harmfulRequests.merge(request);
				return Future.succeededFuture(RequestPolicy.this.harmfulRequests.summary());
			}

		};
	}

	/**
	 * Routing state of one thread.
	 */
	private record ThreadRouting(PrefixAffinity affinity, BackendChooser chooser) {

	}

}
