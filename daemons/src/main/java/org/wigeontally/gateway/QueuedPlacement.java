package org.wigeontally.gateway;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.wigeontally.fleet.Service;
import org.wigeontally.placement.EngineProfile;

/**
 * Places requests, and lets those wait that find no slot of an engine. Only requests for
 * engines of services with {@code ServiceTraits.isScheduled()} wait; all others are
 * placed or refused at once. Runs on the event loop.
 */
final class QueuedPlacement {

	private final GatewayContext context;

	private final RequestPlacer placer;

	private final QueueMetrics metrics;

	private final Map<String, ServiceQueue> queues = new HashMap<>();

	QueuedPlacement(GatewayContext context, RequestPlacer placer) {
		this.context = context;
		this.placer = placer;
		this.metrics = new QueueMetrics(context.metrics().registry());
		context.onSlotFreed(this::slotFreed);
		context.fleet().onBackendNews(this::backendChanged);
	}

	/**
	 * Places a request.
	 * @param inquiry the request
	 * @return the decision; if it waits, it is told later
	 */
	Placement place(PlacementInquiry inquiry) {
		String serviceName = inquiry.request().service();
		ServiceQueue queue = this.queues.get(serviceName);
		if (queue != null && queue.isTrying(inquiry)) {
			return queue.placeWaiting(inquiry);
		}
		Optional<EngineProfile> engine = scheduledEngine(serviceName);
		if (engine.isEmpty()) {
			return this.placer.place(inquiry.request(), inquiry.triedBackendIds(), inquiry.targetLeftMs(),
					inquiry.deadlineLeftMs());
		}
		return this.queues
			.computeIfAbsent(serviceName, (name) -> new ServiceQueue(this.context, this.placer, this.metrics, name))
			.place(inquiry, engine.get());
	}

	private Optional<EngineProfile> scheduledEngine(String serviceName) {
		Service service = this.context.fleet().service(serviceName);
		return (service != null && this.context.traits(serviceName).isScheduled()) ? service.engine()
				: Optional.empty();
	}

	/**
	 * Places a request a second time while its first attempt is silent. It does not wait.
	 * @param inquiry the request
	 * @return where it is sent; empty if no backend server is fit and has a place
	 */
	Optional<Placement.Placed> placeSuccessor(PlacementInquiry inquiry) {
		return this.placer.placeSuccessor(inquiry.request(), inquiry.triedBackendIds(), inquiry.targetLeftMs(),
				inquiry.deadlineLeftMs());
	}

	/**
	 * Ends the wait of a request that has ended. Nothing happens if it does not wait.
	 * @param inquiry the request
	 */
	void leave(PlacementInquiry inquiry) {
		ServiceQueue queue = this.queues.get(inquiry.request().service());
		if (queue != null) {
			queue.leave(inquiry);
		}
	}

	private void slotFreed(String service) {
		ServiceQueue queue = this.queues.get(service);
		if (queue != null) {
			queue.scheduleWake();
		}
	}

	// Reports are frequent, so those that show no slot wake nobody.
	private void backendChanged(Backend backend) {
		ServiceQueue queue = this.queues.get(backend.record().service());
		if (queue == null || queue.isEmpty()) {
			return;
		}
		Service service = this.context.fleet().service(backend.record().service());
		int slots = (service != null) ? service.engine().map(EngineProfile::batchSlots).orElse(0) : 0;
		if (backend.load().estimatedRequests(this.context.nowMs(), this.context.fleet().entryCount()) < slots) {
			queue.scheduleWake();
		}
	}

}
