package org.wigeontally.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;

import com.google.protobuf.ByteString;

import org.wigeontally.eventlog.LogEvent;
import org.wigeontally.fleet.AnnouncedVersions;
import org.wigeontally.fleet.CompactedTopic;
import org.wigeontally.fleet.EntryTable;
import org.wigeontally.rpc.ConsecutiveFailures;
import org.wigeontally.rpc.PeerClient;
import org.wigeontally.schema.generated.Address;
import org.wigeontally.schema.generated.EntryNews;
import org.wigeontally.schema.generated.FleetGrpcClient;
import org.wigeontally.schema.generated.HostSettings;
import org.wigeontally.schema.generated.RecordUpdate;
import org.wigeontally.schema.generated.StoreRecord;
import org.wigeontally.schema.generated.SuspectSummary;
import org.wigeontally.schema.generated.VersionAge;
import org.wigeontally.settings.Addresses;

/**
 * Exchanges news with the other entries: who takes callers, the store's records that one
 * side lacks, and requests suspected of bringing backend servers down. An entry that the
 * store turns away learns in this way what the others know. Runs on the event loop.
 */
final class EntryExchange {

	/** Longest message; a snapshot of all records must fit. */
	static final long MESSAGE_LIMIT_BYTES = 8 * 1024 * 1024;

	/** Time between two exchanges with each entry. */
	static final long INTERVAL_MS = 500;

	/**
	 * Time since an entry was heard of in which it is not called again; below the
	 * interval, so that one side of each pair calls once in each interval.
	 */
	private static final long QUIET_MS = 350;

	private static final long TIMEOUT_MS = 700;

	/** Failures in a row after which the connection is given up. */
	private static final int OVERDUE_LIMIT = 2;

	/** Age of the store's last answer from which registrations are asked of others. */
	private static final long STORE_AGE_LIMIT_MS = 2_600;

	private final GatewayContext context;

	private final EntryTable table;

	private final PeerClient calls;

	private final ConsecutiveFailures overdue = ConsecutiveFailures.create(OVERDUE_LIMIT);

	private final Map<String, Boolean> open = new HashMap<>();

	private final long incarnation;

	private LongSupplier backendStoreAgeMs = () -> 0;

	EntryExchange(GatewayContext context, EntryTable table, long incarnation) {
		this.context = context;
		this.table = table;
		this.incarnation = incarnation;
		this.calls = PeerClient.create(context.vertx(), "", TIMEOUT_MS, MESSAGE_LIMIT_BYTES);
	}

	void setBackendStoreAge(LongSupplier age) {
		this.backendStoreAgeMs = age;
	}

	/**
	 * Exchanges with the entries that were not heard of for a while.
	 */
	void exchangeWithDueEntries() {
		this.table.dueForExchange(this.context.nowMs(), QUIET_MS).forEach(this::exchange);
	}

	/**
	 * Exchanges with all entries, since there is news.
	 */
	void exchangeWithAllEntries() {
		this.table.dueForExchange(this.context.nowMs(), 0).forEach(this::exchange);
	}

	private void exchange(Address entry) {
		String key = Addresses.format(entry);
		boolean self = entry.equals(this.context.settings().getControl());
		if (!self && !this.open.getOrDefault(key, false)) {
			exchange(entry, key);
		}
	}

	private void exchange(Address entry, String key) {
		this.open.put(key, true);
		EntryNews message = news(null).build();
		this.calls.call(entry, FleetGrpcClient.Exchange, message, () -> this.overdue.recordFailure(entry))
			.onSuccess((reply) -> this.overdue.recordSuccess(entry))
			.onComplete((result) -> {
				this.open.remove(key);
				if (result.succeeded()) {
					take(result.result());
				}
				else {
					this.table.recordFailure(entry, this.context.nowMs());
				}
			});
	}

	/**
	 * Answers another entry.
	 * @param theirs its news
	 * @return what it lacks, and the news of this entry
	 */
	EntryNews handleNews(EntryNews theirs) {
		take(theirs);
		FleetState fleet = this.context.fleet();
		boolean operatorBehind = theirs.getOperatorEnd() > fleet.operatorRecords().endOffset();
		boolean backendsBehind = wantsBackends() && theirs.getBackendEnd() > fleet.backendRecords().endOffset();
		if (operatorBehind || backendsBehind) {
			exchange(theirs.getControl());
		}
		return news(theirs).build();
	}

	private boolean wantsBackends() {
		return this.backendStoreAgeMs.getAsLong() > STORE_AGE_LIMIT_MS;
	}

	private EntryNews.Builder news(EntryNews theirs) {
		FleetState fleet = this.context.fleet();
		HostSettings settings = this.context.settings();
		EntryNews.Builder news = ownNews().setWantsBackends(wantsBackends());
		SuspectSummary suspects = this.context.harmfulRequests().summary();
		if (suspects.getContentsCount() > 0) {
			news.setSuspects(suspects);
		}
		long nowMs = this.context.nowMs();
		fleet.announcedVersionsByModel()
			.forEach((model, named) -> named.announcementTimes()
				.forEach((version, atMs) -> news
					.addVersions(VersionAge.newBuilder().setModel(model).setVersion(version).setAgeMs(nowMs - atMs))));
		if (theirs == null) {
			return news;
		}
		if (theirs.getOperatorEnd() < fleet.operatorRecords().endOffset()) {
			news.setOperatorUpdate(update(fleet.operatorRecords(), theirs.getOperatorEnd()));
		}
		if (theirs.getWantsBackends() && theirs.getBackendEnd() < fleet.backendRecords().endOffset()) {
			news.setBackendUpdate(update(fleet.backendRecords(), theirs.getBackendEnd()));
		}
		for (EntryNews known : this.table.liveEntries(this.context.nowMs())) {
			if (!known.getControl().equals(settings.getControl())) {
				news.addEntries(known.getControl());
			}
		}
		return news;
	}

	/**
	 * Returns what this entry says of itself.
	 * @return the news, without records
	 */
	EntryNews.Builder ownNews() {
		FleetState fleet = this.context.fleet();
		HostSettings settings = this.context.settings();
		return EntryNews.newBuilder()
			.setHost(settings.getHost())
			.setFront(settings.getFront())
			.setControl(settings.getControl())
			.setZone(settings.getZone())
			.setRegion(settings.getRegion())
			.setIncarnation(this.incarnation)
			.setReady(isReady())
			.setOperatorEnd(fleet.operatorRecords().endOffset())
			.setBackendEnd(fleet.backendRecords().endOffset());
	}

	boolean isReady() {
		return !this.context.isDraining() && this.context.fleet().configuration() != null;
	}

	private static RecordUpdate update(CompactedTopic records, long theirEnd) {
		RecordUpdate.Builder update = RecordUpdate.newBuilder()
			.setFrom((theirEnd < records.tombstoneStartOffset()) ? 0 : theirEnd)
			.setEnd(records.endOffset());
		for (CompactedTopic.TopicRecord entry : records.recordsSince(theirEnd)) {
			update.addRecords(StoreRecord.newBuilder()
				.setKey(entry.key())
				.setOffset(entry.offset())
				.setRemoved(entry.removed())
				.setValue(ByteString.copyFrom(entry.value())));
		}
		return update.build();
	}

	private void take(EntryNews theirs) {
		boolean regained = this.table.recordMessage(theirs, this.context.nowMs());
		if (regained) {
			this.context.log()
				.write(LogEvent.PEER, "entry", theirs.getHost(), "zone", theirs.getZone(), "ready", theirs.getReady(),
						"incarnation", theirs.getIncarnation());
		}
		theirs.getEntriesList().forEach(this.table::addAddress);
		FleetState fleet = this.context.fleet();
		String source = "entry:" + theirs.getHost();
		if (theirs.hasOperatorUpdate()) {
			boolean first = fleet.operatorRecords().endOffset() == 0;
			long sinceMs = first ? AnnouncedVersions.UNKNOWN_TIME_MS : this.context.nowMs() - INTERVAL_MS;
			fleet.applyOperatorRecords(merge(fleet.operatorRecords(), theirs.getOperatorUpdate()), source, sinceMs);
		}
		if (theirs.hasBackendUpdate()) {
			fleet.applyBackendRecords(merge(fleet.backendRecords(), theirs.getBackendUpdate()), source);
		}
		long nowMs = this.context.nowMs();
		theirs.getVersionsList()
			.forEach((named) -> fleet.announcedVersions(named.getModel())
				.updateAnnouncementTime(named.getVersion(), nowMs - named.getAgeMs()));
		if (theirs.hasSuspects()) {
			this.context.harmfulRequests().merge(theirs.getSuspects());
		}
		fleet.setEntryCount(this.table.liveEntries(this.context.nowMs()).size() + 1);
	}

	private static List<String> merge(CompactedTopic records, RecordUpdate update) {
		List<CompactedTopic.TopicRecord> entries = new ArrayList<>();
		for (StoreRecord record : update.getRecordsList()) {
			entries.add(new CompactedTopic.TopicRecord(record.getKey(), record.getOffset(),
					record.getValue().toByteArray(), record.getRemoved()));
		}
		return (update.getFrom() == 0) ? records.applySnapshot(entries, update.getEnd())
				: records.applyUpdate(update.getFrom(), entries, update.getEnd());
	}

}
