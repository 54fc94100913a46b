package org.wigeontally.replication;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.wigeontally.configuration.Configuration;
import org.wigeontally.confirmation.ServingLease;
import org.wigeontally.membership.HostTable;
import org.wigeontally.schema.generated.ExchangeReply;
import org.wigeontally.schema.generated.ExchangeRequest;
import org.wigeontally.schema.generated.HostIdentity;
import org.wigeontally.schema.generated.HostState;
import org.wigeontally.schema.generated.OffsetRecord;
import org.wigeontally.schema.generated.Role;
import org.wigeontally.schema.generated.Standing;

/**
 * Builds and takes the messages by which two processes compare what they hold.
 *
 * <p>
 * One exchange carries all of control: the standing of both sides (for confirmation), the
 * records that the asker misses, the rows of the table of hosts that changed since the
 * asker's last exchange with the same process, and the asker's own state if the replier
 * has not seen it. A quiet exchange carries only names, numbers and ages, so its size
 * does not depend on how many hosts there are.
 *
 * <p>
 * An entry host gets records and folds them itself. An agent has no keys and does not
 * judge changes: it gets the accepted ones only. Belongs to the control thread.
 */
public final class ExchangeProtocol {

	private final HostIdentity self;

	private final ConfigurationReplica replica;

	private final ServingLease confirmation;

	private final HostTable table;

	private final Map<String, Long> agentRevisions = new HashMap<>();

	private HostState state;

	private ExchangeProtocol(HostState state, ConfigurationReplica replica, ServingLease confirmation,
			HostTable table) {
		this.self = state.getHost();
		this.state = state;
		this.replica = replica;
		this.confirmation = confirmation;
		this.table = table;
	}

	/**
	 * Creates the protocol of one process.
	 * @param state first state of this host
	 * @param replica what this process holds
	 * @param confirmation its confirmation
	 * @param table its table of hosts
	 * @return the protocol
	 */
	public static ExchangeProtocol create(HostState state, ConfigurationReplica replica, ServingLease confirmation,
			HostTable table) {
		return new ExchangeProtocol(state, replica, confirmation, table);
	}

	/**
	 * Replaces the state of this host, if it differs; the sequence is raised.
	 * @param next the state; its sequence is ignored
	 */
	public void state(HostState next) {
		HostState same = next.toBuilder().setSequence(this.state.getSequence()).build();
		if (same.equals(this.state)) {
			return;
		}
		this.state = same.toBuilder().setSequence(this.state.getSequence() + 1).build();
		this.table.updateSelf(this.state);
	}

	/**
	 * Returns the state of this host.
	 * @return the state
	 */
	public HostState state() {
		return this.state;
	}

	/**
	 * Builds a question.
	 * @param peer the session with the peer
	 * @param wantsRecords true if records or a snapshot are wanted
	 * @return the question
	 */
	public ExchangeRequest request(PeerSession peer, boolean wantsRecords) {
		ExchangeRequest.Builder request = ExchangeRequest.newBuilder()
			.setFrom(shortIdentity())
			.setStanding(standing())
			.setSeenTable(peer.seenTable())
			.setSeenProcess(peer.process())
			.setWantsRecords(wantsRecords);
		if (peer.needsState(this.state.getSequence())) {
			request.setState(this.state);
		}
		return request.build();
	}

	/**
	 * Takes a question and builds the answer.
	 * @param request the question
	 * @return the answer
	 */
	public ExchangeReply answer(ExchangeRequest request) {
		String host = request.getFrom().getHost();
		String process = request.getFrom().getProcess();
		if (request.hasState()) {
			this.table.recordState(request.getState());
		}
		boolean known = this.table.recordMessage(host, process);
		if (!isEntry(host)) {
			this.agentRevisions.put(host, request.getStanding().getRevision());
		}
		boolean continues = request.getSeenProcess().equals(this.self.getProcess());
		ExchangeReply.Builder reply = ExchangeReply.newBuilder()
			.setFrom(shortIdentity())
			.setStanding(standing())
			.setTable(this.table.version())
			.addAllHosts(this.table.changedSince(continues ? request.getSeenTable() : 0, isEntry(host)))
			.setWantsState(!known);
		if (known && this.table.find(host).orElseThrow().getHost().getIncarnation() == 0) {
			reply.setIncarnation(this.replica.incarnation(process));
		}
		if (request.getWantsRecords()) {
			bringUpToDate(reply, request.getStanding(), isEntry(host));
		}
		return reply.build();
	}

	private boolean isEntry(String host) {
		return this.table.find(host).filter((row) -> row.getHost().getRole() == Role.ENTRY).isPresent();
	}

	private void bringUpToDate(ExchangeReply.Builder reply, Standing asker, boolean entry) {
		boolean behind = entry ? asker.getApplied() < this.replica.configuration().appliedOffset()
				: asker.getRevision() < this.replica.configuration().revision();
		if (!behind) {
			return;
		}
		List<OffsetRecord> records = this.replica.recordsAfter(asker.getApplied());
		if (records == null) {
			reply.setSnapshot(this.replica.configuration().snapshot());
			return;
		}
		reply.addAllRecords(entry ? records : this.replica.accepted(records));
	}

	/**
	 * Takes an answer.
	 * @param peer the session with the peer
	 * @param sentAtMs when the question was sent, on the monotonic clock
	 * @param request the question
	 * @param reply the answer
	 */
	public void replied(PeerSession peer, long sentAtMs, ExchangeRequest request, ExchangeReply reply) {
		String host = reply.getFrom().getHost();
		boolean complete = !reply.getFrom().getProcess().equals(request.getSeenProcess());
		peer.replied(reply, request.hasState() ? request.getState().getSequence() : 0);
		for (HostState row : reply.getHostsList()) {
			if (row.getHost().getHost().equals(host)) {
				this.table.recordState(row);
			}
		}
		this.table.recordMessage(host, reply.getFrom().getProcess());
		this.table.recordReport(host, complete, reply.getHostsList());
		takeRecords(reply);
		this.replica.joined(this.self.getProcess(), reply.getIncarnation());
		this.confirmation.recordReply(host, sentAtMs, reply.getStanding());
		this.confirmation.recordReply(peer.address(), sentAtMs, reply.getStanding());
	}

	private void takeRecords(ExchangeReply reply) {
		if (reply.hasSnapshot()) {
			this.replica.install(reply.getSnapshot());
		}
		else if (this.self.getRole() == Role.ENTRY) {
			this.replica.fold(reply.getRecordsList());
		}
		else {
			this.replica.foldAccepted(reply.getRecordsList());
		}
	}

	private HostIdentity shortIdentity() {
		return HostIdentity.newBuilder().setHost(this.self.getHost()).setProcess(this.self.getProcess()).build();
	}

	private Standing standing() {
		Configuration held = this.replica.configuration();
		return Standing.newBuilder()
			.setApplied(held.appliedOffset())
			.setRevision(held.revision())
			.setCounts(this.replica.counts())
			.setConfirmedAgeMs(this.confirmation.ageMs())
			.setLowestRevision(lowestRevision())
			.build();
	}

	private long lowestRevision() {
		long lowest = this.replica.configuration().revision();
		this.agentRevisions.keySet().removeIf((host) -> !this.table.wasHeardRecently(host));
		for (long revision : this.agentRevisions.values()) {
			lowest = Math.min(lowest, revision);
		}
		return lowest;
	}

	/**
	 * Returns the revisions of the live agents that exchange with this process.
	 * @return revisions by host
	 */
	public Map<String, Long> agentRevisions() {
		lowestRevision();
		return Map.copyOf(this.agentRevisions);
	}

}
