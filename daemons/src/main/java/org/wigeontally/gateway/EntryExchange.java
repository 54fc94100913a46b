package org.wigeontally.gateway;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.wigeontally.eventlog.LogEvent;
import org.wigeontally.fleet.AnnouncedVersions;
import org.wigeontally.fleet.CompactedTopic;
import org.wigeontally.fleet.DueContacts;
import org.wigeontally.fleet.EntryTable;
import org.wigeontally.fleet.StoreReadPlan;
import org.wigeontally.platform.wire.ConfigurationDecoder;
import org.wigeontally.rpc.ConsecutiveFailures;
import org.wigeontally.rpc.PeerClient;
import org.wigeontally.schema.generated.Address;
import org.wigeontally.schema.generated.EntryNews;
import org.wigeontally.schema.generated.FleetGrpcClient;
import org.wigeontally.schema.generated.HostSettings;
import org.wigeontally.schema.generated.RecordUpdate;
import org.wigeontally.schema.generated.StoreRecord;
import org.wigeontally.settings.Addresses;

/**
 * Exchanges state with the other entries: which entries accept callers, the store's
 * records that one side lacks, and requests suspected of crashing backend servers. An
 * entry that does not or cannot read the store thus receives its records from the other
 * entries. Runs on the event loop.
 */
final class EntryExchange {

	/** Maximum message size; a snapshot of all records must fit. */
	static final long MESSAGE_LIMIT_BYTES = 8 * 1024 * 1024;

	/** Interval of the exchanges with each entry. */
	static final long INTERVAL_MS = 500;

	/**
	 * Time after which an entry is contacted again. Shorter than the interval, so that it
	 * is contacted in each one.
	 */
	private static final long RECENT_CONTACT_MS = 350;

	private static final long TIMEOUT_MS = 700;

	/** Consecutive failures after which the connection is closed. */
	private static final int MAX_CONSECUTIVE_FAILURES = 2;

	/**
	 * Age of the registrations above which they are requested from all entries.
	 */
	private static final long MAX_STORE_AGE_MS = 2_600;

	private final GatewayContext context;

	private final EntryTable table;

	private final PeerClient client;

	private final ContentExchange contents;

	private final ConsecutiveFailures failures = ConsecutiveFailures.create(MAX_CONSECUTIVE_FAILURES);

	private final Map<String, Boolean> pendingExchanges = new HashMap<>();

	// What each entry was last asked for. Its reply may name large records, which are not
	// known until they are downloaded.
	private final Map<Address, RecordRequest> lastRequests = new HashMap<>();

	// Entries whose pending exchange began before the newest change of this entry.
	private final Set<String> outdatedExchanges = new HashSet<>();

	private final long incarnation;

	private final SharedFacts facts;

	private final EntryHeartbeats heartbeats;

	private long sequence;

	private StoreFollower operatorFollower;

	private StoreFollower backendFollower;

	private StoreNews storeNews;

	EntryExchange(GatewayContext context, EntryTable table, EntryHeartbeats heartbeats, long incarnation) {
		this.context = context;
		this.facts = new SharedFacts(context, table);
		this.heartbeats = heartbeats;
		this.table = table;
		this.incarnation = incarnation;
		this.client = PeerClient.create(context.vertx(), "", TIMEOUT_MS, MESSAGE_LIMIT_BYTES);
		this.contents = new ContentExchange(context, table, this::applyReceivedRecord, this::exchangeWithRegion,
				() -> this.operatorFollower.isReceiving());
	}

	ContentExchange contents() {
		return this.contents;
	}

	/**
	 * Returns what the other entries of the region know of the operators' records.
	 * @return their knowledge
	 */
	RegionSupply operatorSupply() {
		return new EntryRegionSupply(this, this.table, this.context, EntryNews::getOperatorEnd, true);
	}

	/**
	 * Returns what the other entries of the region know of the backend servers'
	 * registrations, which are small.
	 * @return their knowledge
	 */
	RegionSupply backendSupply() {
		return new EntryRegionSupply(this, this.table, this.context, EntryNews::getBackendEnd, false);
	}

	StoreNews storeNews() {
		return this.storeNews;
	}

	void setFollowers(StoreFollower operator, StoreFollower backend) {
		this.operatorFollower = operator;
		this.backendFollower = backend;
		this.storeNews = new StoreNews(this.context, this.table, (entry) -> exchange(entry, false), operator, backend);
	}

	/**
	 * Returns whether this entry reads the store for its region.
	 * @return true if it does
	 */
	boolean isStoreReader() {
		return storeReader().equals(this.context.settings().getControl());
	}

	private Address storeReader() {
		return StoreReadPlan.reader(ownNews().build(), this.table.liveEntries(this.context.nowMs()));
	}

	/**
	 * Returns the place of this entry in the order in which the entries of its region
	 * read the store.
	 * @return 0 for the reader
	 */
	int readRank() {
		return StoreReadPlan.rank(ownNews().build(), this.table.liveEntries(this.context.nowMs()));
	}

	/**
	 * Exchanges with the entry that reads the store for this region, and contacts the
	 * entries that were not told the state of this one lately.
	 */
	void contactDueEntries() {
		exchange(storeReader(), true);
		EntryNews own = newsFor(null).build();
		boolean supplied = this.operatorFollower.ageMs() <= StoreReadPlan.MAX_AGE_MS;
		contact(this.table.dueContacts(own, RECENT_CONTACT_MS, supplied, this.context.nowMs()), own);
	}

	/**
	 * Tells all entries at once that this one takes callers. Unlike other urgent news it
	 * is in every heartbeat.
	 */
	void tellReadiness() {
		EntryNews own = newsFor(null).build();
		contact(this.table.contactsWithAll(own, this.context.nowMs()), own);
	}

	private void contact(DueContacts due, EntryNews own) {
		due.calls().forEach((entry) -> exchange(entry, false));
		this.heartbeats.send(ownNews().setEntriesDigest(own.getEntriesDigest())
			.setFactsDigest(own.getFactsDigest())
			.addAllVersions(own.getVersionsList())
			.setSequence(++this.sequence)
			.build(), due.heartbeats());
	}

	/**
	 * Applies a heartbeat of another entry.
	 * @param heartbeat its state
	 */
	void handleHeartbeat(EntryNews heartbeat) {
		if (this.heartbeats.receive(heartbeat)) {
			this.facts.applyVersions(heartbeat);
			fetchIfBehind(heartbeat);
		}
	}

	/**
	 * Exchanges with all entries at once, because the state of this entry changed. An
	 * entry with which an exchange is under way may have got the earlier state, so the
	 * exchange is repeated when that one has ended.
	 */
	void exchangeWithAllEntries() {
		this.table.dueForExchange(this.context.nowMs(), 0).forEach((entry) -> {
			String key = Addresses.format(entry);
			if (this.pendingExchanges.getOrDefault(key, false)) {
				this.outdatedExchanges.add(key);
			}
			else {
				exchange(entry, false);
			}
		});
	}

	/**
	 * Exchanges with the entries of this region at once, because there are new records of
	 * operators or such are being received. Other regions have their own reader.
	 */
	void exchangeWithRegion() {
		String region = this.context.settings().getRegion();
		for (EntryNews entry : this.table.liveEntries(this.context.nowMs())) {
			if (entry.getRegion().equals(region)) {
				exchange(entry.getControl(), false);
			}
		}
	}

	private void exchange(Address entry, boolean wantsRecords) {
		String key = Addresses.format(entry);
		boolean self = entry.equals(this.context.settings().getControl());
		if (!self && !this.pendingExchanges.getOrDefault(key, false)) {
			exchange(entry, key, wantsRecords);
		}
	}

	private void exchange(Address entry, String key, boolean wantsRecords) {
		EntryNews message = newsFor(null).setWantsRecords(wantsRecords).build();
		this.pendingExchanges.put(key, true);
		long sentAtMs = this.context.nowMs();
		this.client.call(entry, FleetGrpcClient.Exchange, message, () -> this.failures.recordFailure(entry))
			.onSuccess((reply) -> this.failures.recordSuccess(entry))
			.onComplete((result) -> {
				this.pendingExchanges.remove(key);
				if (this.outdatedExchanges.remove(key)) {
					exchange(entry, false);
				}
				if (result.succeeded()) {
					this.storeNews.recordUptime(result.result(), sentAtMs);
					applyNews(result.result());
					recordLimits(result.result(), sentAtMs);
					this.storeNews.recordAges(result.result(), sentAtMs);
					fetchIfBehind(result.result());
				}
				else {
					this.context.log()
						.write(LogEvent.EXCHANGE_FAILED, "entry", key, "wants-records", wantsRecords, "reason",
								result.cause().getMessage());
					this.table.recordFailure(entry, this.context.nowMs());
				}
			});
	}

	// Asks for the records that another entry has and this one lacks. As long as the
	// reader of the region supplies them in time, it is asked and not the other entry, so
	// that a large configuration crosses the border of a region once.
	private void fetchIfBehind(EntryNews peerNews) {
		FleetState fleet = this.context.fleet();
		boolean operatorRecordsBehind = peerNews.getOperatorEnd() > fleet.operatorRecords().endPosition();
		// After the store was restored, another entry can have a newer configuration
		// without having more records.
		boolean configurationBehind = !operatorRecordsBehind
				&& peerNews.getConfigurationVersion() > fleet.configurationVersion();
		boolean backendRecordsBehind = needsBackendRecords()
				&& peerNews.getBackendEnd() > fleet.backendRecords().endPosition();
		if (!operatorRecordsBehind && !configurationBehind && !backendRecordsBehind) {
			return;
		}
		boolean supplied = this.operatorFollower.ageMs() <= StoreReadPlan.MAX_AGE_MS && !configurationBehind
				&& !peerNews.getRegion().equals(this.context.settings().getRegion());
		Address source = supplied ? storeReader() : peerNews.getControl();
		RecordRequest last = this.lastRequests.get(source);
		RecordRequest request = new RecordRequest(peerNews.getOperatorEnd(), peerNews.getConfigurationVersion(),
				this.context.nowMs());
		if (last == null || !last.isRepeatedBy(request)) {
			this.lastRequests.put(source, request);
			exchange(source, true);
		}
	}

	private void recordLimits(EntryNews reply, long sentAtMs) {
		BackendLimits limits = this.context.limits();
		reply.getLimitedBackendsList().forEach((limited) -> limits.recordReply(limited, source(reply), sentAtMs));
	}

	private static String source(EntryNews peerNews) {
		return "entry:" + peerNews.getHost();
	}

	/**
	 * Applies the news of another entry and builds the reply.
	 * @param peerNews the news of the other entry
	 * @return the records that it lacks, and the news of this entry
	 */
	EntryNews handleNews(EntryNews peerNews) {
		applyNews(peerNews);
		BackendLimits limits = this.context.limits();
		peerNews.getLimitedBackendsList().forEach((limited) -> limits.record(limited, source(peerNews)));
		fetchIfBehind(peerNews);
		return newsFor(peerNews).build();
	}

	private boolean needsBackendRecords() {
		return this.backendFollower.ageMs() > MAX_STORE_AGE_MS;
	}

	private EntryNews.Builder newsFor(EntryNews peerNews) {
		FleetState fleet = this.context.fleet();
		HostSettings settings = this.context.settings();
		EntryNews.Builder news = ownNews().setLapseGraceMs(fleet.grace().remainingMs())
			.setEntriesDigest(this.table.digest(settings.getControl(), this.context.nowMs()))
			.setSequence(++this.sequence);
		this.facts.addTo(news);
		if (peerNews == null) {
			// The calling side sends no records; a peer that lacks some asks for them.
			return news;
		}
		if (peerNews.getWantsRecords()) {
			addRecords(news, peerNews);
		}
		this.facts.addEntries(news, peerNews);
		return news;
	}

	private void addRecords(EntryNews.Builder news, EntryNews peerNews) {
		FleetState fleet = this.context.fleet();
		if (peerNews.getOperatorEnd() < fleet.operatorRecords().endPosition()) {
			news.setOperatorUpdate(
					recordUpdateSince(fleet.operatorRecords(), peerNews.getOperatorEnd(), peerNews.getReadsContent()));
		}
		addNewestConfiguration(news, peerNews);
		if (peerNews.getBackendEnd() < fleet.backendRecords().endPosition()) {
			news.setBackendUpdate(recordUpdateSince(fleet.backendRecords(), peerNews.getBackendEnd(), false));
		}
	}

	/**
	 * Returns the state of this entry: its addresses, location, readiness and record
	 * offsets.
	 * @return the news, without records
	 */
	EntryNews.Builder ownNews() {
		FleetState fleet = this.context.fleet();
		HostSettings settings = this.context.settings();
		EntryNews.Builder news = EntryNews.newBuilder()
			.setHost(settings.getHost())
			.setFront(settings.getFront())
			.setControl(settings.getControl())
			.setZone(settings.getZone())
			.setRegion(settings.getRegion())
			.setIncarnation(this.incarnation)
			.setReady(this.context.isReady())
			.setOperatorEnd(fleet.operatorRecords().endPosition())
			.setBackendEnd(fleet.backendRecords().endPosition())
			.setConfigurationVersion(fleet.configurationVersion())
			.setStoreReachable(this.operatorFollower.isStoreReachable() && this.backendFollower.isStoreReachable())
			.setReadsContent(true)
			.setHeartbeatPort(settings.getInternalPort())
			.setReceiving(this.operatorFollower.isReceiving() || this.contents.isReceivingFromOtherRegion());
		this.storeNews.addTo(news);
		return news;
	}

	// A process that started after the store was restored reads the copy's configuration.
	// The positions alone do not show that another entry holds a newer one.
	private void addNewestConfiguration(EntryNews.Builder news, EntryNews peerNews) {
		CompactedTopic.TopicRecord newest = this.context.fleet().configurationRecord();
		if (newest != null && peerNews.getConfigurationVersion() < news.getConfigurationVersion()
				&& newest.position() < peerNews.getOperatorEnd()) {
			news.setNewestConfiguration(this.contents.encode(newest, peerNews.getReadsContent()));
		}
	}

	private RecordUpdate recordUpdateSince(CompactedTopic records, long peerEnd, boolean byReference) {
		RecordUpdate.Builder update = RecordUpdate.newBuilder()
			.setFrom((peerEnd < records.tombstoneStart()) ? 0 : peerEnd)
			.setEnd(records.endPosition());
		for (CompactedTopic.TopicRecord topicRecord : records.recordsSince(peerEnd)) {
			update.addRecords(this.contents.encode(topicRecord, byReference));
		}
		return update.build();
	}

	private void applyNews(EntryNews peerNews) {
		boolean regained = this.table.recordMessage(peerNews, this.context.nowMs());
		if (regained) {
			EntryHeartbeats.logRegained(this.context, peerNews);
		}
		this.facts.applyEntries(peerNews);
		FleetState fleet = this.context.fleet();
		String source = source(peerNews);
		if (peerNews.hasOperatorUpdate()) {
			boolean first = fleet.operatorRecords().endPosition() == 0;
			long sinceMs = first ? AnnouncedVersions.UNKNOWN_TIME_MS : this.context.nowMs() - INTERVAL_MS;
			fleet.applyOperatorRecords(applyRecordUpdate(fleet.operatorRecords(), peerNews.getOperatorUpdate()), source,
					sinceMs);
		}
		if (peerNews.hasNewestConfiguration()) {
			// Its position may be of an earlier era than that of an older configuration.
			long version = peerNews.getConfigurationVersion();
			this.contents
				.decode(List.of(peerNews.getNewestConfiguration()),
						(storeRecord) -> (fleet.configurationVersion() >= version) ? fleet.configurationRecord() : null)
				.forEach((topicRecord) -> fleet.applyConfigurationRecord(topicRecord, source));
		}
		if (peerNews.hasBackendUpdate()) {
			fleet.applyBackendRecords(applyRecordUpdate(fleet.backendRecords(), peerNews.getBackendUpdate()), source,
					this.backendFollower.knowledge().asOfMs());
		}
		this.facts.apply(peerNews, source);
		List<EntryNews> others = this.table.liveEntries(this.context.nowMs());
		fleet.setEntryCount(others.size() + 1);
		this.context.updateConfigurationLag(others);
	}

	// Small records take effect at once. The topic is complete only when the content of
	// the large ones has arrived too.
	private List<String> applyRecordUpdate(CompactedTopic records, RecordUpdate update) {
		List<CompactedTopic.TopicRecord> topicRecords = this.contents.decode(update.getRecordsList(),
				(storeRecord) -> newerRecord(records, storeRecord));
		if (topicRecords.size() < update.getRecordsCount()) {
			return records.applySingleRecords(topicRecords);
		}
		return (update.getFrom() == 0) ? records.applySnapshot(topicRecords, update.getEnd())
				: records.applyUpdate(update.getFrom(), topicRecords, update.getEnd());
	}

	private static CompactedTopic.TopicRecord newerRecord(CompactedTopic records, StoreRecord storeRecord) {
		CompactedTopic.TopicRecord known = records.record(storeRecord.getKey());
		return (known != null && known.position() >= storeRecord.getPosition()) ? known : null;
	}

	private void applyReceivedRecord(CompactedTopic.TopicRecord topicRecord) {
		FleetState fleet = this.context.fleet();
		String source = "entries";
		fleet.applyOperatorRecords(fleet.operatorRecords().applySingleRecords(List.of(topicRecord)), source,
				this.context.nowMs() - INTERVAL_MS);
		if (ConfigurationDecoder.isConfigurationKey(topicRecord.key())) {
			fleet.applyConfigurationRecord(topicRecord, source);
		}
		requestRemainingRecords();
	}

	// The records beside the downloaded one may have been received already, but not that
	// there are no others.
	private void requestRemainingRecords() {
		this.lastRequests.clear();
		long end = this.context.fleet().operatorRecords().endPosition();
		Address reader = storeReader();
		this.table.liveEntries(this.context.nowMs())
			.stream()
			.filter((entry) -> entry.getOperatorEnd() > end)
			.map(EntryNews::getControl)
			.min(Comparator.comparing((control) -> !control.equals(reader)))
			.ifPresent((source) -> {
				if (this.pendingExchanges.getOrDefault(Addresses.format(source), false)) {
					this.outdatedExchanges.add(Addresses.format(source));
				}
				else {
					exchange(source, true);
				}
			});
	}

}
