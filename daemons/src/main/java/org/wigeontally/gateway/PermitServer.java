package org.wigeontally.gateway;

import java.util.List;

import org.wigeontally.fleet.EntryTable;
import org.wigeontally.limits.PermitCoordination;
import org.wigeontally.limits.PermitGrant;
import org.wigeontally.schema.generated.EntryNews;
import org.wigeontally.schema.generated.LimitedBackend;
import org.wigeontally.schema.generated.PermitReply;
import org.wigeontally.schema.generated.PermitRequest;
import org.wigeontally.settings.Addresses;

/**
 * Issues permits for the limited backend servers that this entry coordinates. Runs on the
 * event loop.
 */
final class PermitServer {

	private final GatewayContext context;

	private final EntryTable entries;

	private final long startedAtMs;

	PermitServer(GatewayContext context, EntryTable entries) {
		this.context = context;
		this.entries = entries;
		this.startedAtMs = context.nowMs();
	}

	/**
	 * Returns the entry that issues the permits for a backend server, in this entry's
	 * view.
	 * @param backend the backend server
	 * @return its last message
	 */
	EntryNews coordinator(Backend backend) {
		String region = this.context.fleet().region(backend.record().zone());
		return PermitCoordination.coordinator(backend.record().id(), region, ownNews(),
				this.entries.liveEntries(this.context.nowMs()));
	}

	boolean isCoordinator(EntryNews entry) {
		return entry.getControl().equals(this.context.settings().getControl());
	}

	private EntryNews ownNews() {
		return EntryNews.newBuilder()
			.setControl(this.context.settings().getControl())
			.setRegion(this.context.settings().getRegion())
			.setReady(this.context.isReady())
			.build();
	}

	/**
	 * Answers a request for permits.
	 * @param request the request
	 * @return the reply, without permits if another entry coordinates the backend server
	 */
	PermitReply handle(PermitRequest request) {
		LimitedBackend asked = request.getBackend();
		String source = "entry:" + Addresses.format(request.getEntry());
		this.context.limits().record(asked, source);
		Backend backend = this.context.fleet().backend(asked.getId(), asked.getProcessStartMs());
		if (backend == null || !isCoordinator(coordinator(backend))) {
			return PermitReply.newBuilder().setNextInMs(PermitGrant.NOT_COORDINATOR.nextInMs()).build();
		}
		PermitReply.Builder reply = PermitReply.newBuilder().setBackend(this.context.limits().toNews(backend));
		if (!backend.limit().isNamed()) {
			return reply.setGranted(request.getCount()).build();
		}
		int entryCount = 1 + this.entries.liveEntries(this.context.nowMs()).size();
		PermitGrant grant = backend.issuePermits(request.getCount(), share(), entryCount, this.context.nowMs());
		return reply.setGranted(grant.granted()).setNextInMs(grant.nextInMs()).build();
	}

	/**
	 * Returns the part of each limit that the entries may use that this one hears.
	 * @return from 0 to 1
	 */
	double share() {
		long nowMs = this.context.nowMs();
		List<EntryNews> live = this.entries.liveEntries(nowMs);
		return PermitCoordination.share(live, this.entries.recentEntries(nowMs), nowMs - this.startedAtMs,
				FleetState.MIN_ENTRY_COUNT);
	}

}
