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
 * Builds and handles the messages by which two processes synchronise their configuration
 * and host tables.
 *
 * <p>
 * One exchange carries all of the control traffic between two processes: the standing of
 * both sides (for the serving lease), the log records that the requester lacks, the rows
 * of the host table that changed since the requester's last exchange with the same
 * process, and the requester's own state if the replier has not seen it. If nothing
 * changed, an exchange carries only names, numbers and ages, so its size does not depend
 * on the number of hosts.
 *
 * <p>
 * An entry host receives all records and validates them itself. An agent has no keys and
 * cannot validate changes, so it receives only accepted ones. Confined to the control
 * thread.
 */
public final class ExchangeProtocol {

	private final HostIdentity self;

	private final ConfigurationReplica replica;

	private final ServingLease servingLease;

	private final HostTable hostTable;

	private final Map<String, Long> agentRevisions = new HashMap<>();

	private HostState hostState;

	private ExchangeProtocol(HostState hostState, ConfigurationReplica replica, ServingLease servingLease,
			HostTable hostTable) {
		this.self = hostState.getHost();
		this.hostState = hostState;
		this.replica = replica;
		this.servingLease = servingLease;
		this.hostTable = hostTable;
	}

	/**
	 * Creates the protocol of one process.
	 * @param hostState initial state of this host
	 * @param replica the configuration replica of this process
	 * @param servingLease the serving lease of this process
	 * @param hostTable the host table of this process
	 * @return the protocol
	 */
	public static ExchangeProtocol create(HostState hostState, ConfigurationReplica replica, ServingLease servingLease,
			HostTable hostTable) {
		return new ExchangeProtocol(hostState, replica, servingLease, hostTable);
	}

	/**
	 * Replaces the state of this host and increments its sequence, if the state differs.
	 * @param next the state; its sequence is ignored
	 */
	public void updateState(HostState next) {
		HostState withCurrentSequence = next.toBuilder().setSequence(this.hostState.getSequence()).build();
		if (withCurrentSequence.equals(this.hostState)) {
			return;
		}
		this.hostState = withCurrentSequence.toBuilder().setSequence(this.hostState.getSequence() + 1).build();
		this.hostTable.updateSelf(this.hostState);
	}

	/**
	 * Returns the state of this host.
	 * @return the state
	 */
	public HostState hostState() {
		return this.hostState;
	}

	/**
	 * Builds a request.
	 * @param peer the session with the peer
	 * @param wantsRecords true to ask for records or a snapshot
	 * @return the request
	 */
	public ExchangeRequest createRequest(PeerSession peer, boolean wantsRecords) {
		ExchangeRequest.Builder request = ExchangeRequest.newBuilder()
			.setFrom(shortIdentity())
			.setStanding(standing())
			.setSeenTable(peer.tableVersion())
			.setSeenProcess(peer.process())
			.setWantsRecords(wantsRecords);
		if (peer.needsState(this.hostState.getSequence())) {
			request.setState(this.hostState);
		}
		return request.build();
	}

	/**
	 * Handles a request and builds the reply.
	 * @param request the request
	 * @return the reply
	 */
	public ExchangeReply handleRequest(ExchangeRequest request) {
		String host = request.getFrom().getHost();
		String process = request.getFrom().getProcess();
		if (request.hasState()) {
			this.hostTable.recordState(request.getState());
		}
		boolean known = this.hostTable.recordMessage(host, process);
		if (!isEntry(host)) {
			this.agentRevisions.put(host, request.getStanding().getRevision());
		}
		boolean sameProcess = request.getSeenProcess().equals(this.self.getProcess());
		ExchangeReply.Builder reply = ExchangeReply.newBuilder()
			.setFrom(shortIdentity())
			.setStanding(standing())
			.setTable(this.hostTable.version())
			.addAllHosts(this.hostTable.changedSince(sameProcess ? request.getSeenTable() : 0, isEntry(host)))
			.setWantsState(!known);
		if (known && this.hostTable.find(host).orElseThrow().getHost().getIncarnation() == 0) {
			reply.setIncarnation(this.replica.incarnation(process));
		}
		if (request.getWantsRecords()) {
			addMissingRecords(reply, request.getStanding(), isEntry(host));
		}
		return reply.build();
	}

	private boolean isEntry(String host) {
		return this.hostTable.find(host).filter((row) -> row.getHost().getRole() == Role.ENTRY).isPresent();
	}

	private void addMissingRecords(ExchangeReply.Builder reply, Standing requester, boolean requesterIsEntry) {
		boolean behind = requesterIsEntry ? requester.getApplied() < this.replica.configuration().appliedOffset()
				: requester.getRevision() < this.replica.configuration().revision();
		if (!behind) {
			return;
		}
		List<OffsetRecord> records = this.replica.recordsAfter(requester.getApplied());
		if (records == null) {
			reply.setSnapshot(this.replica.configuration().snapshot());
			return;
		}
		reply.addAllRecords(requesterIsEntry ? records : this.replica.selectEffectiveRecords(records));
	}

	/**
	 * Handles a reply.
	 * @param peer the session with the peer
	 * @param sentAtMs when the request was sent, on the monotonic clock
	 * @param request the request
	 * @param reply the reply
	 */
	public void handleReply(PeerSession peer, long sentAtMs, ExchangeRequest request, ExchangeReply reply) {
		String host = reply.getFrom().getHost();
		boolean fullTable = !reply.getFrom().getProcess().equals(request.getSeenProcess());
		peer.recordReply(reply, request.hasState() ? request.getState().getSequence() : 0);
		for (HostState row : reply.getHostsList()) {
			if (row.getHost().getHost().equals(host)) {
				this.hostTable.recordState(row);
			}
		}
		this.hostTable.recordMessage(host, reply.getFrom().getProcess());
		this.hostTable.recordReport(host, fullTable, reply.getHostsList());
		applyRecords(reply);
		this.replica.recordJoin(this.self.getProcess(), reply.getIncarnation());
		// Confirming hosts are listed by address before the first rollout, by name after
		// it.
		this.servingLease.recordReply(host, sentAtMs, reply.getStanding());
		this.servingLease.recordReply(peer.address(), sentAtMs, reply.getStanding());
	}

	private void applyRecords(ExchangeReply reply) {
		if (reply.hasSnapshot()) {
			this.replica.installSnapshot(reply.getSnapshot());
		}
		else if (this.self.getRole() == Role.ENTRY) {
			this.replica.applyRecords(reply.getRecordsList());
		}
		else {
			this.replica.applyAcceptedRecords(reply.getRecordsList());
		}
	}

	private HostIdentity shortIdentity() {
		return HostIdentity.newBuilder().setHost(this.self.getHost()).setProcess(this.self.getProcess()).build();
	}

	private Standing standing() {
		Configuration current = this.replica.configuration();
		return Standing.newBuilder()
			.setApplied(current.appliedOffset())
			.setRevision(current.revision())
			.setCounts(this.replica.hasReadOwnJoin())
			.setConfirmedAgeMs(this.servingLease.ageMs())
			.setLowestRevision(lowestRevision())
			.build();
	}

	// Also removes agents that have not been heard from recently.
	private long lowestRevision() {
		long lowest = this.replica.configuration().revision();
		this.agentRevisions.keySet().removeIf((host) -> !this.hostTable.wasHeardRecently(host));
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
