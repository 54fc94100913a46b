package org.wigeontally.agent;

import java.util.Optional;
import java.util.Random;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.wigeontally.control.ControlView;
import org.wigeontally.errors.ErrorType;
import org.wigeontally.misc.Clock;
import org.wigeontally.orders.EngineReconciler;
import org.wigeontally.orders.EngineState;
import org.wigeontally.orders.Order;
import org.wigeontally.orders.OrderResult;
import org.wigeontally.orders.OrderStep;
import org.wigeontally.schema.generated.BackendState;
import org.wigeontally.schema.generated.Model;
import org.wigeontally.schema.generated.VersionPhase;
import org.wigeontally.schema.generated.VersionProgress;
import org.wigeontally.spread.WeightLoader;
import org.wigeontally.spread.WeightNode;
import org.wigeontally.weights.Activation;
import org.wigeontally.weights.RolloutPlan;
import org.wigeontally.weights.VerifiedWeights;
import org.wigeontally.weights.WeightsException;

/**
 * Orders one engine to load the version in force. {@link Activation} says when a load is
 * due, {@link EngineReconciler} whether an order may be sent without a late one of before
 * doing harm, {@link RolloutPlan} when the turn of this availability zone has come. What
 * the engine runs is only ever taken from its own reports that were asked for after the
 * last order ended. Runs on the context of the agent's timers; {@link #withPhase} may be
 * called from any thread.
 */
final class EngineOrders {

	private static final Logger logger = LoggerFactory.getLogger(EngineOrders.class);

	private static final String NO_ROLE = "";

	private final BackendLink link;

	private final ControlView view;

	private final WeightNode node;

	private final WeightLoader loader;

	private final Clock clock;

	private final Activation activation;

	private EngineReconciler ledger;

	private long endedMs = Long.MIN_VALUE;

	private volatile VersionProgress phase = VersionProgress.getDefaultInstance();

	private EngineOrders(BackendLink link, ControlView view, WeightNode node, Clock clock) {
		this.link = link;
		this.view = view;
		this.node = node;
		this.loader = new WeightLoader(link.client());
		this.clock = clock;
		this.activation = Activation.create(new Random(link.settings().hashCode()));
	}

	static EngineOrders create(BackendLink link, ControlView view, WeightNode node, Clock clock) {
		return new EngineOrders(link, view, node, clock);
	}

	/**
	 * Takes the next step towards a version.
	 * @param model the model and its version in force
	 */
	void check(Model model) {
		if (!hasLedger()) {
			return;
		}
		Optional<VerifiedWeights> weights = this.node.verified(model.getName(), model.getVersion());
		String base = weights.map((whole) -> whole.manifest().getBase()).orElse("");
		this.activation.setTarget(new Activation.Target(model.getName(), model.getVersion(), base));
		boolean mayLoad = RolloutPlan.mayLoad(this.view.hosts(), this.link.settings().getService(), model.getName(),
				model.getVersion(), this.view.self().getZone());
		this.activation.updateReadiness(model.getVersion(), weights.isPresent(), mayLoad);
		observe();
		Optional<Activation.Target> due = this.activation.nextOrder(this.link.state().getVersion(),
				this.clock.monotonicMs());
		if (due.isPresent()) {
			order(model, weights.orElseThrow());
		}
		this.phase = VersionProgress.newBuilder()
			.setModel(model.getName())
			.setVersion(model.getVersion())
			.setPhase(this.activation.phase())
			.build();
	}

	private boolean hasLedger() {
		long incarnation = this.view.self().getIncarnation();
		if (this.ledger == null && incarnation > 0) {
			this.ledger = EngineReconciler.create(incarnation, this.link.settings().getChecksFence(), this.clock);
		}
		return this.ledger != null;
	}

	private void observe() {
		BackendState state = this.link.state();
		if (!state.getUp()) {
			this.activation.engineUnreachable();
			return;
		}
		if (this.link.reportAskedMs() > this.endedMs) {
			this.activation.engineReported(state.getVersion());
			this.ledger.recordObservedState(new EngineState(state.getVersion(), NO_ROLE), this.link.reportAskedMs());
		}
	}

	private void order(Model model, VerifiedWeights weights) {
		OrderStep step = this.ledger.nextStep(new EngineState(model.getVersion(), NO_ROLE));
		if (!(step instanceof OrderStep.SendOrder give)) {
			this.activation.orderDeferred();
			return;
		}
		Order order = give.order();
		if (!this.ledger.maySend(order)) {
			ended(OrderResult.FAILED);
			return;
		}
		logger.info("agent: {} is ordered to load version {}, {} bytes", this.link.settings().getService(),
				model.getVersion(), weights.totalBytes());
		this.loader.load(this.link.settings().getAddress(), order.fence(), weights)
			.onSuccess((done) -> loaded(model))
			.onFailure((cause) -> failed(model, cause));
	}

	private void loaded(Model model) {
		logger.info("agent: {} took version {}", this.link.settings().getService(), model.getVersion());
		ended(OrderResult.DONE);
	}

	private void failed(Model model, Throwable cause) {
		logger.warn("agent: {} did not load version {}: {}", this.link.settings().getService(), model.getVersion(),
				cause.getMessage());
		if (!(cause instanceof WeightsException refused)) {
			ended(OrderResult.NO_REPLY);
			return;
		}
		ended((refused.type() == ErrorType.ORDER_FENCED) ? OrderResult.STALE_FENCE : OrderResult.FAILED);
	}

	private void ended(OrderResult result) {
		this.endedMs = this.clock.monotonicMs();
		this.ledger.recordResult(result);
		this.activation.orderEnded(result == OrderResult.DONE, this.endedMs);
	}

	/**
	 * Adds how far the engine is to the progress of a version on this host.
	 * @param progress progress of the chunks
	 * @return the progress, with the engine's phase if it is about the version in force
	 */
	VersionProgress withPhase(VersionProgress progress) {
		VersionProgress now = this.phase;
		boolean sameVersion = now.getModel().equals(progress.getModel())
				&& now.getVersion().equals(progress.getVersion());
		boolean engineHasIt = now.getPhase().getNumber() > VersionPhase.VERIFIED.getNumber();
		return (sameVersion && engineHasIt) ? progress.toBuilder().setPhase(now.getPhase()).build() : progress;
	}

}
