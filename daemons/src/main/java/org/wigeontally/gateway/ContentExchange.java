package org.wigeontally.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Predicate;

import com.google.protobuf.ByteString;
import io.vertx.core.AsyncResult;

import org.wigeontally.contents.ContentCache;
import org.wigeontally.contents.ContentDownload;
import org.wigeontally.contents.ContentException;
import org.wigeontally.contents.ContentUploads;
import org.wigeontally.contents.LargeContent;
import org.wigeontally.eventlog.LogEvent;
import org.wigeontally.fleet.CompactedTopic.TopicRecord;
import org.wigeontally.fleet.EntryTable;
import org.wigeontally.fleet.StorePosition;
import org.wigeontally.fleet.StoreReadPlan;
import org.wigeontally.rpc.ConsecutiveFailures;
import org.wigeontally.rpc.PeerClient;
import org.wigeontally.schema.generated.Address;
import org.wigeontally.schema.generated.ContentPart;
import org.wigeontally.schema.generated.ContentRequest;
import org.wigeontally.schema.generated.EntryNews;
import org.wigeontally.schema.generated.FleetGrpcClient;
import org.wigeontally.schema.generated.StoreRecord;

/**
 * Sends and receives the content of large records of operators. They have connections of
 * their own, so that no other news waits behind them. One content is downloaded at a
 * time; one that is being downloaded is finished although a newer record has replaced it,
 * so that a quick series of records cannot keep each of them from taking effect. Runs on
 * the event loop.
 */
final class ContentExchange {

	private static final long MESSAGE_LIMIT_BYTES = 4L * ContentDownload.PART_BYTES;

	/** Consecutive failures after which the connection is closed. */
	private static final int MAX_CONSECUTIVE_FAILURES = 1;

	/** Interval at which a source is looked for while there is none. */
	private static final long SOURCE_CHECK_MS = 30;

	/** Pause of a download after one of its steps failed in this process. */
	private static final long FAULT_PAUSE_MS = 500;

	/**
	 * Time without a further part after which the region no longer waits for it; longer
	 * than a part may take.
	 */
	private static final long MAX_RECEIVE_PAUSE_MS = 1_200;

	private final GatewayContext context;

	private final EntryTable entries;

	private final PeerClient client;

	private final ConsecutiveFailures failures = ConsecutiveFailures.create(MAX_CONSECUTIVE_FAILURES);

	private final ContentCache cache = ContentCache.create();

	private final ContentUploads uploads = ContentUploads.create();

	private final Consumer<TopicRecord> receiver;

	private final Runnable receivingStarted;

	private final BooleanSupplier receivesFromStore;

	private ContentDownload download;

	private MissingRecord downloadedRecord;

	// The newest record whose content is to be downloaded after that.
	private MissingRecord nextRecord;

	private boolean remoteSource;

	/**
	 * Creates the exchange.
	 * @param context state of the process
	 * @param entries the other entries
	 * @param receiver receives the records whose content was downloaded
	 * @param receivingStarted runs when a download from another region begins
	 * @param receivesFromStore returns whether a large record is arriving from the store
	 */
	ContentExchange(GatewayContext context, EntryTable entries, Consumer<TopicRecord> receiver,
			Runnable receivingStarted, BooleanSupplier receivesFromStore) {
		this.context = context;
		this.entries = entries;
		this.receiver = receiver;
		this.receivingStarted = receivingStarted;
		this.receivesFromStore = receivesFromStore;
		this.client = PeerClient.create(context.vertx(), "", ContentDownload.PART_TIMEOUT_MS, MESSAGE_LIMIT_BYTES);
	}

	/**
	 * Encodes a record for another entry.
	 * @param topicRecord the record
	 * @param byReference true if the other entry reads the content of large records in
	 * parts
	 * @return the record, with its value or a reference to it
	 */
	StoreRecord encode(TopicRecord topicRecord, boolean byReference) {
		StoreRecord.Builder builder = StoreRecord.newBuilder()
			.setKey(topicRecord.key())
			.setPosition(topicRecord.position())
			.setRemoved(topicRecord.removed());
		if (byReference && ContentCache.isLarge(topicRecord)) {
			return builder.setContent(this.cache.reference(topicRecord)).build();
		}
		return builder.setValue(ByteString.copyFrom(topicRecord.value())).build();
	}

	/**
	 * Decodes records from another entry. Starts the download of the newest content that
	 * is missing.
	 * @param storeRecords the records
	 * @param known returns a known record that is at least as new, or null
	 * @return the records whose values are known
	 */
	List<TopicRecord> decode(List<StoreRecord> storeRecords, Function<StoreRecord, TopicRecord> known) {
		List<TopicRecord> decoded = new ArrayList<>();
		for (StoreRecord storeRecord : storeRecords) {
			TopicRecord knownRecord = known.apply(storeRecord);
			if (!storeRecord.hasContent()) {
				decoded.add(toTopicRecord(storeRecord, storeRecord.getValue().toByteArray()));
			}
			else if (knownRecord != null) {
				decoded.add(knownRecord);
			}
			else {
				decodeContent(new MissingRecord(storeRecord, known), decoded);
			}
		}
		return decoded;
	}

	private void decodeContent(MissingRecord missing, List<TopicRecord> decoded) {
		StoreRecord storeRecord = missing.storeRecord();
		LargeContent content = this.cache.find(storeRecord.getContent().getDigest()).orElse(null);
		if (content != null) {
			TopicRecord topicRecord = toTopicRecord(storeRecord, content.value());
			this.cache.add(topicRecord, content);
			decoded.add(topicRecord);
			return;
		}
		if (this.download == null) {
			startDownload(missing);
		}
		else if (!this.download.reference().equals(storeRecord.getContent())
				&& (this.nextRecord == null || this.nextRecord.position() < missing.position())) {
			this.nextRecord = missing;
		}
	}

	private static TopicRecord toTopicRecord(StoreRecord storeRecord, byte[] value) {
		return new TopicRecord(storeRecord.getKey(), storeRecord.getPosition(), value, storeRecord.getRemoved());
	}

	private void startDownload(MissingRecord missing) {
		try {
			this.download = ContentDownload.start(missing.storeRecord().getContent(),
					this.context.settings().getControl(), this.context.nowMs());
			this.downloadedRecord = missing;
			this.remoteSource = false;
			goOn(this.download, this::requestNextPart);
		}
		catch (ContentException ex) {
			this.context.log()
				.write(LogEvent.RECORD_UNREADABLE, "key", missing.key(), "position",
						StorePosition.format(missing.position()), "reason", ex.getMessage());
		}
	}

	// Each step plans the next one. Whatever it throws must not end the download, which
	// would keep all later ones from starting.
	private void goOn(ContentDownload current, Runnable step) {
		try {
			step.run();
		}
		catch (RuntimeException | VirtualMachineError ex) {
			this.context.vertx().setTimer(FAULT_PAUSE_MS, (id) -> goOn(current, () -> continueWith(current)));
			this.context.log().write(LogEvent.FAULT, "content", current.offset(), "reason", ex);
		}
	}

	private void requestNextPart() {
		ContentDownload current = this.download;
		long nowMs = this.context.nowMs();
		Address source = current
			.selectSource(holders(this.entries.nearEntries(nowMs)),
					mayReadFromOtherRegion(nowMs) ? holders(this.entries.remoteEntries(nowMs)) : List.of(), nowMs)
			.orElse(null);
		if (source == null) {
			this.context.vertx().setTimer(SOURCE_CHECK_MS, (id) -> goOn(current, () -> continueWith(current)));
			return;
		}
		boolean remote = this.entries.remoteEntries(nowMs).stream().anyMatch(isAt(source));
		if (remote && !this.remoteSource) {
			this.remoteSource = true;
			this.receivingStarted.run();
		}
		ContentRequest request = ContentRequest.newBuilder()
			.setEntry(this.context.settings().getControl())
			.setDigest(current.reference().getDigest())
			.setOffset(current.offset())
			.build();
		this.client.call(source, FleetGrpcClient.ReadContent, request, () -> this.failures.recordFailure(source))
			.onComplete((result) -> goOn(current, () -> {
				recordResult(current, source, result);
				continueWith(current);
			}));
	}

	private void recordResult(ContentDownload current, Address source, AsyncResult<ContentPart> result) {
		if (result.succeeded()) {
			this.failures.recordSuccess(source);
			recordReply(current, source, result.result());
			return;
		}
		this.context.log()
			.write(LogEvent.CONTENT_FAILED, "key", this.downloadedRecord.key(), "source", source.getIp(), "offset",
					current.offset(), "reason", result.cause().getMessage());
		current.recordFailure(source, this.context.nowMs());
	}

	private boolean mayReadFromOtherRegion(long nowMs) {
		boolean supplied = this.receivesFromStore.getAsBoolean() || !this.entries.receivingNearby(nowMs).isEmpty();
		// An entry that reads from another region keeps doing so.
		return this.remoteSource
				|| StoreReadPlan.mayReadFromOtherRegion(rank(nowMs), this.download.elapsedMs(nowMs), supplied);
	}

	private int rank(long nowMs) {
		EntryNews own = EntryNews.newBuilder()
			.setControl(this.context.settings().getControl())
			.setRegion(this.context.settings().getRegion())
			.setReady(this.context.isReady())
			.setStoreReachable(true)
			.build();
		return StoreReadPlan.rank(own, this.entries.liveEntries(nowMs));
	}

	private List<Address> holders(List<EntryNews> candidates) {
		return candidates.stream()
			.filter((entry) -> entry.getOperatorEnd() > this.downloadedRecord.position())
			.map(EntryNews::getControl)
			.toList();
	}

	private static Predicate<EntryNews> isAt(Address control) {
		return (entry) -> entry.getControl().equals(control);
	}

	private void recordReply(ContentDownload current, Address source, ContentPart reply) {
		long nowMs = this.context.nowMs();
		switch (reply.getStatus()) {
			case PART -> current.recordPart(source, reply.getData().toByteArray(), nowMs);
			case BUSY -> current.recordBusy(source, nearOnly(reply.getHoldersList(), nowMs), nowMs);
			default -> current.recordUnknown(source, nowMs);
		}
	}

	private List<Address> nearOnly(List<Address> holders, long nowMs) {
		List<EntryNews> near = this.entries.nearEntries(nowMs);
		return holders.stream().filter((holder) -> near.stream().anyMatch(isAt(holder))).toList();
	}

	private void continueWith(ContentDownload current) {
		if (current != this.download) {
			return;
		}
		if (isReplaced(current)) {
			endDownload();
			return;
		}
		if (!current.isComplete()) {
			requestNextPart();
			return;
		}
		try {
			LargeContent content = LargeContent.received(current.reference(), current.compressedBytes());
			TopicRecord topicRecord = toTopicRecord(this.downloadedRecord.storeRecord(), content.value());
			this.cache.add(topicRecord, content);
			this.context.log()
				.write(LogEvent.CONTENT, "key", topicRecord.key(), "position",
						StorePosition.format(topicRecord.position()), "bytes", content.value().length, "compressed",
						current.offset(), "after-ms", current.elapsedMs(this.context.nowMs()), "remote",
						this.remoteSource);
			endDownload();
			this.receiver.accept(topicRecord);
		}
		catch (ContentException ex) {
			this.context.log()
				.write(LogEvent.CONTENT_FAILED, "key", this.downloadedRecord.key(), "reason", ex.getMessage());
			current.discard(this.context.nowMs());
			this.context.vertx().setTimer(SOURCE_CHECK_MS, (id) -> goOn(current, () -> continueWith(current)));
		}
	}

	// A newer record has come from the store, or nobody has this one any more.
	private boolean isReplaced(ContentDownload current) {
		boolean outdated = this.downloadedRecord.known().apply(this.downloadedRecord.storeRecord()) != null;
		boolean stuck = this.nextRecord != null && current.idleMs(this.context.nowMs()) > MAX_RECEIVE_PAUSE_MS;
		return outdated || stuck;
	}

	private void endDownload() {
		this.download = null;
		this.downloadedRecord = null;
		MissingRecord next = this.nextRecord;
		this.nextRecord = null;
		if (next != null) {
			startDownload(next);
		}
	}

	/**
	 * Returns whether this entry is receiving a content from an entry.
	 * @return true if some of it arrived lately
	 */
	boolean isReceiving() {
		return this.download != null && this.download.idleMs(this.context.nowMs()) < MAX_RECEIVE_PAUSE_MS;
	}

	/**
	 * Returns whether this entry is receiving a content from another region.
	 * @return true if some of it arrived lately
	 */
	boolean isReceivingFromOtherRegion() {
		return this.remoteSource && isReceiving();
	}

	/**
	 * Handles another entry's request for a part of a content.
	 * @param request the request
	 * @return the part, or why there is none
	 */
	ContentPart handle(ContentRequest request) {
		ContentPart.Builder reply = ContentPart.newBuilder();
		LargeContent content = this.cache.find(request.getDigest()).orElseGet(() -> compress(request.getDigest()));
		if (content == null) {
			return reply.setStatus(ContentPart.Status.UNKNOWN).build();
		}
		if (!this.uploads.admit(request, this.context.nowMs())) {
			return reply.setStatus(ContentPart.Status.BUSY)
				.addAllHolders(this.uploads.holders(request.getDigest()))
				.build();
		}
		byte[] data = content.part(request.getOffset(), ContentDownload.PART_BYTES);
		if (request.getOffset() + data.length >= content.reference().getCompressedBytes()) {
			this.uploads.recordServed(request);
		}
		return reply.setStatus(ContentPart.Status.PART).setData(ByteString.copyFrom(data)).build();
	}

	// An entry that read a record from the store has not compressed it yet.
	private LargeContent compress(ByteString digest) {
		this.context.fleet()
			.operatorRecords()
			.records()
			.stream()
			.filter(ContentCache::isLarge)
			.forEach(this.cache::reference);
		return this.cache.find(digest).orElse(null);
	}

	/**
	 * A record whose content is to be downloaded.
	 *
	 * @param storeRecord the record with a reference to its content
	 * @param known returns a known record that is at least as new, or null
	 */
	private record MissingRecord(StoreRecord storeRecord, Function<StoreRecord, TopicRecord> known) {

		String key() {
			return this.storeRecord.getKey();
		}

		long position() {
			return this.storeRecord.getPosition();
		}

	}

}
