package org.wigeontally.agent;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;

import io.vertx.core.Vertx;
import io.vertx.ext.web.Router;

import org.wigeontally.control.ControlView;
import org.wigeontally.misc.Clock;
import org.wigeontally.misc.Closer;
import org.wigeontally.schema.generated.Address;
import org.wigeontally.schema.generated.AgentSettings;
import org.wigeontally.schema.generated.BackendState;
import org.wigeontally.schema.generated.Bundle;
import org.wigeontally.schema.generated.HostIdentity;
import org.wigeontally.schema.generated.Model;
import org.wigeontally.schema.generated.Service;
import org.wigeontally.schema.generated.VersionProgress;
import org.wigeontally.spread.ByteFetcher;
import org.wigeontally.spread.HttpOriginClient;
import org.wigeontally.spread.UploadTransport;
import org.wigeontally.spread.WeightNode;
import org.wigeontally.spread.WeightSettings;

/**
 * Fetches the models of the active bundle for the engines of this host, orders the
 * engines to load them, and adds the progress of the versions to the published state of
 * the backend servers.
 */
final class ModelDistributor implements AutoCloseable {

	private static final long CHECK_INTERVAL_MS = 500;

	private final ControlView view;

	private final List<BackendLink> links;

	private final WeightNode weightNode;

	private final Map<BackendLink, EngineLoadController> loadControllers = new ConcurrentHashMap<>();

	private final Function<BackendLink, EngineLoadController> createLoadController;

	private final Closer closer = Closer.create();

	private ModelDistributor(ControlView view, List<BackendLink> links, WeightNode weightNode,
			Function<BackendLink, EngineLoadController> createLoadController) {
		this.view = view;
		this.links = links;
		this.weightNode = this.closer.add(weightNode);
		this.createLoadController = createLoadController;
	}

	/**
	 * Starts the distributor if model distribution is configured.
	 * @param vertx the Vert.x instance
	 * @param settings settings of the agent
	 * @param view view of the configuration and the hosts
	 * @param links backend servers of the host
	 * @param clock source of time
	 * @return the running distributor; empty if the settings have no origin or no memory
	 * for chunks
	 */
	static Optional<ModelDistributor> start(Vertx vertx, AgentSettings settings, ControlView view,
			List<BackendLink> links, Clock clock) {
		if (!settings.getPlatform().hasOrigin() || settings.getChunkMemoryMb() == 0) {
			return Optional.empty();
		}
		HostIdentity self = view.self();
		ByteFetcher fetcher = ByteFetcher.create(vertx, self);
		List<Address> sources = new ArrayList<>(List.of(settings.getPlatform().getOrigin()));
		if (settings.getPlatform().hasStore()) {
			sources.add(settings.getPlatform().getStore());
		}
		WeightSettings weightSettings = new WeightSettings(self, "", settings.getChunkMemoryMb(),
				settings.getWeightLinkKbps(), Map.of(), UploadTransport.DIRECT);
		WeightNode weightNode = WeightNode.start(vertx, weightSettings, view::hosts,
				HttpOriginClient.create(fetcher, sources), clock, self.getHost().hashCode());
		ModelDistributor distributor = new ModelDistributor(view, links, weightNode,
				(link) -> EngineLoadController.create(link, view, weightNode, clock));
		distributor.closer.add(fetcher);
		long timer = vertx.setPeriodic(1, CHECK_INTERVAL_MS, (id) -> distributor.checkModels());
		distributor.closer.add(() -> vertx.cancelTimer(timer));
		return Optional.of(distributor);
	}

	private void checkModels() {
		Bundle bundle = this.view.configuration().bundle().orElse(Bundle.getDefaultInstance());
		for (BackendLink link : this.links) {
			Model model = findModel(bundle, link.settings().getService());
			if (!link.isEngine() || model.getManifest().isEmpty()) {
				continue;
			}
			this.weightNode.fetchVersion(model);
			this.loadControllers.computeIfAbsent(link, (each) -> this.createLoadController.apply(each))
				.reconcile(model);
			if (link.state().getUp() && link.state().getVersion().equals(model.getVersion())) {
				this.weightNode.markServing(model.getName(), model.getVersion());
			}
		}
	}

	private static Model findModel(Bundle bundle, String serviceName) {
		for (Service service : bundle.getServicesList()) {
			for (Model model : bundle.getModelsList()) {
				if (service.getName().equals(serviceName) && service.getModel().equals(model.getName())) {
					return model;
				}
			}
		}
		return Model.getDefaultInstance();
	}

	/**
	 * Adds the progress of all versions on this host to the state of a backend server.
	 * @param state state of a backend server
	 * @return the state with progress
	 */
	BackendState withProgress(BackendState state) {
		BackendState.Builder builder = state.toBuilder().clearProgress();
		for (VersionProgress progress : this.weightNode.progress()) {
			builder.addProgress(withEnginePhase(state.getService(), progress));
		}
		return builder.build();
	}

	private VersionProgress withEnginePhase(String service, VersionProgress progress) {
		for (Map.Entry<BackendLink, EngineLoadController> entry : this.loadControllers.entrySet()) {
			if (entry.getKey().settings().getService().equals(service)) {
				return entry.getValue().withEnginePhase(progress);
			}
		}
		return progress;
	}

	/**
	 * Returns the routes through which peers fetch chunks from this host.
	 * @return the router
	 */
	Router router() {
		return this.weightNode.router();
	}

	@Override
	public void close() throws Exception {
		this.closer.close();
	}

}
