package org.wigeontally.emulator.traffic;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

import org.wigeontally.admission.AdmissionDecision;
import org.wigeontally.admission.AdmissionRequest;
import org.wigeontally.retries.AttemptOutcome;
import org.wigeontally.retries.RetryBudget;
import org.wigeontally.retries.RetryPolicy;
import org.wigeontally.routing.BackendChooser;
import org.wigeontally.routing.Candidate;
import org.wigeontally.routing.PrefixAffinity;
import org.wigeontally.routing.RoutingRequest;

/**
 * An entry: the real choice, retries and budgets with a view that lags. Used by one
 * thread.
 */
final class ModelEntry {

	private static final String SERVICE = "assist-llm";

	private static final double REPORT_LAG_MS = 200;

	private static final double RETRY_SHARE = 0.5;

	private static final double RETRIES_SAVED = 10;

	private static final int ATTEMPTS_MAX = 4;

	private static final double MEAN_OUTPUT_TOKENS = 128;

	private static final double PROMPT_COST = 0.05;

	private static final long DEADLINE_MS = 2_000;

	private final int index;

	private final int zone;

	private final VirtualTime time;

	private final UserSize size;

	private final RouteResult result;

	private final BackendChooser chooser;

	private final PrefixAffinity affinity;

	private final RetryPolicy retries = RetryPolicy.create(ATTEMPTS_MAX);

	private final Map<Integer, RetryBudget> budgets = new HashMap<>();

	private final Map<String, ModelAgent> agents = new HashMap<>();

	private final Map<String, View> views = new HashMap<>();

	private Set<Integer> zonesOut = Set.of();

	private long lastDispatch;

	ModelEntry(int index, RouteSetting setting, VirtualTime time, List<ModelAgent> agents, RouteResult result,
			Random random) {
		this.index = index;
		this.zone = index % UserSize.ZONES;
		this.time = time;
		this.size = setting.size();
		this.result = result;
		this.affinity = Policy.affinity();
		this.chooser = setting.policy().chooser("zone-" + this.zone, this.affinity, random);
		for (ModelAgent agent : agents) {
			this.agents.put(agent.host(), agent);
			this.views.put(agent.host(), new View(agent.load(index)));
		}
	}

	void zonesOut(Set<Integer> zones) {
		this.zonesOut = zones;
	}

	boolean out() {
		return this.zonesOut.contains(this.zone);
	}

	void take(ModelRequest request, double sentMs) {
		budget(request).recordRequest();
		attempt(new Call(request, sentMs, choiceOf(request), 1));
	}

	private RoutingRequest choiceOf(ModelRequest request) {
		return RoutingRequest.of(SERVICE).withPrefix(List.of(request.prefix()));
	}

	private void attempt(Call call) {
		Optional<Candidate> choice = this.chooser.choose(call.choice, candidates());
		if (choice.isEmpty()) {
			refuse(call);
			return;
		}
		String host = choice.get().host();
		ModelAgent agent = this.agents.get(host);
		this.views.get(host).inFlight++;
		this.affinity.recordStored(host, call.choice.prefixBlocks());
		double latencyMs = this.size.latencyMs(this.zone, agent.zone());
		AdmissionRequest admission = admission(call);
		Attempt listener = new Attempt(call, agent, latencyMs);
		this.time.after(latencyMs,
				() -> agent.offer(admission, new ModelAgent.Sending(this.index, call.request, listener)));
	}

	private AdmissionRequest admission(Call call) {
		double cost = MEAN_OUTPUT_TOKENS + PROMPT_COST * call.request.promptTokens();
		String id = this.index + "-" + this.lastDispatch++;
		return AdmissionRequest.of(id, "organisation-" + call.request.organisation(), cost)
			.withDeadline((long) call.sentMs + DEADLINE_MS);
	}

	private List<Candidate> candidates() {
		List<Candidate> candidates = new ArrayList<>();
		for (ModelAgent agent : this.agents.values()) {
			if (!this.zonesOut.contains(agent.zone())) {
				candidates.add(candidate(agent, this.views.get(agent.host())));
			}
		}
		return candidates;
	}

	private Candidate candidate(ModelAgent agent, View view) {
		String zoneName = "zone-" + agent.zone();
		return Candidate.of(agent.host(), "region-" + zoneName, zoneName, SERVICE, "v1", view.load.limit())
			.withReport(view.load.running(), view.load.ofEntry(), (long) (this.time.nowMs() - view.atMs))
			.withOwnInFlight(view.inFlight);
	}

	private void hear(ModelAgent agent, double latencyMs) {
		ModelAgent.Load load = agent.load(this.index);
		double madeMs = this.time.nowMs();
		this.time.after(latencyMs + REPORT_LAG_MS, () -> this.views.get(agent.host()).update(load, madeMs));
	}

	private void refuse(Call call) {
		double nowMs = this.time.nowMs();
		double heardMs = nowMs + this.size.clientMs();
		this.result.refused(heardMs, heardMs - call.sentMs);
	}

	private void afterRefusal(Call call, ModelAgent agent) {
		this.views.get(agent.host()).inFlight--;
		long remainingMs = (long) (call.sentMs + DEADLINE_MS - this.time.nowMs());
		boolean again = this.retries
			.decideAfterFailure(AttemptOutcome.NOT_RUN, true, call.attempts, false, remainingMs, budget(call.request))
			.retry();
		if (!again) {
			refuse(call);
			return;
		}
		this.result.retried(this.time.nowMs());
		attempt(new Call(call.request, call.sentMs, call.choice.withTried(agent.host()), call.attempts + 1));
	}

	private RetryBudget budget(ModelRequest request) {
		return this.budgets.computeIfAbsent(request.organisation(),
				(key) -> RetryBudget.create(RETRY_SHARE, RETRIES_SAVED));
	}

	private record Call(ModelRequest request, double sentMs, RoutingRequest choice, int attempts) {

	}

	private static final class View {

		private ModelAgent.Load load;

		private double atMs;

		private int inFlight;

		private View(ModelAgent.Load load) {
			this.load = load;
		}

		private void update(ModelAgent.Load newer, double madeMs) {
			if (madeMs >= this.atMs) {
				this.load = newer;
				this.atMs = madeMs;
			}
		}

	}

	/**
	 * One attempt: carries what the agent says to the entry and the caller.
	 */
	private final class Attempt implements ModelAgent.Listener {

		private final Call call;

		private final ModelAgent agent;

		private final double latencyMs;

		private double firstTokenMs;

		private double lastTokenMs;

		private Attempt(Call call, ModelAgent agent, double latencyMs) {
			this.call = call;
			this.agent = agent;
			this.latencyMs = latencyMs;
		}

		@Override
		public void refused(AdmissionDecision admission) {
			hear(this.agent, this.latencyMs);
			ModelEntry.this.time.after(this.latencyMs, () -> afterRefusal(this.call, this.agent));
		}

		@Override
		public void token(int tokenIndex) {
			double heardMs = heardMs();
			if (tokenIndex == 0) {
				hear(this.agent, this.latencyMs);
				this.firstTokenMs = heardMs - this.call.sentMs;
				ModelEntry.this.result.firstToken(heardMs, this.firstTokenMs);
			}
			else {
				ModelEntry.this.result.betweenTokens(heardMs, heardMs - this.lastTokenMs);
			}
			this.lastTokenMs = heardMs;
		}

		@Override
		public void ended() {
			hear(this.agent, this.latencyMs);
			ModelEntry.this.time.after(this.latencyMs, () -> ModelEntry.this.views.get(this.agent.host()).inFlight--);
			ModelEntry.this.result.completed(heardMs(), this.call.request.organisation(),
					this.firstTokenMs <= RouteRun.FIRST_TOKEN_TARGET_MS);
		}

		private double heardMs() {
			return ModelEntry.this.time.nowMs() + this.latencyMs + ModelEntry.this.size.clientMs();
		}

	}

}
