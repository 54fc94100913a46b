package org.wigeontally.claims;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import com.google.protobuf.ByteString;

import org.wigeontally.emulator.platform.MemoryLog;
import org.wigeontally.log.LogPage;
import org.wigeontally.log.PlatformLog;
import org.wigeontally.misc.ManualClock;
import org.wigeontally.schema.generated.Claim;
import org.wigeontally.schema.generated.ClaimInquiry;
import org.wigeontally.schema.generated.ClaimReport;
import org.wigeontally.schema.generated.ClaimState;
import org.wigeontally.schema.generated.LogRecord;
import org.wigeontally.schema.generated.Outcome;

/**
 * Entry hosts, agents and a log on one thread with a clock moved by hand: the real claim
 * code with messages that are late, lost or doubled, processes that are killed and
 * paused, appends that take effect late or twice, and outages of the log.
 */
final class ClaimWorld {

	static final long KEY_TIME_MS = 1_000_000;

	private static final int TICK_MS = 5;

	private static final int GATE_CAPACITY = 10_000;

	private final ManualClock clock = ManualClock.startingAt(KEY_TIME_MS);

	private final PriorityQueue<Event> events = new PriorityQueue<>(
			Comparator.comparingLong(Event::atMs).thenComparingLong(Event::number));

	private final MemoryLog memory;

	private final Random random;

	private final Faults faults;

	private final List<Entry> entries = new ArrayList<>();

	private final List<Agent> agents = new ArrayList<>();

	private final List<Sending> sendings = new ArrayList<>();

	private long number;

	private int processes;

	ClaimWorld(long seed, Faults faults) {
		this.random = new Random(seed);
		this.faults = faults;
		this.memory = MemoryLog.create(this.clock, seed);
	}

	Entry startEntry() {
		Entry entry = new Entry("e" + this.processes++);
		this.entries.add(entry);
		return entry;
	}

	Agent startAgent() {
		Agent agent = new Agent("a" + this.processes++);
		this.agents.add(agent);
		return agent;
	}

	List<Entry> entries() {
		return this.entries;
	}

	List<Agent> agents() {
		return this.agents;
	}

	List<Sending> sendings() {
		return this.sendings;
	}

	MemoryLog log() {
		return this.memory;
	}

	ManualClock clock() {
		return this.clock;
	}

	/** Sends a request with a key to an entry, or to the one in its place by then. */
	Sending send(int key, Entry entry, List<Agent> named, long inMs) {
		Sending sending = new Sending(this.sendings.size(), key);
		this.sendings.add(sending);
		at(inMs, null, () -> {
			Entry reached = entry.successor();
			List<String> processes = named.stream().map((agent) -> agent.successor().name()).toList();
			at(0, reached, () -> reached.take(sending, processes));
		});
		return sending;
	}

	void at(long inMs, Process process, Runnable action) {
		this.events.add(new Event(this.clock.monotonicMs() + inMs, this.number++, process, action));
	}

	void run(long forMs) {
		for (long passed = 0; passed < forMs; passed += TICK_MS) {
			this.clock.advance(TICK_MS);
			while (!this.events.isEmpty() && this.events.peek().atMs <= this.clock.monotonicMs()) {
				deliver(this.events.poll());
			}
			this.entries.stream().filter((entry) -> !entry.stopped()).forEach(Entry::tick);
		}
	}

	private void deliver(Event event) {
		if (event.process == null || !event.process.stopped()) {
			event.action.run();
			return;
		}
		if (event.process.alive) {
			at(event.process.pausedUntilMs - this.clock.monotonicMs(), event.process, event.action);
		}
	}

	/** Carries an answer over a network that delays and loses. */
	private <T> CompletionStage<T> call(Process to, java.util.function.Supplier<CompletionStage<T>> served) {
		CompletableFuture<T> answer = new CompletableFuture<>();
		at(this.faults.callTimeoutMs, null, () -> answer.completeExceptionally(new IllegalStateException("timeout")));
		int copies = chance(this.faults.doubled) ? 2 : 1;
		for (int i = 0; i < copies; i++) {
			if (!chance(this.faults.lost)) {
				at(delay(), to, () -> served.get().thenAccept((value) -> {
					if (!chance(this.faults.lost)) {
						at(delay(), null, () -> answer.complete(value));
					}
				}));
			}
		}
		return answer;
	}

	private boolean chance(double share) {
		return this.random.nextDouble() < share;
	}

	private long delay() {
		return chance(this.faults.late) ? this.random.nextInt(3000) : 1 + this.random.nextInt(4);
	}

	/**
	 * How often things go wrong.
	 *
	 * @param lost share of messages that are lost
	 * @param doubled share of calls that arrive twice
	 * @param late share of messages that are up to 3 s late
	 * @param lostAppends share of appends whose reply is lost; half of them take effect
	 * late or twice
	 * @param callTimeoutMs time after which a caller stops waiting for a reply
	 */
	record Faults(double lost, double doubled, double late, double lostAppends, long callTimeoutMs) {

		static Faults none() {
			return new Faults(0, 0, 0, 0, 500);
		}

		static Faults many() {
			return new Faults(0.05, 0.05, 0.05, 0.2, 500);
		}

	}

	private record Event(long atMs, long number, Process process, Runnable action) {

	}

	/**
	 * A process that can be killed and paused.
	 */
	abstract class Process {

		private final String name;

		private boolean alive = true;

		private long pausedUntilMs;

		Process(String name) {
			this.name = name;
		}

		String name() {
			return this.name;
		}

		void kill() {
			this.alive = false;
		}

		void pause(long ms) {
			this.pausedUntilMs = ClaimWorld.this.clock.monotonicMs() + ms;
		}

		boolean stopped() {
			return !this.alive || ClaimWorld.this.clock.monotonicMs() < this.pausedUntilMs;
		}

		void enqueue(Runnable action) {
			at(ClaimWorld.this.random.nextInt(2), this, action);
		}

	}

	/**
	 * One sending of a request by its caller.
	 */
	static final class Sending {

		private final int id;

		private final int key;

		private final List<Long> ranAtMs = new ArrayList<>();

		private ClaimDecision answer;

		Sending(int id, int key) {
			this.id = id;
			this.key = key;
		}

		int id() {
			return this.id;
		}

		int key() {
			return this.key;
		}

		int runs() {
			return this.ranAtMs.size();
		}

		ClaimDecision answer() {
			return this.answer;
		}

	}

	/**
	 * An entry host.
	 */
	final class Entry extends Process implements ClaimInquiries {

		private final LogBackedClaims claims;

		private final ClaimRecovery recovery;

		private final AtMostOnceDispatcher dispatch;

		private Entry next;

		Entry(String name) {
			super(name);
			this.claims = LogBackedClaims.create(new FaultyLog(), ClaimWorld.this.clock, this::enqueue, name, () -> 1,
					0);
			this.recovery = ClaimRecovery.create(this.claims, this, ClaimWorld.this.clock, this::enqueue);
			this.dispatch = AtMostOnceDispatcher.create(this.claims, this.recovery, this::enqueue);
		}

		/** Kills this process and starts another in its place. */
		Entry restart() {
			kill();
			this.next = startEntry();
			return this.next;
		}

		Entry successor() {
			return (this.next != null) ? this.next.successor() : this;
		}

		LogBackedClaims claims() {
			return this.claims;
		}

		void tick() {
			this.claims.tick();
			this.recovery.tick();
		}

		void take(Sending sending, List<String> named) {
			ClaimKey key = ClaimKey.of("koro", "order-desk", "key-" + sending.key);
			long deadlineMs = ClaimWorld.this.clock.monotonicMs() + 4000;
			ClaimRequest request = new ClaimRequest(key, sending.key, KEY_TIME_MS, named, deadlineMs);
			this.dispatch.run(request, (ticket) -> sendTo(ticket, sending))
				.thenAccept((answer) -> sending.answer = answer);
		}

		private CompletionStage<ClaimReport> sendTo(ClaimTicket ticket, Sending sending) {
			for (Agent agent : ClaimWorld.this.agents) {
				if (agent.name().equals(ticket.processId())) {
					return call(agent, () -> agent.serve(ticket, sending));
				}
			}
			return CompletableFuture.failedFuture(new IllegalStateException("no such agent"));
		}

		@Override
		public CompletionStage<ClaimReport> askHolder(Claim claim) {
			for (Entry entry : ClaimWorld.this.entries) {
				if (entry.name().equals(claim.getHost())) {
					return call(entry, () -> CompletableFuture.completedFuture(entry.claims.report(claim.getId())));
				}
			}
			return CompletableFuture.failedFuture(new IllegalStateException("no such entry"));
		}

		@Override
		public CompletionStage<ClaimReport> fence(String process, ClaimGrant holding) {
			ClaimInquiry inquiry = ClaimInquiry.newBuilder()
				.setClaim(holding.claim().getId())
				.setProcess(process)
				.setTimeMs(holding.logTimeMs())
				.build();
			for (Agent agent : ClaimWorld.this.agents) {
				if (agent.name().equals(process)) {
					Agent reached = agent.successor();
					return call(reached, () -> CompletableFuture.completedFuture(reached.gate.fence(inquiry)));
				}
			}
			return CompletableFuture.failedFuture(new IllegalStateException("no such agent"));
		}

	}

	/**
	 * An agent with a backend server that counts what it runs.
	 */
	final class Agent extends Process {

		private final DispatchDeduplicator gate;

		private Agent next;

		private boolean full;

		Agent(String name) {
			super(name);
			this.gate = DispatchDeduplicator.create(name, ClaimWorld.this.clock, GATE_CAPACITY);
		}

		void full(boolean value) {
			this.full = value;
		}

		/** Kills this process and starts another at its address. */
		Agent restart() {
			kill();
			this.next = startAgent();
			return this.next;
		}

		Agent successor() {
			return (this.next != null) ? this.next.successor() : this;
		}

		CompletionStage<ClaimReport> serve(ClaimTicket ticket, Sending sending) {
			ClaimInquiry inquiry = ClaimInquiry.newBuilder()
				.setClaim(ticket.claimId())
				.setProcess(ticket.processId())
				.setTimeMs(ticket.logTimeMs())
				.build();
			if (this.full || !this.gate.tryStart(ticket)) {
				return CompletableFuture.completedFuture(this.gate.fence(inquiry));
			}
			sending.ranAtMs.add(ClaimWorld.this.clock.monotonicMs());
			CompletableFuture<ClaimReport> ended = new CompletableFuture<>();
			at(5 + ClaimWorld.this.random.nextInt(60), this, () -> {
				Outcome outcome = Outcome.newBuilder()
					.setClaim(ticket.claimId())
					.setStatus(200)
					.setAnswer(ByteString.copyFromUtf8("answer " + sending.key))
					.build();
				this.gate.recordOutcome(ticket.claimId(), outcome);
				ended.complete(ClaimReport.newBuilder()
					.setClaim(ticket.claimId())
					.setState(ClaimState.CLAIM_DONE)
					.setOutcome(outcome)
					.build());
			});
			return ended;
		}

	}

	/**
	 * The log as one entry sees it: replies are lost, and appends take effect late or
	 * twice.
	 */
	private final class FaultyLog implements PlatformLog {

		@Override
		public CompletionStage<Long> append(String stream, LogRecord record) {
			if (!chance(ClaimWorld.this.faults.lostAppends)) {
				return ClaimWorld.this.memory.append(stream, record);
			}
			if (chance(0.5)) {
				ClaimWorld.this.memory.append(stream, record);
			}
			if (chance(0.5)) {
				at(ClaimWorld.this.random.nextInt(4000), null, () -> ClaimWorld.this.memory.append(stream, record));
			}
			return CompletableFuture.failedFuture(new IllegalStateException("the reply was lost"));
		}

		@Override
		public CompletionStage<LogPage> read(String stream, long from, int most, long waitMs) {
			return ClaimWorld.this.memory.read(stream, from, most, waitMs);
		}

	}

}
