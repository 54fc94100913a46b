package org.wigeontally.gateway;

import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.wigeontally.eventlog.LogEvent;
import org.wigeontally.placement.BackendCandidate;
import org.wigeontally.placement.EngineProfile;
import org.wigeontally.placement.RankDemand;
import org.wigeontally.placement.RankReservation;
import org.wigeontally.placement.Reservation;

/**
 * Slots that are kept from the less urgent requests of services for which streams of
 * different ranks compete. Other services have no state here. Runs on the event loop.
 */
final class RankReservations {

	private final GatewayContext context;

	private final Map<String, ServiceState> services = new HashMap<>();

	RankReservations(GatewayContext context) {
		this.context = context;
	}

	/**
	 * Records a request of a caller, before it is placed for the first time.
	 * @param request the request
	 */
	void recordRequest(CallerRequest request) {
		if (isRanked(request)) {
			state(request).demand.recordRequest(rank(request), this.context.nowMs());
		}
	}

	/**
	 * Returns how many slots of each engine are kept from a request.
	 * @param request the request
	 * @param profile performance profile of the engines
	 * @param candidates engines that can take the request
	 * @return number of slots; 0 if its service has no ranks
	 */
	int reservedSlots(CallerRequest request, EngineProfile profile, List<BackendCandidate> candidates) {
		if (!isRanked(request)) {
			return 0;
		}
		ServiceState state = state(request);
		Reservation reservation = RankReservation.of(profile, state.demand)
			.reserve(rank(request), candidates, this.context.fleet().entryCount(), this.context.nowMs());
		state.record(rank(request), reservation);
		return reservation.slots();
	}

	/**
	 * Records whether a request got its first slot.
	 * @param request the request
	 * @param placement the decision
	 */
	void recordPlacement(CallerRequest request, Placement placement) {
		if (!isRanked(request)) {
			return;
		}
		RankDemand demand = state(request).demand;
		if (placement instanceof Placement.Placed) {
			demand.recordPlacement(rank(request), this.context.nowMs());
		}
		else {
			demand.recordRefusal(rank(request), this.context.nowMs());
		}
	}

	/**
	 * Records a request that this entry refused for good.
	 * @param request the request
	 * @param reason why
	 */
	void recordRefusal(CallerRequest request, String reason) {
		if (isRanked(request)) {
			this.context.metrics().recordRankedRefusal(request.service(), rank(request), reason);
		}
	}

	/**
	 * Publishes the largest reservations since the last call, and logs those that
	 * changed. Called regularly, which limits the log lines.
	 */
	void publish() {
		this.services.keySet().removeIf((service) -> {
			boolean ended = !this.context.fleet().configuration().isRanked(service);
			if (ended) {
				this.services.get(service).publishNone(service);
			}
			return ended;
		});
		this.services.forEach((service, state) -> state.publish(service));
	}

	private boolean isRanked(CallerRequest request) {
		return this.context.fleet().configuration().isRanked(request.service());
	}

	private static int rank(CallerRequest request) {
		return RankDemand.rankOf(request.priority());
	}

	private ServiceState state(CallerRequest request) {
		return this.services.computeIfAbsent(request.service(), (key) -> new ServiceState());
	}

	private final class ServiceState {

		private final RankDemand demand = RankDemand.create();

		private final Reservation[] largest = new Reservation[RankDemand.LAST_RANK + 1];

		private final int[] published = new int[RankDemand.LAST_RANK + 1];

		private ServiceState() {
			reset();
		}

		private void reset() {
			Arrays.fill(this.largest, Reservation.NONE);
		}

		private void record(int rank, Reservation reservation) {
			if (reservation.slots() >= this.largest[rank].slots()) {
				this.largest[rank] = reservation;
			}
		}

		private void publishNone(String service) {
			reset();
			publish(service);
		}

		private void publish(String service) {
			for (int rank = 0; rank < this.largest.length; rank++) {
				Reservation reservation = this.largest[rank];
				if (reservation.slots() != this.published[rank]) {
					RankReservations.this.context.metrics().setReservedSlots(service, rank, reservation.slots());
					RankReservations.this.context.log()
						.write(LogEvent.RANK_RESERVATION, "service", service, "rank", rank, "slots",
								reservation.slots(), "before", this.published[rank], "cause",
								reservation.cause().label());
					this.published[rank] = reservation.slots();
				}
			}
			reset();
		}

	}

}
