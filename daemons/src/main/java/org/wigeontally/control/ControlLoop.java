package org.wigeontally.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.VerticleBase;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.wigeontally.configuration.KeyRing;
import org.wigeontally.confirmation.ServingLease;
import org.wigeontally.log.PlatformLog;
import org.wigeontally.membership.HostTable;
import org.wigeontally.misc.Clock;
import org.wigeontally.replication.ConfigurationReplica;
import org.wigeontally.replication.ExchangePeerSelector;
import org.wigeontally.replication.ExchangeProtocol;
import org.wigeontally.replication.LogCursor;
import org.wigeontally.replication.PeerSession;
import org.wigeontally.schema.generated.Address;
import org.wigeontally.schema.generated.BackendState;
import org.wigeontally.schema.generated.ExchangeReply;
import org.wigeontally.schema.generated.ExchangeRequest;
import org.wigeontally.schema.generated.HostIdentity;
import org.wigeontally.schema.generated.HostState;
import org.wigeontally.schema.generated.Liveness;
import org.wigeontally.schema.generated.Role;
import org.wigeontally.schema.generated.Standing;
import org.wigeontally.settings.Addresses;

/**
 * Runs the control plane of one process: exchanges with other hosts in rounds, follows
 * the log and appends to it, and publishes the state that other threads read. Runs on one
 * Vert.x context; other threads read only the volatile fields and the thread-safe parts
 * of the replica and the lease.
 */
final class ControlLoop extends VerticleBase {

	private static final Logger logger = LoggerFactory.getLogger(ControlLoop.class);

	private static final long ENTRY_ROUND_MS = 500;

	private static final long AGENT_ROUND_MS = 750;

	private static final long TICK_MS = 200;

	private static final long MAX_LEASE_AGE_WITHOUT_LOG_MS = 1000;

	/**
	 * Lease age from which an agent asks further entry hosts without awaiting a round.
	 */
	private static final long MAX_LEASE_AGE_BEFORE_RENEWAL_MS = 1000;

	private final HostIdentity self;

	private final PlatformLog platformLog;

	private final Clock clock;

	private final ConfigurationReplica replica;

	private final ServingLease servingLease;

	private final HostTable table;

	private final ExchangeProtocol protocol;

	private final ExchangePeerSelector peerSelector;

	private final ControlSettings settings;

	private final Map<String, Standing> standingsByHost = new HashMap<>();

	private final Set<String> peersInFlight = new HashSet<>();

	private volatile List<HostState> hosts = List.of();

	private volatile HostIdentity identity;

	private volatile boolean leaving;

	private volatile Supplier<List<BackendState>> backendStates = List::of;

	private long publishedTableVersion;

	private long roundCount;

	private ExchangeClient exchangeClient;

	private LogFollower follower;

	private LogWriter writer;

	private ChangeSubmitter submitter;

	private boolean hadValidLease;

	private long lastFailureMs;

	private String lastFailure = "none";

	ControlLoop(ControlSettings settings, String processId, PlatformLog platformLog, KeyRing keyRing, Clock clock) {
		this.settings = settings;
		this.self = settings.self().toBuilder().setProcess(processId).build();
		this.identity = this.self;
		this.platformLog = platformLog;
		this.clock = clock;
		HostState state = HostState.newBuilder().setHost(this.self).setSequence(1).setLiveness(Liveness.LIVE).build();
		List<String> peers = new ArrayList<>();
		settings.peers().forEach((peer) -> peers.add(Addresses.format(peer)));
		peers.remove(Addresses.format(this.self.getAddress()));
		List<String> initialConfirmingHosts = new ArrayList<>(peers);
		if (this.self.getRole() == Role.ENTRY) {
			initialConfirmingHosts.add(this.self.getHost());
		}
		this.servingLease = ServingLease.create(clock, this.self.getHost(), initialConfirmingHosts);
		this.replica = ConfigurationReplica.create(keyRing, this.servingLease, processId);
		this.table = HostTable.create(clock, state);
		this.protocol = ExchangeProtocol.create(state, this.replica, this.servingLease, this.table);
		this.peerSelector = ExchangePeerSelector.create(clock, this.self, peers);
	}

	@Override
	public Future<?> start() {
		this.exchangeClient = new ExchangeClient(this.vertx, this.self.getHost());
		if (this.platformLog != null) {
			LogCursor cursor = LogCursor.create(this.replica, this.servingLease);
			this.follower = new LogFollower(this.vertx, this.platformLog, cursor, this.clock, this::shouldReadLog);
			this.writer = new LogWriter(this.platformLog, this.settings, this.self, this.clock, this.replica,
					this.servingLease, this.table);
			this.submitter = new ChangeSubmitter(this.vertx, this.platformLog, this.follower, this.replica,
					this.servingLease, this.clock, this::runExchangeRound, this::revisionsByHost,
					this::minimumRevision);
			this.follower.start();
		}
		publish();
		long roundMs = (this.self.getRole() == Role.ENTRY) ? ENTRY_ROUND_MS : AGENT_ROUND_MS;
		this.vertx.setPeriodic(1, roundMs, (id) -> runPeriodicRound());
		this.vertx.setPeriodic(1, TICK_MS, (id) -> tick());
		logger.info("control: {} started as process {}", this.self.getHost(), this.self.getProcess());
		return Future.succeededFuture();
	}

	@Override
	public Future<?> stop() {
		if (this.follower != null) {
			this.follower.close();
		}
		return this.exchangeClient.close();
	}

	private boolean shouldReadLog() {
		List<String> confirmingHosts = this.servingLease.confirmingHosts();
		long leaseAgeMs = this.servingLease.ageMs();
		return confirmingHosts.contains(this.self.getHost()) || leaseAgeMs < 0
				|| leaseAgeMs > MAX_LEASE_AGE_WITHOUT_LOG_MS;
	}

	private void tick() {
		this.table.tick();
		refreshState();
		if (this.writer != null) {
			this.writer.appendDue(this.follower.isCaughtUp());
		}
		publish();
		if (this.self.getRole() == Role.AGENT && this.servingLease.ageMs() > MAX_LEASE_AGE_BEFORE_RENEWAL_MS) {
			this.peerSelector.selectForRenewal(this.peersInFlight).ifPresent(this::exchange);
		}
		boolean hasValidLease = this.servingLease.isValid();
		if (hasValidLease != this.hadValidLease) {
			this.hadValidLease = hasValidLease;
			logLeaseChange();
		}
	}

	private void logLeaseChange() {
		if (this.hadValidLease) {
			logger.info("control: {} has a valid serving lease at revision {}", this.self.getHost(),
					this.replica.configuration().revision());
			return;
		}
		logger.info(
				"control: {} lost its serving lease at revision {}; it is {} ms old, unanswered exchanges: {}, last failure {} ms ago: {}",
				this.self.getHost(), this.replica.configuration().revision(), this.servingLease.ageMs(),
				this.peersInFlight, this.clock.monotonicMs() - this.lastFailureMs, this.lastFailure);
	}

	private void refreshState() {
		HostState.Builder builder = HostState.newBuilder().setLiveness(this.leaving ? Liveness.LEAVING : Liveness.LIVE);
		builder.setHost(this.self.toBuilder().setIncarnation(this.replica.incarnation(this.self.getProcess())));
		for (BackendState backend : this.backendStates.get()) {
			builder.addBackends(backend.toBuilder().clearRunning().clearQueued());
		}
		this.protocol.updateState(builder.build());
		this.identity = this.protocol.hostState().getHost();
	}

	private void publish() {
		if (this.table.version() != this.publishedTableVersion) {
			this.publishedTableVersion = this.table.version();
			this.hosts = this.table.hosts();
			this.peerSelector.addEntryHosts(this.hosts);
		}
	}

	void runExchangeRound() {
		for (PeerSession peer : this.peerSelector.selectForNextRound(this.servingLease.confirmingHosts())) {
			exchange(peer);
		}
	}

	/**
	 * Runs an exchange round. A confirming host that is caught up with the log skips
	 * every second round, because reading the log already renews its lease.
	 */
	private void runPeriodicRound() {
		this.roundCount++;
		boolean leaseRenewedByLog = this.follower != null && this.follower.isCaughtUp()
				&& this.servingLease.confirmingHosts().contains(this.self.getHost());
		if (!leaseRenewedByLog || this.roundCount % 2 == 0) {
			runExchangeRound();
		}
	}

	private void exchange(PeerSession peer) {
		if (!this.peersInFlight.add(peer.address())) {
			return;
		}
		long sentAtMs = this.clock.monotonicMs();
		boolean wantsRecords = this.follower == null || !this.follower.isCaughtUp();
		ExchangeRequest request = this.protocol.createRequest(peer, wantsRecords);
		this.exchangeClient.exchange(peer.address(), request).onComplete((reply, failure) -> {
			this.peersInFlight.remove(peer.address());
			if (failure != null) {
				this.lastFailureMs = this.clock.monotonicMs();
				this.lastFailure = peer.address() + " after " + (this.lastFailureMs - sentAtMs) + " ms, "
						+ failure.getMessage();
				handleFailure(peer);
				return;
			}
			this.peerSelector.recordSuccess(peer);
			handleReply(peer, sentAtMs, request, reply);
		});
	}

	private void handleFailure(PeerSession peer) {
		this.peerSelector.recordFailure(peer);
		if (this.self.getRole() == Role.AGENT) {
			this.peerSelector.selectForNextRound(this.servingLease.confirmingHosts())
				.stream()
				.filter((candidate) -> candidate != peer)
				.forEach(this::exchange);
		}
	}

	private void handleReply(PeerSession peer, long sentAtMs, ExchangeRequest request, ExchangeReply reply) {
		if (reply.getFrom().getHost().equals(this.self.getHost())) {
			return;
		}
		this.protocol.handleReply(peer, sentAtMs, request, reply);
		this.standingsByHost.put(reply.getFrom().getHost(), reply.getStanding());
	}

	ExchangeReply handleRequest(ExchangeRequest request) {
		return this.protocol.handleRequest(request);
	}

	Map<String, Long> revisionsByHost() {
		Map<String, Long> revisions = new HashMap<>(this.protocol.agentRevisions());
		this.standingsByHost.keySet().removeIf((host) -> this.table.find(host).isEmpty());
		this.standingsByHost.forEach((host, standing) -> revisions.put(host, standing.getRevision()));
		revisions.put(this.self.getHost(), this.replica.configuration().revision());
		return revisions;
	}

	private long minimumRevision() {
		long lowest = this.replica.configuration().revision();
		for (long revision : revisionsByHost().values()) {
			lowest = Math.min(lowest, revision);
		}
		for (Standing standing : this.standingsByHost.values()) {
			lowest = Math.min(lowest, standing.getLowestRevision());
		}
		return lowest;
	}

	void leave() {
		this.leaving = true;
		refreshState();
		publish();
		runExchangeRound();
	}

	void addEntryAddresses(List<Address> entries) {
		this.peerSelector.addAddresses(entries.stream().map(Addresses::format).toList());
	}

	void setBackendStates(Supplier<List<BackendState>> supplier) {
		this.backendStates = supplier;
	}

	Context context() {
		return this.context;
	}

	ChangeSubmitter submitter() {
		return this.submitter;
	}

	ConfigurationReplica replica() {
		return this.replica;
	}

	ServingLease servingLease() {
		return this.servingLease;
	}

	List<HostState> hosts() {
		return this.hosts;
	}

	boolean isLeaving() {
		return this.leaving;
	}

	HostIdentity identity() {
		return this.identity;
	}

}
