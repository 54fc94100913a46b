package org.wigeontally.gateway;

import java.util.function.ToLongFunction;

import org.wigeontally.fleet.EntryTable;
import org.wigeontally.fleet.StoreReadPlan;
import org.wigeontally.schema.generated.EntryNews;

/**
 * What the other entries of the region know of one topic, by their last messages.
 */
final class EntryRegionSupply implements RegionSupply {

	private final EntryExchange exchange;

	private final EntryTable entries;

	private final GatewayContext context;

	private final ToLongFunction<EntryNews> endPosition;

	private final boolean hasLargeRecords;

	EntryRegionSupply(EntryExchange exchange, EntryTable entries, GatewayContext context,
			ToLongFunction<EntryNews> endPosition, boolean hasLargeRecords) {
		this.exchange = exchange;
		this.entries = entries;
		this.context = context;
		this.endPosition = endPosition;
		this.hasLargeRecords = hasLargeRecords;
	}

	@Override
	public int rank() {
		return this.exchange.readRank();
	}

	@Override
	public boolean sharesLargeRecords() {
		return this.hasLargeRecords;
	}

	@Override
	public boolean isReceiving() {
		return this.hasLargeRecords && (this.exchange.contents().isReceiving()
				|| !this.entries.receivingNearby(this.context.nowMs()).isEmpty());
	}

	@Override
	public boolean isReceivedByEarlierEntry() {
		return this.hasLargeRecords && StoreReadPlan.rank(this.exchange.ownNews().build(),
				this.entries.receivingNearby(this.context.nowMs())) > 0;
	}

	@Override
	public boolean hasRecords() {
		return this.entries.nearEntries(this.context.nowMs())
			.stream()
			.anyMatch((entry) -> this.endPosition.applyAsLong(entry) > 0);
	}

	@Override
	public void announceReceiving() {
		if (this.hasLargeRecords) {
			this.exchange.exchangeWithRegion();
		}
	}

}
