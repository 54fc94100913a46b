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
 * Drives the control of one process: rounds of exchanges, the log, and the views that
 * traffic reads. Everything here runs on one Vert.x context.
 */
final class ControlLoop extends VerticleBase {

	private static final Logger log = LoggerFactory.getLogger(ControlLoop.class);

	private static final long ENTRY_ROUND_MS = 500;

	private static final long AGENT_ROUND_MS = 750;

	private static final long TICK_MS = 200;

	private static final long STALE_MS = 1000;

	private final HostIdentity self;

	private final PlatformLog platformLog;

	private final Clock clock;

	private final ConfigurationReplica replica;

	private final ServingLease confirmation;

	private final HostTable table;

	private final ExchangeProtocol protocol;

	private final ExchangePeerSelector plan;

	private final ControlSettings settings;

	private final Map<String, Standing> standings = new HashMap<>();

	private final Set<String> inFlight = new HashSet<>();

	private volatile List<HostState> hosts = List.of();

	private volatile HostIdentity identity;

	private volatile boolean leaving;

	private volatile Supplier<List<BackendState>> backends = List::of;

	private long publishedVersion;

	private long rounds;

	private ExchangeClient client;

	private LogFollower follower;

	private LogWriter writer;

	private Submissions submissions;

	private boolean served;

	ControlLoop(ControlSettings settings, String process, PlatformLog platformLog, KeyRing keys, Clock clock) {
		this.settings = settings;
		this.self = settings.self().toBuilder().setProcess(process).build();
		this.identity = this.self;
		this.platformLog = platformLog;
		this.clock = clock;
		HostState state = HostState.newBuilder().setHost(this.self).setSequence(1).setLiveness(Liveness.LIVE).build();
		List<String> peers = new ArrayList<>();
		settings.peers().forEach((peer) -> peers.add(Addresses.format(peer)));
		peers.remove(Addresses.format(this.self.getAddress()));
		List<String> firstHosts = new ArrayList<>(peers);
		if (this.self.getRole() == Role.ENTRY) {
			firstHosts.add(this.self.getHost());
		}
		this.confirmation = ServingLease.create(clock, this.self.getHost(), firstHosts);
		this.replica = ConfigurationReplica.create(keys, this.confirmation, process);
		this.table = HostTable.create(clock, state);
		this.protocol = ExchangeProtocol.create(state, this.replica, this.confirmation, this.table);
		this.plan = ExchangePeerSelector.create(clock, this.self, peers);
	}

	@Override
	public Future<?> start() {
		this.client = new ExchangeClient(this.vertx, this.self.getHost());
		if (this.platformLog != null) {
			LogCursor cursor = LogCursor.create(this.replica, this.confirmation);
			this.follower = new LogFollower(this.vertx, this.platformLog, cursor, this.clock, this::readsLog);
			this.writer = new LogWriter(this.platformLog, this.settings, this.self, this.clock, this.replica,
					this.confirmation, this.table);
			this.submissions = new Submissions(this.vertx, this.platformLog, this.follower, this.replica,
					this.confirmation, this.clock, this::exchangeRound, this::inForce, this::minimum);
			this.follower.start();
		}
		publish();
		long roundMs = (this.self.getRole() == Role.ENTRY) ? ENTRY_ROUND_MS : AGENT_ROUND_MS;
		this.vertx.setPeriodic(1, roundMs, (id) -> exchangeInTurn());
		this.vertx.setPeriodic(1, TICK_MS, (id) -> tick());
		log.info("control: {} started as process {}", this.self.getHost(), this.self.getProcess());
		return Future.succeededFuture();
	}

	@Override
	public Future<?> stop() {
		if (this.follower != null) {
			this.follower.close();
		}
		return this.client.close();
	}

	private boolean readsLog() {
		List<String> confirming = this.confirmation.confirmingHosts();
		long age = this.confirmation.ageMs();
		return confirming.contains(this.self.getHost()) || age < 0 || age > STALE_MS;
	}

	private void tick() {
		this.table.tick();
		refreshState();
		if (this.writer != null) {
			this.writer.tick(this.follower.fresh());
		}
		publish();
		boolean serves = this.confirmation.isValid();
		if (serves != this.served) {
			this.served = serves;
			log.info(
					serves ? "control: {} is confirmed at revision {}" : "control: {} lost confirmation at revision {}",
					this.self.getHost(), this.replica.configuration().revision());
		}
	}

	private void refreshState() {
		HostState.Builder next = HostState.newBuilder().setLiveness(this.leaving ? Liveness.LEAVING : Liveness.LIVE);
		next.setHost(this.self.toBuilder().setIncarnation(this.replica.incarnation(this.self.getProcess())));
		for (BackendState each : this.backends.get()) {
			next.addBackends(each.toBuilder().clearRunning().clearQueued());
		}
		this.protocol.updateState(next.build());
		this.identity = this.protocol.hostState().getHost();
	}

	private void publish() {
		if (this.table.version() != this.publishedVersion) {
			this.publishedVersion = this.table.version();
			this.hosts = this.table.hosts();
			this.plan.addEntryHosts(this.hosts);
		}
	}

	void exchangeRound() {
		for (PeerSession peer : this.plan.selectForNextRound(this.confirmation.confirmingHosts())) {
			exchange(peer);
		}
	}

	/**
	 * Runs a round. While the log is read, it confirms, and the confirming hosts need
	 * each other's word in every second round only.
	 */
	private void exchangeInTurn() {
		this.rounds++;
		boolean logConfirms = this.follower != null && this.follower.fresh()
				&& this.confirmation.confirmingHosts().contains(this.self.getHost());
		if (!logConfirms || this.rounds % 2 == 0) {
			exchangeRound();
		}
	}

	private void exchange(PeerSession peer) {
		if (!this.inFlight.add(peer.address())) {
			return;
		}
		long sentAtMs = this.clock.monotonicMs();
		boolean wantsRecords = this.follower == null || !this.follower.fresh();
		ExchangeRequest request = this.protocol.createRequest(peer, wantsRecords);
		this.client.exchange(peer.address(), request).onComplete((reply, failure) -> {
			this.inFlight.remove(peer.address());
			if (failure != null) {
				failed(peer);
				return;
			}
			this.plan.recordSuccess(peer);
			take(peer, sentAtMs, request, reply);
		});
	}

	private void failed(PeerSession peer) {
		this.plan.recordFailure(peer);
		if (this.self.getRole() == Role.AGENT) {
			this.plan.selectForNextRound(this.confirmation.confirmingHosts())
				.stream()
				.filter((next) -> next != peer)
				.forEach(this::exchange);
		}
	}

	private void take(PeerSession peer, long sentAtMs, ExchangeRequest request, ExchangeReply reply) {
		if (reply.getFrom().getHost().equals(this.self.getHost())) {
			return;
		}
		this.protocol.handleReply(peer, sentAtMs, request, reply);
		this.standings.put(reply.getFrom().getHost(), reply.getStanding());
	}

	ExchangeReply answer(ExchangeRequest request) {
		return this.protocol.handleRequest(request);
	}

	Map<String, Long> inForce() {
		Map<String, Long> revisions = new HashMap<>(this.protocol.agentRevisions());
		this.standings.keySet().removeIf((host) -> this.table.find(host).isEmpty());
		this.standings.forEach((host, standing) -> revisions.put(host, standing.getRevision()));
		revisions.put(this.self.getHost(), this.replica.configuration().revision());
		return revisions;
	}

	private long minimum() {
		long lowest = this.replica.configuration().revision();
		for (long revision : inForce().values()) {
			lowest = Math.min(lowest, revision);
		}
		for (Standing standing : this.standings.values()) {
			lowest = Math.min(lowest, standing.getLowestRevision());
		}
		return lowest;
	}

	void leave() {
		this.leaving = true;
		refreshState();
		publish();
		exchangeRound();
	}

	void know(List<Address> entries) {
		this.plan.addAddresses(entries.stream().map(Addresses::format).toList());
	}

	void backends(Supplier<List<BackendState>> supplier) {
		this.backends = supplier;
	}

	Context context() {
		return this.context;
	}

	Submissions submissions() {
		return this.submissions;
	}

	ConfigurationReplica replica() {
		return this.replica;
	}

	ServingLease confirmation() {
		return this.confirmation;
	}

	List<HostState> hosts() {
		return this.hosts;
	}

	boolean leaving() {
		return this.leaving;
	}

	HostIdentity identity() {
		return this.identity;
	}

}
