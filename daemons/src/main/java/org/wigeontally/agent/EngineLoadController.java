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
 * Orders one engine to load the active version of its model. {@link Activation} decides
 * when a load is due, {@link RolloutPlan} when the rollout reaches this availability
 * zone, and {@link EngineReconciler} when an order may be sent without the risk that an
 * earlier, delayed order takes effect after it. The version that the engine runs is taken
 * only from load reports that were requested after the last order ended, because an
 * earlier report may show the state before the order. Runs on the context of the agent's
 * timers; {@link #withEnginePhase} may be called from any thread.
 */
final class EngineLoadController {

	private static final Logger logger = LoggerFactory.getLogger(EngineLoadController.class);

	private static final String NO_ROLE = "";

	private final BackendLink link;

	private final ControlView view;

	private final WeightNode weightNode;

	private final WeightLoader loader;

	private final Clock clock;

	private final Activation activation;

	private EngineReconciler reconciler;

	private long lastOrderEndedMs = Long.MIN_VALUE;

	private volatile VersionProgress versionProgress = VersionProgress.getDefaultInstance();

	private EngineLoadController(BackendLink link, ControlView view, WeightNode weightNode, Clock clock) {
		this.link = link;
		this.view = view;
		this.weightNode = weightNode;
		this.loader = new WeightLoader(link.client());
		this.clock = clock;
		this.activation = Activation.create(new Random(link.settings().hashCode()));
	}

	static EngineLoadController create(BackendLink link, ControlView view, WeightNode weightNode, Clock clock) {
		return new EngineLoadController(link, view, weightNode, clock);
	}

	/**
	 * Sends a load order if one is due and updates the reported phase.
	 * @param model the model with its active version
	 */
	void reconcile(Model model) {
		if (!ensureReconciler()) {
			return;
		}
		Optional<VerifiedWeights> weights = this.weightNode.verifiedWeights(model.getName(), model.getVersion());
		String base = weights.map((verified) -> verified.manifest().getBase()).orElse("");
		this.activation.setTarget(new Activation.Target(model.getName(), model.getVersion(), base));
		boolean mayLoad = RolloutPlan.mayLoad(this.view.hosts(), this.link.settings().getService(), model.getName(),
				model.getVersion(), this.view.self().getZone());
		this.activation.updateReadiness(model.getVersion(), weights.isPresent(), mayLoad);
		observeEngine();
		Optional<Activation.Target> due = this.activation.nextOrder(this.link.state().getVersion(),
				this.clock.monotonicMs());
		if (due.isPresent()) {
			sendLoadOrder(model, weights.orElseThrow());
		}
		this.versionProgress = VersionProgress.newBuilder()
			.setModel(model.getName())
			.setVersion(model.getVersion())
			.setPhase(this.activation.phase())
			.build();
	}

	private boolean ensureReconciler() {
		long incarnation = this.view.self().getIncarnation();
		if (this.reconciler == null && incarnation > 0) {
			this.reconciler = EngineReconciler.create(incarnation, this.link.settings().getChecksFence(), this.clock);
		}
		return this.reconciler != null;
	}

	private void observeEngine() {
		BackendState state = this.link.state();
		if (!state.getUp()) {
			this.activation.engineUnreachable();
			return;
		}
		if (this.link.reportRequestedMs() > this.lastOrderEndedMs) {
			this.activation.engineReported(state.getVersion());
			this.reconciler.recordObservedState(new EngineState(state.getVersion(), NO_ROLE),
					this.link.reportRequestedMs());
		}
	}

	private void sendLoadOrder(Model model, VerifiedWeights weights) {
		OrderStep step = this.reconciler.nextStep(new EngineState(model.getVersion(), NO_ROLE));
		if (!(step instanceof OrderStep.SendOrder send)) {
			this.activation.orderDeferred();
			return;
		}
		Order order = send.order();
		if (!this.reconciler.maySend(order)) {
			orderEnded(OrderResult.FAILED);
			return;
		}
		logger.info("agent: ordering {} to load version {}, {} bytes", this.link.settings().getService(),
				model.getVersion(), weights.totalBytes());
		this.loader.load(this.link.settings().getAddress(), order.fence(), weights)
			.onSuccess((done) -> loadSucceeded(model))
			.onFailure((cause) -> loadFailed(model, cause));
	}

	private void loadSucceeded(Model model) {
		logger.info("agent: {} loaded version {}", this.link.settings().getService(), model.getVersion());
		orderEnded(OrderResult.DONE);
	}

	private void loadFailed(Model model, Throwable cause) {
		logger.warn("agent: {} failed to load version {}: {}", this.link.settings().getService(), model.getVersion(),
				cause.getMessage());
		if (!(cause instanceof WeightsException weightsException)) {
			orderEnded(OrderResult.NO_REPLY);
			return;
		}
		orderEnded((weightsException.type() == ErrorType.ORDER_FENCED) ? OrderResult.STALE_FENCE : OrderResult.FAILED);
	}

	private void orderEnded(OrderResult result) {
		this.lastOrderEndedMs = this.clock.monotonicMs();
		this.reconciler.recordResult(result);
		this.activation.orderEnded(result == OrderResult.DONE, this.lastOrderEndedMs);
	}

	/**
	 * Adds the engine's load phase to the progress of a version on this host.
	 * @param progress progress of fetching the version's chunks
	 * @return the progress, with the engine's phase if the engine is past
	 * {@link VersionPhase#VERIFIED} for the same version
	 */
	VersionProgress withEnginePhase(VersionProgress progress) {
		VersionProgress current = this.versionProgress;
		boolean sameVersion = current.getModel().equals(progress.getModel())
				&& current.getVersion().equals(progress.getVersion());
		boolean isPastVerified = current.getPhase().getNumber() > VersionPhase.VERIFIED.getNumber();
		return (sameVersion && isPastVerified) ? progress.toBuilder().setPhase(current.getPhase()).build() : progress;
	}

}
