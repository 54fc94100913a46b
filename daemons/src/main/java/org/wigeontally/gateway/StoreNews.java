package org.wigeontally.gateway;

import java.util.function.Consumer;

import org.wigeontally.fleet.EntryTable;
import org.wigeontally.fleet.StoreReadPlan;
import org.wigeontally.fleet.StoreUptime;
import org.wigeontally.schema.generated.Address;
import org.wigeontally.schema.generated.EntryNews;

/**
 * What the other entries tell of the store: how old their records are, since when it is
 * up, and for how long they keep removed registrations. Decides whether an outage that
 * this entry saw was one for all. Runs on the event loop.
 */
final class StoreNews {

	/** Entries of each region that are asked at once; one of them may be gone. */
	private static final int ENTRIES_ASKED_PER_REGION = 2;

	private final GatewayContext context;

	private final EntryTable table;

	private final Consumer<Address> ask;

	private final StoreFollower operatorFollower;

	private final StoreFollower backendFollower;

	// When the newest question was asked that another entry has answered.
	private long lastAnsweredAskedAtMs = Long.MIN_VALUE / 2;

	StoreNews(GatewayContext context, EntryTable table, Consumer<Address> ask, StoreFollower operatorFollower,
			StoreFollower backendFollower) {
		this.context = context;
		this.table = table;
		this.ask = ask;
		this.operatorFollower = operatorFollower;
		this.backendFollower = backendFollower;
	}

	/**
	 * Adds what this entry tells of the store.
	 * @param news the message
	 */
	void addTo(EntryNews.Builder news) {
		news.setOperatorAgeMs(this.operatorFollower.toldAgeMs())
			.setBackendAgeMs(this.backendFollower.toldAgeMs())
			.setStoreUptimeMs(this.backendFollower.uptime().durationMs(this.context.nowMs()));
	}

	/**
	 * Records since when another entry knows the store to be up, and its grace period.
	 * Must come before the records of the reply are applied.
	 * @param reply the reply
	 * @param sentAtMs when this entry asked
	 */
	void recordUptime(EntryNews reply, long sentAtMs) {
		FleetState fleet = this.context.fleet();
		// Registrations may lapse while the store is away; the reader knows that it was.
		if (reply.hasBackendUpdate()) {
			fleet.grace().told(reply.getLapseGraceMs(), sentAtMs, this.backendFollower.knowledge());
		}
		this.lastAnsweredAskedAtMs = Math.max(this.lastAnsweredAskedAtMs, sentAtMs);
		this.backendFollower.recordUptimeTold(reply.getStoreUptimeMs(), reply.getBackendAgeMs(), sentAtMs);
		// After a restore of the store removals wait, however long it was up.
		if (this.backendFollower.uptime().isKnown() && !fleet.backendRecords().isSettlementNeeded()) {
			fleet.grace().storeUpSince(this.backendFollower.uptime().sinceMs());
			fleet.removeLapsedBackends();
		}
	}

	/**
	 * Records the age of the records of another entry. The reply holds all records that
	 * its sender knew when it was asked, so they are known as of the time of the
	 * question, less the age that they had there. Must come after they are applied.
	 * @param reply the reply
	 * @param sentAtMs when this entry asked
	 */
	void recordAges(EntryNews reply, long sentAtMs) {
		FleetState fleet = this.context.fleet();
		fleet.grace().storeAnswered(sentAtMs - reply.getBackendAgeMs());
		if (fleet.operatorRecords().endPosition() >= reply.getOperatorEnd()) {
			this.operatorFollower.recordKnownAsOf(sentAtMs - reply.getOperatorAgeMs());
		}
		if (fleet.backendRecords().endPosition() >= reply.getBackendEnd()) {
			this.backendFollower.recordKnownAsOf(sentAtMs - reply.getBackendAgeMs());
		}
	}

	/**
	 * Begins a grace period because the store is back after an outage, and asks some
	 * entries of each region at once whether it was one for them, also those that did not
	 * answer lately.
	 */
	void storeReturned() {
		this.context.fleet()
			.grace()
			.storeReturned(this.backendFollower.lastFailedCallAtMs(), this.backendFollower.uptime().sinceMs(),
					isOutageConfirmed());
		StoreReadPlan.firstReaders(this.table.recentEntries(this.context.nowMs()), ENTRIES_ASKED_PER_REGION)
			.forEach(this.ask);
	}

	/**
	 * Begins a grace period because the store was restored. Registrations are written
	 * again after that, however long ago the store answered.
	 */
	void storeRestored() {
		long nowMs = this.context.nowMs();
		this.context.fleet().grace().storeReturned(nowMs, nowMs, true);
	}

	// An entry that answered so long after the last answer of the store, and knew of no
	// later one, had none either.
	private boolean isOutageConfirmed() {
		boolean alone = !this.table.hasOtherThan(this.context.settings().getControl());
		return alone || this.lastAnsweredAskedAtMs >= this.backendFollower.outageBeganAtMs() + StoreUptime.LAPSE_MS;
	}

}
