package org.wigeontally.emulator.configuration;

import java.util.HashMap;
import java.util.Map;
import java.util.function.BooleanSupplier;

import org.wigeontally.contents.LargeContent;
import org.wigeontally.fleet.EntryTable;
import org.wigeontally.fleet.StoreReadPlan;
import org.wigeontally.schema.generated.Address;
import org.wigeontally.schema.generated.EntryNews;
import org.wigeontally.settings.Addresses;

/**
 * One entry: exchanges messages with the others, follows the store and downloads contents
 * as a process does. Used by one thread.
 */
final class SimulatedEntry {

	/** Measured at configurations of 450 KB. */
	static final double COMPRESSION_MS_PER_BYTE = 25e-6;

	private static final double PROCESSING_MS = 3;

	private static final double EXCHANGE_INTERVAL_MS = 500;

	private static final long RECENT_CONTACT_MS = 350;

	private static final double EXCHANGE_TIMEOUT_MS = 700;

	private static final double MAX_STORE_AGE_MS = 2_600;

	private static final long OPERATOR_READ_PAUSE_MS = 30;

	private static final long BACKEND_READ_PAUSE_MS = 700;

	private final SpreadNetwork network;

	private final Address address;

	private final int region;

	private final Link up;

	private final Link down;

	private final Map<String, Boolean> pendingExchanges = new HashMap<>();

	private EntryTable table;

	private SimulatedContents contents;

	private SimulatedFollower operatorFollower;

	private SimulatedFollower backendFollower;

	private boolean alive;

	private int incarnation;

	private double frozenUntilMs;

	private double countsFromMs;

	private long version;

	private Runnable halfReceived;

	SimulatedEntry(SpreadNetwork network, Address address, int region, Link up, Link down) {
		this.network = network;
		this.address = address;
		this.region = region;
		this.up = up;
		this.down = down;
	}

	/**
	 * Starts the process.
	 * @param warm true if it has run for a while
	 */
	void start(boolean warm) {
		this.alive = true;
		this.incarnation++;
		this.countsFromMs = nowMs();
		this.version = 0;
		this.pendingExchanges.clear();
		this.table = EntryTable.create("region-" + this.region);
		this.contents = new SimulatedContents(this);
		this.operatorFollower = new SimulatedFollower(this, true, OPERATOR_READ_PAUSE_MS);
		this.backendFollower = new SimulatedFollower(this, false, BACKEND_READ_PAUSE_MS);
		this.network.contacts(this).forEach((contact) -> this.table.addAddress(contact.address));
		if (warm) {
			this.version = this.network.store().newestVersion();
			this.operatorFollower.warm(this.version + 1);
			this.backendFollower.warm(1);
		}
		after(warm ? this.network.random().nextDouble() * EXCHANGE_INTERVAL_MS : 0, this::exchangePeriodically);
		after(0, this.operatorFollower::readNext);
		after(0, this.backendFollower::readNext);
	}

	/**
	 * Tells a process that has run for a while of the others.
	 */
	void meetContacts() {
		for (SimulatedEntry contact : this.network.contacts(this)) {
			this.table.recordMessage(contact.news(), (long) nowMs());
		}
	}

	void kill() {
		this.alive = false;
		this.incarnation++;
	}

	void freezeFor(double durationMs) {
		this.frozenUntilMs = nowMs() + durationMs;
		this.countsFromMs = this.frozenUntilMs;
	}

	boolean isAlive() {
		return this.alive;
	}

	boolean isFrozen() {
		return nowMs() < this.frozenUntilMs;
	}

	/**
	 * Returns the instant from which on delays count against the entry.
	 * @return start of its process, or the end of its last pause
	 */
	double countsFromMs() {
		return this.countsFromMs;
	}

	boolean isReady() {
		return this.version > 0 && this.backendFollower.end() > 0;
	}

	SpreadNetwork network() {
		return this.network;
	}

	Address address() {
		return this.address;
	}

	int region() {
		return this.region;
	}

	Link up() {
		return this.up;
	}

	Link down() {
		return this.down;
	}

	EntryTable table() {
		return this.table;
	}

	SimulatedContents contents() {
		return this.contents;
	}

	long version() {
		return this.version;
	}

	double nowMs() {
		return this.network.time().nowMs();
	}

	double registrationAgeMs() {
		return this.backendFollower.ageMs();
	}

	void onHalfReceived(Runnable action) {
		this.halfReceived = action;
	}

	void reportProgress(int receivedBytes) {
		if (this.halfReceived != null && receivedBytes >= this.network.setting().recordBytes() / 2) {
			Runnable action = this.halfReceived;
			this.halfReceived = null;
			action.run();
		}
	}

	/**
	 * Runs an action of the present process after a delay, and not while it is paused.
	 * @param delayMs the delay
	 * @param action the action
	 */
	void after(double delayMs, Runnable action) {
		this.network.time().after(delayMs, delivery(action));
	}

	/**
	 * Binds an action to the present process.
	 * @param action the action
	 * @return runs it unless the process has ended, and not while it is paused
	 */
	Runnable delivery(Runnable action) {
		int current = this.incarnation;
		return () -> {
			if (this.incarnation != current) {
				return;
			}
			if (isFrozen()) {
				this.network.time().after(this.frozenUntilMs - nowMs(), delivery(action));
				return;
			}
			action.run();
		};
	}

	/**
	 * Binds a condition to the present process.
	 * @param condition the condition
	 * @return false as soon as the process has ended
	 */
	BooleanSupplier alive(BooleanSupplier condition) {
		int current = this.incarnation;
		return () -> this.incarnation == current && condition.getAsBoolean();
	}

	boolean isReceivingFromStore() {
		return this.operatorFollower.isReceiving();
	}

	int rank() {
		return StoreReadPlan.rank(news(), this.table.liveEntries((long) nowMs()));
	}

	boolean isRegionReceiving() {
		return this.contents.isReceiving() || !this.table.receivingNearby((long) nowMs()).isEmpty();
	}

	boolean isReceivedByEarlierEntry() {
		return StoreReadPlan.rank(news(), this.table.receivingNearby((long) nowMs())) > 0;
	}

	boolean hasRegionRecords(boolean operator) {
		return this.table.nearEntries((long) nowMs())
			.stream()
			.anyMatch((entry) -> (operator ? entry.getOperatorEnd() : entry.getBackendEnd()) > 0);
	}

	EntryNews news() {
		return EntryNews.newBuilder()
			.setControl(this.address)
			.setRegion("region-" + this.region)
			.setReady(isReady())
			.setOperatorEnd(this.operatorFollower.end())
			.setBackendEnd(this.backendFollower.end())
			.setStoreReachable(this.operatorFollower.isStoreReachable() && this.backendFollower.isStoreReachable())
			.setOperatorAgeMs((long) this.operatorFollower.ageMs())
			.setBackendAgeMs((long) this.backendFollower.ageMs())
			.setReceiving(this.network.policy().sendsReferences()
					&& (this.operatorFollower.isReceiving() || this.contents.isReceivingFromOtherRegion()))
			.build();
	}

	private Address storeReader() {
		return StoreReadPlan.reader(news(), this.table.liveEntries((long) nowMs()));
	}

	private void exchangePeriodically() {
		exchange(storeReader(), true);
		this.table.dueForExchange((long) nowMs(), RECENT_CONTACT_MS).forEach((entry) -> exchange(entry, false));
		after(EXCHANGE_INTERVAL_MS, this::exchangePeriodically);
	}

	void exchangeWithRegion() {
		this.table.nearEntries((long) nowMs()).forEach((entry) -> exchange(entry.getControl(), false));
	}

	private void exchange(Address peer, boolean wantsRecords) {
		if (!peer.equals(this.address) && this.pendingExchanges.putIfAbsent(Addresses.format(peer), true) == null) {
			new Exchange(this.network.entry(peer), wantsRecords).start();
		}
	}

	private void applyNews(EntryNews news) {
		this.table.recordMessage(news, (long) nowMs());
	}

	private void fetchIfBehind(EntryNews peerNews) {
		boolean operatorBehind = peerNews.getOperatorEnd() > this.operatorFollower.end();
		boolean backendBehind = this.backendFollower.ageMs() > MAX_STORE_AGE_MS
				&& peerNews.getBackendEnd() > this.backendFollower.end();
		if (!operatorBehind && !backendBehind) {
			return;
		}
		boolean supplied = this.operatorFollower.ageMs() <= StoreReadPlan.MAX_AGE_MS
				&& this.network.entry(peerNews.getControl()).region != this.region;
		exchange(supplied ? storeReader() : peerNews.getControl(), true);
	}

	void applyFromStore(long newVersion) {
		this.version = Math.max(this.version, newVersion);
		this.contents.cache(newVersion);
		exchangeWithRegion();
	}

	void applyContent(long newVersion) {
		this.version = Math.max(this.version, newVersion);
		exchange(storeReader(), true);
	}

	/** An exchange that is under way. */
	private final class Exchange {

		private final SimulatedEntry peer;

		private final boolean wantsRecords;

		private final double sentAtMs = nowMs();

		private boolean ended;

		private Exchange(SimulatedEntry peer, boolean wantsRecords) {
			this.peer = peer;
			this.wantsRecords = wantsRecords;
		}

		private void start() {
			EntryNews message = news();
			SimulatedEntry.this.network.send(SimulatedEntry.this.network.path(SimulatedEntry.this, this.peer),
					this.peer.delivery(() -> answer(message)));
			after(EXCHANGE_TIMEOUT_MS, () -> end(false, null));
		}

		private void answer(EntryNews message) {
			this.peer.applyNews(message);
			this.peer.fetchIfBehind(message);
			EntryNews reply = this.peer.news();
			boolean update = this.wantsRecords && message.getOperatorEnd() < reply.getOperatorEnd();
			long sentVersion = update ? this.peer.version : 0;
			SpreadNetwork net = SimulatedEntry.this.network;
			Runnable arrived = () -> end(true, () -> apply(reply, sentVersion));
			boolean whole = update && !isReference();
			if (!whole) {
				net.time()
					.after(PROCESSING_MS, () -> net.send(net.path(this.peer, SimulatedEntry.this), delivery(arrived)));
				return;
			}
			Transfer.start(net.time(), net.path(this.peer, SimulatedEntry.this), net.setting().recordBytes(),
					this.peer.alive(alive(() -> !this.ended)), (action) -> delivery(action).run(), (bytes) -> true,
					arrived);
		}

		private boolean isReference() {
			return SimulatedEntry.this.network.policy().sendsReferences()
					&& SimulatedEntry.this.network.setting().recordBytes() > LargeContent.MAX_INLINE_BYTES;
		}

		private void apply(EntryNews reply, long sentVersion) {
			applyNews(reply);
			if (this.wantsRecords) {
				SimulatedEntry.this.backendFollower.setEnd(reply.getBackendEnd());
			}
			if (sentVersion > 0) {
				applyUpdate(reply.getOperatorEnd(), sentVersion);
			}
			if (SimulatedEntry.this.operatorFollower.end() >= reply.getOperatorEnd()) {
				SimulatedEntry.this.operatorFollower.recordKnownAsOf(this.sentAtMs - reply.getOperatorAgeMs());
			}
			if (SimulatedEntry.this.backendFollower.end() >= reply.getBackendEnd()) {
				SimulatedEntry.this.backendFollower.recordKnownAsOf(this.sentAtMs - reply.getBackendAgeMs());
			}
			fetchIfBehind(reply);
		}

		private void applyUpdate(long end, long sentVersion) {
			SimulatedEntry entry = SimulatedEntry.this;
			boolean known = entry.version >= sentVersion || entry.contents.isCached(sentVersion);
			if (!known && isReference()) {
				entry.contents.request(sentVersion);
				return;
			}
			entry.version = Math.max(entry.version, sentVersion);
			entry.operatorFollower.setEnd(end);
		}

		private void end(boolean succeeded, Runnable outcome) {
			if (this.ended) {
				return;
			}
			this.ended = true;
			SimulatedEntry.this.pendingExchanges.remove(Addresses.format(this.peer.address));
			if (succeeded) {
				outcome.run();
				return;
			}
			SimulatedEntry.this.table.recordFailure(this.peer.address, (long) nowMs());
		}

	}

}
