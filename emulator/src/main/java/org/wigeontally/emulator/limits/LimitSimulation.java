package org.wigeontally.emulator.limits;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.function.Function;

import org.wigeontally.limits.BackendLimit;
import org.wigeontally.limits.PermitQueue;
import org.wigeontally.placement.BackendCandidate;
import org.wigeontally.placement.LeastLoadedPlacement;

/**
 * Entries and backend servers of one service, some of which name a limit for a while.
 *
 * <p>
 * Requests arrive as a Poisson process at random entries or at one of them. A backend
 * server runs a request for 60 to 100 ms. Its response names the limit; the entry that
 * gets it tells the others, and they tell each other all limits each 500 ms. Everything
 * that entries decide is decided by the real classes. Used by one thread.
 */
public final class LimitSimulation {

	private static final double NAMED_AT_MS = 2_000;

	private static final double CONTACT_MS = 3_000;

	private static final double MIN_LENGTH_MS = 18_000;

	private static final double LENGTH_IN_REQUESTS = 40;

	private static final double TAIL_MS = 12_000;

	private static final double DISRUPTION_AT_MS = 9_000;

	private static final double PAUSE_MS = 5_000;

	private static final double PARTITION_MS = 8_000;

	private static final double LINK_MS = 2;

	private static final double MIN_SERVICE_MS = 60;

	private static final double SERVICE_SPREAD_MS = 40;

	private static final double EXCHANGE_INTERVAL_MS = 500;

	private static final int MAX_EXCHANGING_ENTRIES = 100;

	private static final double REACTION_MS = 30;

	private static final double MS_PER_SECOND = 1000;

	private static final double PROCESS_START_MS = -60_000;

	private final LimitSetting setting;

	private final Random random;

	private final LimitNetwork network = new LimitNetwork();

	private final LimitPolicy policy;

	private final LeastLoadedPlacement placement;

	private final List<SimulatedBackend> servers = new ArrayList<>();

	private final double endsAtMs;

	private int requests;

	private int served;

	private int falseRefusals;

	private double lastRefusalMs;

	private LimitSimulation(LimitSetting setting, long seed, Function<LimitNetwork, LimitPolicy> policy) {
		this.setting = setting;
		this.random = new Random(seed);
		this.placement = LeastLoadedPlacement.create(this.random);
		this.policy = policy.apply(this.network);
		this.endsAtMs = NAMED_AT_MS
				+ Math.max(MIN_LENGTH_MS, CONTACT_MS + LENGTH_IN_REQUESTS / setting.perSecond() * MS_PER_SECOND);
		for (int i = 0; i < setting.entries(); i++) {
			this.network.addEntry(PROCESS_START_MS);
		}
		for (int i = 0; i < setting.limitedServers() + setting.unlimitedServers(); i++) {
			this.servers.add(new SimulatedBackend("server-" + i, setting.slots()));
		}
	}

	/**
	 * Runs the decisions that entries make.
	 * @param setting load and disruption
	 * @param seed seed of all random choices
	 * @return the result
	 */
	public static LimitResult withPermits(LimitSetting setting, long seed) {
		return new LimitSimulation(setting, seed, PermitPolicy::new).run();
	}

	/**
	 * Runs entries that each use an equal share.
	 * @param setting load and disruption
	 * @param seed seed of all random choices
	 * @return the result
	 */
	public static LimitResult withEqualShares(LimitSetting setting, long seed) {
		return new LimitSimulation(setting, seed, EqualSharePolicy::new).run();
	}

	/**
	 * Runs entries that do not know of limits.
	 * @param setting load and disruption
	 * @param seed seed of all random choices
	 * @return the result
	 */
	public static LimitResult withoutLimits(LimitSetting setting, long seed) {
		return new LimitSimulation(setting, seed, (network) -> new NoLimitPolicy()).run();
	}

	private LimitResult run() {
		List<SimulatedBackend> limited = this.servers.subList(0, this.setting.limitedServers());
		this.network.after(NAMED_AT_MS, () -> setLimits(limited, this.setting.perSecond()));
		this.network.after(this.endsAtMs, () -> setLimits(limited, BackendLimit.NONE));
		this.network.after(DISRUPTION_AT_MS, this::disrupt);
		double endMs = this.endsAtMs + TAIL_MS;
		scheduleArrivals(endMs);
		if (this.setting.entries() <= MAX_EXCHANGING_ENTRIES) {
			for (double atMs = EXCHANGE_INTERVAL_MS; atMs < endMs; atMs += EXCHANGE_INTERVAL_MS) {
				this.network.after(atMs, this::exchangeAll);
			}
		}
		this.network.runUntil(endMs);
		return result(limited);
	}

	private LimitResult result(List<SimulatedBackend> limited) {
		double fromMs = NAMED_AT_MS + CONTACT_MS;
		double lengthS = (this.endsAtMs - fromMs) / MS_PER_SECOND;
		List<Double> shares = new ArrayList<>();
		int sent = 0;
		for (SimulatedBackend server : limited) {
			shares.addAll(server.windowShares(fromMs, this.endsAtMs, this.setting.perSecond()));
			sent += server.arrivals(fromMs, this.endsAtMs);
		}
		double allowed = this.setting.totalPerSecond() * lengthS;
		double best = Math.min(this.requests, allowed + this.setting.unlimitedPerSecond() * lengthS);
		return new LimitResult((int) shares.stream().filter((share) -> share > 1).count(),
				shares.stream().mapToDouble(Double::doubleValue).max().orElse(0), sent / allowed,
				Math.min(1, this.served / best), this.falseRefusals, Math.max(0, this.lastRefusalMs - this.endsAtMs));
	}

	private void setLimits(List<SimulatedBackend> limited, double perSecond) {
		limited.forEach((server) -> server.setLimit(perSecond, this.network.nowMs()));
	}

	private void scheduleArrivals(double endMs) {
		double atMs = 0;
		while (atMs < endMs) {
			atMs += -Math.log(1 - this.random.nextDouble()) * MS_PER_SECOND / this.setting.demandPerSecond();
			this.network.after(atMs, this::arrive);
		}
	}

	private void arrive() {
		List<SimulatedEntry> running = this.network.entries().stream().filter(SimulatedEntry::isRunning).toList();
		SimulatedEntry entry = running.get(this.setting.oneEntry() ? 0 : this.random.nextInt(running.size()));
		this.requests += isCounted() ? 1 : 0;
		place(entry, new HashSet<>());
	}

	private boolean isCounted() {
		return this.network.nowMs() >= NAMED_AT_MS + CONTACT_MS && this.network.nowMs() < this.endsAtMs;
	}

	private void place(SimulatedEntry entry, Set<SimulatedBackend> denied) {
		List<BackendCandidate> candidates = new ArrayList<>();
		for (SimulatedBackend server : this.servers) {
			boolean held = entry.limit(server).isNamed() && this.policy.isHeld(entry, server);
			if (!held && !denied.contains(server) && server.hasSlot()) {
				candidates.add(new BackendCandidate(server.id(), 0, server.running(), 1, 0));
			}
		}
		if (candidates.isEmpty()) {
			refuse();
			return;
		}
		String id = this.placement.chooseBackend(candidates);
		SimulatedBackend chosen = this.servers.stream().filter((server) -> server.id().equals(id)).findFirst().get();
		if (!entry.limit(chosen).isNamed()) {
			send(entry, chosen);
			return;
		}
		int life = entry.life();
		this.policy.acquire(entry, chosen, new PermitQueue.Waiter() {

			@Override
			public boolean permitted() {
				if (entry.life() != life) {
					return false;
				}
				send(entry, chosen);
				return true;
			}

			@Override
			public void denied() {
				denied.add(chosen);
				place(entry, denied);
			}

		});
	}

	private void refuse() {
		boolean room = this.servers.stream().anyMatch((server) -> server.hasRoom(this.network.nowMs(), REACTION_MS));
		this.falseRefusals += (room && isCounted()) ? 1 : 0;
		this.lastRefusalMs = this.network.nowMs();
	}

	private void send(SimulatedEntry entry, SimulatedBackend server) {
		double sentAtMs = this.network.nowMs();
		int life = entry.life();
		this.network.after(LINK_MS, () -> {
			server.arrived(this.network.nowMs(), entry.isExcused(this.network.nowMs()));
			double serviceMs = MIN_SERVICE_MS + SERVICE_SPREAD_MS * this.random.nextDouble();
			this.network.after(serviceMs, () -> {
				server.ended();
				double named = server.limit() * variation();
				this.network.after(LINK_MS, () -> {
					this.served += isCounted() ? 1 : 0;
					if (entry.life() == life && entry.isRunning()) {
						hear(entry, server, named, sentAtMs);
					}
				});
			});
		});
	}

	private double variation() {
		return (this.setting.disruption() == LimitSetting.Disruption.VARYING_LIMIT)
				? 0.9 + 0.2 * this.random.nextDouble() : 1;
	}

	private void hear(SimulatedEntry entry, SimulatedBackend server, double named, double sentAtMs) {
		long nowMs = this.network.monotonicMs();
		BackendLimit.Change change = entry.limit(server).record(named, (named > 0) ? nowMs : (long) sentAtMs, nowMs);
		if (change == BackendLimit.Change.ENDED) {
			entry.permits(server).limitEnded();
		}
		if (change.isUrgent()) {
			this.network.entries().forEach((other) -> tell(entry, other));
		}
	}

	private void exchangeAll() {
		for (SimulatedEntry from : this.network.entries()) {
			this.network.entries().forEach((to) -> tell(from, to));
		}
	}

	private void tell(SimulatedEntry from, SimulatedEntry to) {
		if (from == to) {
			return;
		}
		for (SimulatedBackend server : this.servers) {
			BackendLimit limit = from.limit(server);
			if (!limit.wasEverNamed()) {
				continue;
			}
			double perSecond = limit.perSecond();
			long ageMs = this.network.monotonicMs() - limit.evidenceAtMs();
			this.network.send(from, to, () -> {
				BackendLimit.Change change = to.limit(server).recordNews(perSecond, ageMs, this.network.monotonicMs());
				if (change == BackendLimit.Change.ENDED) {
					to.permits(server).limitEnded();
				}
			});
		}
	}

	private void disrupt() {
		SimulatedEntry first = this.network
			.entry(PermitPolicy.coordinator(this.network, this.network.entries().get(0), this.servers.get(0)));
		switch (this.setting.disruption()) {
			case COORDINATOR_PAUSED -> {
				this.network.disturb();
				first.excuseUntil(this.network.nowMs() + PAUSE_MS + CONTACT_MS);
				first.stop(this.network.nowMs());
				this.network.after(PAUSE_MS, first::resume);
			}
			case COORDINATOR_RESTARTED -> {
				this.network.disturb();
				restart(first);
			}
			case ALL_RESTARTED -> {
				this.network.disturb();
				this.network.entries().forEach(this::restart);
			}
			case PARTITION -> {
				int boundary = this.setting.entries() / 3;
				this.network.partition(boundary, PARTITION_MS);
			}
			case ENTRIES_ADDED -> {
				this.network.disturb();
				for (int i = 0; i < this.setting.entries() / 2; i++) {
					this.network.addEntry(this.network.nowMs());
				}
			}
			case NONE, VARYING_LIMIT -> {
			}
		}
	}

	private void restart(SimulatedEntry entry) {
		entry.excuseUntil(this.network.nowMs() + CONTACT_MS);
		entry.restart(this.network.nowMs());
	}

}
