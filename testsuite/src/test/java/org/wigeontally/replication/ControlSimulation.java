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
 * Entry hosts, their network and the log in simulated time. Every choice comes from one
 * seed. The invariants on serving are checked every {@value #SAMPLE_MS} ms.
 */
final class ControlSimulation {

	static final long SAMPLE_MS = 50;

	private static final long STOP_AFTER_MS = 2000;

	final ManualClock clock = ManualClock.startingAt(1_000_000_000L);

	final Random random;

	final MemoryLog log;

	final TestOperators operators;

	final List<String> names = new ArrayList<>();

	final Map<String, SimulatedHost> hosts = new TreeMap<>();

	final List<Operation> operations = new ArrayList<>();

	/** Side of the network of each host; the log is on side 0. */
	final Map<String, Integer> sides = new HashMap<>();

	double lossShare;

	private final Map<String, Long> revisionsSeen = new HashMap<>();

	private final Map<String, Verdict> verdicts = new HashMap<>();

	private final ConfigurationStateMachine fold;

	private Configuration reference = Configuration.empty();

	private boolean logDown;

	private final PriorityQueue<Event> events = new PriorityQueue<>(
			Comparator.comparingLong(Event::atMs).thenComparingLong(Event::order));

	private long order;

	private long nextProcess;

	ControlSimulation(long seed, TestOperators operators, int hostCount) {
		this.random = new Random(seed);
		this.operators = operators;
		this.fold = ConfigurationStateMachine.create(operators.keyRing());
		this.log = MemoryLog.create(this.clock, seed);
		for (int i = 0; i < hostCount; i++) {
			this.names.add("e" + i);
		}
		this.names.forEach(this::restart);
	}

	void restart(String name) {
		SimulatedHost old = this.hosts.get(name);
		if (old != null) {
			old.dead = true;
		}
		SimulatedHost host = new SimulatedHost(this, name, "p" + this.nextProcess++, this.names,
				this.operators.keyRing());
		this.hosts.put(name, host);
		host.start();
	}

	void kill(String name) {
		this.hosts.get(name).dead = true;
	}

	void after(SimulatedHost host, long delayMs, Runnable action) {
		this.events.add(new Event(this.clock.monotonicMs() + delayMs, this.order++, host, action));
	}

	void send(SimulatedHost from, String to, Consumer<SimulatedHost> delivery) {
		if (this.random.nextDouble() < this.lossShare) {
			return;
		}
		long delayMs = (this.random.nextInt(20) == 0) ? this.random.nextInt(3000) : 1 + this.random.nextInt(20);
		after(null, delayMs, () -> {
			SimulatedHost target = this.hosts.get(to);
			if (!target.dead && side(from.name) == side(to)) {
				after(target, 0, () -> delivery.accept(target));
			}
		});
	}

	<T> void toLog(SimulatedHost host, Supplier<CompletionStage<T>> call, Consumer<T> reply) {
		after(null, 1 + this.random.nextInt(10), () -> {
			if (side(host.name) != 0) {
				after(host, 100, () -> reply.accept(null));
				return;
			}
			call.get()
				.whenComplete((value, failure) -> after(host, 1 + this.random.nextInt(10), () -> reply.accept(value)));
		});
	}

	private int side(String host) {
		return this.sides.getOrDefault(host, 0);
	}

	boolean holdsMajority(SimulatedHost host, long revision) {
		return host.confirmation.isHeldByMajority(revision);
	}

	Operation submit(String host, Change change) {
		Operation operation = new Operation(change.getId(), this.clock.monotonicMs());
		this.operations.add(operation);
		SimulatedHost target = this.hosts.get(host);
		after(target, 1, () -> target.submit(change, operation));
		return operation;
	}

	void run(long ms) {
		long endMs = this.clock.monotonicMs() + ms;
		while (this.clock.monotonicMs() < endMs) {
			long stepMs = this.clock.monotonicMs() + SAMPLE_MS;
			while (!this.events.isEmpty() && this.events.peek().atMs() <= stepMs) {
				execute(this.events.poll());
			}
			this.clock.advance(Math.max(0, stepMs - this.clock.monotonicMs()));
			sample();
		}
	}

	private void execute(Event event) {
		this.clock.advance(Math.max(0, event.atMs() - this.clock.monotonicMs()));
		SimulatedHost host = event.host();
		if (host != null && host.dead) {
			return;
		}
		if (host != null && host.pausedUntilMs > event.atMs()) {
			this.events.add(new Event(host.pausedUntilMs, event.order(), host, event.action()));
			return;
		}
		event.action().run();
	}

	private void sample() {
		long required = newestToldBefore(this.clock.monotonicMs() - STOP_AFTER_MS);
		for (SimulatedHost host : this.hosts.values()) {
			long seen = this.revisionsSeen.getOrDefault(host.process, 0L);
			assertThat(host.revision()).as("revision of %s never falls", host.name).isGreaterThanOrEqualTo(seen);
			this.revisionsSeen.put(host.process, host.revision());
			if (!host.dead && host.serving()) {
				assertThat(host.revision())
					.as("%s serves at %s; operations %s", host.name, this.clock.monotonicMs(), this.operations)
					.isGreaterThanOrEqualTo(required);
			}
		}
	}

	private long newestToldBefore(long atMs) {
		long newest = 0;
		for (Operation operation : this.operations) {
			if (operation.told.equals(Operation.ACCEPTED) && operation.returnedAtMs < atMs) {
				newest = Math.max(newest, offset(operation.id));
			}
		}
		return newest;
	}

	private long offset(String id) {
		reference();
		Verdict verdict = this.verdicts.get(id);
		assertThat(verdict).as("verdict on %s, told accepted", id).isNotNull();
		assertThat(verdict.getAccepted()).as("%s, told accepted", id).isTrue();
		return verdict.getOffset();
	}

	void outage(boolean down) {
		this.logDown = down;
		this.log.outage(down);
	}

	/** Folds the log from its beginning, also while the hosts cannot reach it. */
	Configuration reference() {
		if (this.log.head(PlatformLog.CONFIGURATION) == this.reference.appliedOffset() + 1) {
			return this.reference;
		}
		this.log.outage(false);
		LogPage page = this.log
			.read(PlatformLog.CONFIGURATION, this.reference.appliedOffset() + 1, Integer.MAX_VALUE, 0)
			.toCompletableFuture()
			.join();
		this.log.outage(this.logDown);
		for (OffsetRecord record : page.records()) {
			ConfigurationStateMachine.Transition folded = this.fold.apply(this.reference, record);
			this.reference = folded.configuration();
			folded.verdict().ifPresent((verdict) -> this.verdicts.put(verdict.getId(), verdict));
		}
		return this.reference;
	}

	/** Checks what operators were told against the order of the log. */
	void checkOperations() {
		reference();
		for (Operation one : this.operations) {
			if (one.told.equals(Operation.REFUSED)) {
				Verdict verdict = this.verdicts.get(one.id);
				assertThat(verdict != null && verdict.getAccepted()).as("%s is in force", one).isFalse();
			}
			for (Operation other : this.operations) {
				if (one.told.equals(Operation.ACCEPTED) && other.told.equals(Operation.ACCEPTED)
						&& one.returnedAtMs < firstInvokedAtMs(other.id)) {
					assertThat(offset(one.id)).as("order of %s and %s", one, other).isLessThan(offset(other.id));
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

	private record Event(long atMs, long order, SimulatedHost host, Runnable action) {

	}

}
