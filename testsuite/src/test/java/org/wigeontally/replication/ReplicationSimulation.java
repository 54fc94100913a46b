package org.wigeontally.replication;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import java.util.function.Supplier;

import org.wigeontally.configuration.Configuration;
import org.wigeontally.configuration.ConfigurationStateMachine;
import org.wigeontally.configuration.TestOperators;
import org.wigeontally.emulator.platform.MemoryLog;
import org.wigeontally.log.LogPage;
import org.wigeontally.log.PlatformLog;
import org.wigeontally.misc.ManualClock;
import org.wigeontally.schema.generated.Change;
import org.wigeontally.schema.generated.OffsetRecord;
import org.wigeontally.schema.generated.Verdict;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Simulates entry hosts, their network and the log in simulated time. All random choices
 * derive from one seed. Every {@value #CHECK_INTERVAL_MS} ms it checks that no host's
 * revision decreases and that no host still serves without a change that was reported as
 * accepted more than {@value #MAX_STALE_SERVING_MS} ms ago.
 */
final class ReplicationSimulation {

	static final long CHECK_INTERVAL_MS = 50;

	private static final long MAX_STALE_SERVING_MS = 2000;

	final ManualClock clock = ManualClock.startingAt(1_000_000_000L);

	final Random random;

	final MemoryLog log;

	final TestOperators operators;

	final List<String> names = new ArrayList<>();

	final Map<String, SimulatedHost> hosts = new TreeMap<>();

	final List<Operation> operations = new ArrayList<>();

	/** Network partition of each host; the log is in partition 0. */
	final Map<String, Integer> partitionByHost = new HashMap<>();

	double messageLossRatio;

	private final Map<String, Long> lastRevisionByProcess = new HashMap<>();

	private final Map<String, Verdict> verdictByChangeId = new HashMap<>();

	private final ConfigurationStateMachine stateMachine;

	private Configuration referenceConfiguration = Configuration.empty();

	private boolean logUnavailable;

	private final PriorityQueue<Event> events = new PriorityQueue<>(
			Comparator.comparingLong(Event::atMs).thenComparingLong(Event::sequence));

	private long nextEventSequence;

	private long nextProcessNumber;

	ReplicationSimulation(long seed, TestOperators operators, int hostCount) {
		this.random = new Random(seed);
		this.operators = operators;
		this.stateMachine = ConfigurationStateMachine.create(operators.keyRing());
		this.log = MemoryLog.create(this.clock, seed);
		for (int i = 0; i < hostCount; i++) {
			this.names.add("e" + i);
		}
		this.names.forEach(this::restart);
	}

	void restart(String name) {
		SimulatedHost previous = this.hosts.get(name);
		if (previous != null) {
			previous.stopped = true;
		}
		SimulatedHost host = new SimulatedHost(this, name, "p" + this.nextProcessNumber++, this.names,
				this.operators.keyRing());
		this.hosts.put(name, host);
		host.start();
	}

	void stop(String name) {
		this.hosts.get(name).stopped = true;
	}

	void schedule(SimulatedHost host, long delayMs, Runnable action) {
		this.events.add(new Event(this.clock.monotonicMs() + delayMs, this.nextEventSequence++, host, action));
	}

	void send(SimulatedHost from, String to, Consumer<SimulatedHost> delivery) {
		if (this.random.nextDouble() < this.messageLossRatio) {
			return;
		}
		long delayMs = (this.random.nextInt(20) == 0) ? this.random.nextInt(3000) : 1 + this.random.nextInt(20);
		schedule(null, delayMs, () -> {
			SimulatedHost target = this.hosts.get(to);
			if (!target.stopped && partitionOf(from.name) == partitionOf(to)) {
				schedule(target, 0, () -> delivery.accept(target));
			}
		});
	}

	<T> void callLog(SimulatedHost host, Supplier<CompletionStage<T>> call, Consumer<T> reply) {
		schedule(null, 1 + this.random.nextInt(10), () -> {
			if (partitionOf(host.name) != 0) {
				schedule(host, 100, () -> reply.accept(null));
				return;
			}
			call.get()
				.whenComplete(
						(value, failure) -> schedule(host, 1 + this.random.nextInt(10), () -> reply.accept(value)));
		});
	}

	private int partitionOf(String host) {
		return this.partitionByHost.getOrDefault(host, 0);
	}

	boolean isHeldByMajority(SimulatedHost host, long revision) {
		return host.servingLease.isHeldByMajority(revision);
	}

	Operation submit(String host, Change change) {
		Operation operation = new Operation(change.getId(), this.clock.monotonicMs());
		this.operations.add(operation);
		SimulatedHost target = this.hosts.get(host);
		schedule(target, 1, () -> target.submit(change, operation));
		return operation;
	}

	void run(long durationMs) {
		long endMs = this.clock.monotonicMs() + durationMs;
		while (this.clock.monotonicMs() < endMs) {
			long stepMs = this.clock.monotonicMs() + CHECK_INTERVAL_MS;
			while (!this.events.isEmpty() && this.events.peek().atMs() <= stepMs) {
				execute(this.events.poll());
			}
			this.clock.advance(Math.max(0, stepMs - this.clock.monotonicMs()));
			checkServingInvariants();
		}
	}

	private void execute(Event event) {
		this.clock.advance(Math.max(0, event.atMs() - this.clock.monotonicMs()));
		SimulatedHost host = event.host();
		if (host != null && host.stopped) {
			return;
		}
		if (host != null && host.pausedUntilMs > event.atMs()) {
			this.events.add(new Event(host.pausedUntilMs, event.sequence(), host, event.action()));
			return;
		}
		event.action().run();
	}

	private void checkServingInvariants() {
		long minRevision = newestRevisionAcceptedBefore(this.clock.monotonicMs() - MAX_STALE_SERVING_MS);
		for (SimulatedHost host : this.hosts.values()) {
			long lastRevision = this.lastRevisionByProcess.getOrDefault(host.processId, 0L);
			assertThat(host.revision()).as("revision of %s never decreases", host.name)
				.isGreaterThanOrEqualTo(lastRevision);
			this.lastRevisionByProcess.put(host.processId, host.revision());
			if (!host.stopped && host.isServing()) {
				assertThat(host.revision())
					.as("%s serves at %s; operations %s", host.name, this.clock.monotonicMs(), this.operations)
					.isGreaterThanOrEqualTo(minRevision);
			}
		}
	}

	private long newestRevisionAcceptedBefore(long atMs) {
		long newest = 0;
		for (Operation operation : this.operations) {
			if (operation.outcome.equals(Operation.ACCEPTED) && operation.returnedAtMs < atMs) {
				newest = Math.max(newest, acceptedOffset(operation.id));
			}
		}
		return newest;
	}

	private long acceptedOffset(String id) {
		updateReferenceConfiguration();
		Verdict verdict = this.verdictByChangeId.get(id);
		assertThat(verdict).as("verdict on %s, which was reported as accepted", id).isNotNull();
		assertThat(verdict.getAccepted()).as("%s is accepted in the log, as reported", id).isTrue();
		return verdict.getOffset();
	}

	void setLogOutage(boolean unavailable) {
		this.logUnavailable = unavailable;
		this.log.outage(unavailable);
	}

	/**
	 * Applies the records appended to the log since the last call, even during a
	 * simulated outage of the log.
	 */
	Configuration updateReferenceConfiguration() {
		if (this.log.head(PlatformLog.CONFIGURATION) == this.referenceConfiguration.appliedOffset() + 1) {
			return this.referenceConfiguration;
		}
		this.log.outage(false);
		LogPage page = this.log
			.read(PlatformLog.CONFIGURATION, this.referenceConfiguration.appliedOffset() + 1, Integer.MAX_VALUE, 0)
			.toCompletableFuture()
			.join();
		this.log.outage(this.logUnavailable);
		for (OffsetRecord record : page.records()) {
			ConfigurationStateMachine.Transition transition = this.stateMachine.apply(this.referenceConfiguration,
					record);
			this.referenceConfiguration = transition.configuration();
			transition.verdict().ifPresent((verdict) -> this.verdictByChangeId.put(verdict.getId(), verdict));
		}
		return this.referenceConfiguration;
	}

	/**
	 * Checks the outcomes reported to operators against the log: rejected changes are not
	 * in force, and accepted changes have log offsets in real-time order.
	 */
	void checkOperations() {
		updateReferenceConfiguration();
		for (Operation first : this.operations) {
			if (first.outcome.equals(Operation.REFUSED)) {
				Verdict verdict = this.verdictByChangeId.get(first.id);
				assertThat(verdict != null && verdict.getAccepted()).as("%s is in force", first).isFalse();
			}
			for (Operation second : this.operations) {
				if (first.outcome.equals(Operation.ACCEPTED) && second.outcome.equals(Operation.ACCEPTED)
						&& first.returnedAtMs < firstInvokedAtMs(second.id)) {
					assertThat(acceptedOffset(first.id)).as("order of %s and %s", first, second)
						.isLessThan(acceptedOffset(second.id));
				}
			}
		}
	}

	private long firstInvokedAtMs(String id) {
		long first = Long.MAX_VALUE;
		for (Operation operation : this.operations) {
			if (operation.id.equals(id)) {
				first = Math.min(first, operation.invokedAtMs);
			}
		}
		return first;
	}

	private record Event(long atMs, long sequence, SimulatedHost host, Runnable action) {

	}

}
