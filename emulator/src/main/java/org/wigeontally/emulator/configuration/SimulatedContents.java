package org.wigeontally.emulator.configuration;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

import com.google.protobuf.ByteString;

import org.wigeontally.contents.ContentDownload;
import org.wigeontally.contents.ContentException;
import org.wigeontally.contents.ContentUploads;
import org.wigeontally.fleet.StoreReadPlan;
import org.wigeontally.schema.generated.Address;
import org.wigeontally.schema.generated.ContentReference;
import org.wigeontally.schema.generated.ContentRequest;
import org.wigeontally.schema.generated.EntryNews;

/**
 * Sends and receives contents in parts as an entry does. Used by one thread.
 */
final class SimulatedContents {

	/**
	 * Compressed size of a value, divided by its size: what {@code LargeContent.of} gives
	 * for a configuration with 1,720 routes with random names.
	 */
	private static final double COMPRESSED_SHARE = 0.36;

	private static final double SOURCE_CHECK_MS = 30;

	private static final double MAX_RECEIVE_PAUSE_MS = 1_200;

	private static final int MAX_CACHED = 3;

	private final SimulatedEntry owner;

	private final ContentUploads uploads = ContentUploads.create();

	private final Deque<Long> cached = new ArrayDeque<>();

	private ContentDownload download;

	private long downloadedVersion;

	private long nextVersion;

	private boolean remoteSource;

	SimulatedContents(SimulatedEntry owner) {
		this.owner = owner;
	}

	static int compressedBytes(int valueBytes) {
		return (int) Math.ceil(valueBytes * COMPRESSED_SHARE);
	}

	void cache(long version) {
		this.cached.remove(version);
		this.cached.addLast(version);
		if (this.cached.size() > MAX_CACHED) {
			this.cached.removeFirst();
		}
	}

	boolean isCached(long version) {
		return this.cached.contains(version);
	}

	/**
	 * Requests a content, unless it is being downloaded.
	 * @param version version of the configuration
	 */
	void request(long version) {
		if (this.download == null) {
			start(version);
		}
		else if (version != this.downloadedVersion && this.nextVersion < version) {
			this.nextVersion = version;
		}
	}

	private void start(long version) {
		ContentReference reference = ContentReference.newBuilder()
			.setDigest(digest(version))
			.setCompressedBytes(compressedBytes(this.owner.network().setting().recordBytes()))
			.setValueBytes(this.owner.network().setting().recordBytes())
			.build();
		try {
			this.download = ContentDownload.start(reference, this.owner.address(), now());
		}
		catch (ContentException ex) {
			throw new IllegalStateException(ex);
		}
		this.downloadedVersion = version;
		this.remoteSource = false;
		requestNextPart();
	}

	private static ByteString digest(long version) {
		return ByteString.copyFromUtf8(Long.toString(version));
	}

	private long now() {
		return (long) this.owner.nowMs();
	}

	private void requestNextPart() {
		ContentDownload current = this.download;
		long nowMs = now();
		Address address = current
			.selectSource(holders(this.owner.table().nearEntries(nowMs)),
					mayReadFromOtherRegion(nowMs) ? holders(this.owner.table().remoteEntries(nowMs)) : List.of(), nowMs)
			.orElse(null);
		if (address == null) {
			this.owner.after(SOURCE_CHECK_MS, () -> continueWith(current));
			return;
		}
		SimulatedEntry source = this.owner.network().entry(address);
		if (source.region() != this.owner.region() && !this.remoteSource) {
			this.remoteSource = true;
			this.owner.exchangeWithRegion();
		}
		new PartCall(current, source).start();
	}

	private boolean mayReadFromOtherRegion(long nowMs) {
		boolean supplied = this.owner.isReceivingFromStore() || !this.owner.table().receivingNearby(nowMs).isEmpty();
		return this.remoteSource
				|| StoreReadPlan.mayReadFromOtherRegion(contentRank(nowMs), this.download.elapsedMs(nowMs), supplied);
	}

	private int contentRank(long nowMs) {
		EntryNews own = this.owner.news().toBuilder().setStoreReachable(true).build();
		return StoreReadPlan.rank(own, this.owner.table().liveEntries(nowMs));
	}

	private List<Address> holders(List<EntryNews> candidates) {
		return candidates.stream()
			.filter((entry) -> entry.getOperatorEnd() > this.downloadedVersion)
			.map(EntryNews::getControl)
			.toList();
	}

	private void continueWith(ContentDownload current) {
		if (current != this.download) {
			return;
		}
		boolean stuck = this.nextVersion > 0 && current.idleMs(now()) > MAX_RECEIVE_PAUSE_MS;
		if (this.owner.version() >= this.downloadedVersion || stuck) {
			end();
			return;
		}
		if (!current.isComplete()) {
			requestNextPart();
			return;
		}
		long version = this.downloadedVersion;
		cache(version);
		end();
		this.owner.applyContent(version);
	}

	private void end() {
		this.download = null;
		long next = this.nextVersion;
		this.nextVersion = 0;
		if (next > 0) {
			start(next);
		}
	}

	boolean isReceiving() {
		return this.download != null && this.download.idleMs(now()) < MAX_RECEIVE_PAUSE_MS;
	}

	boolean isReceivingFromOtherRegion() {
		return this.remoteSource && isReceiving();
	}

	private void handle(ContentRequest request, long version, PartCall call) {
		Address own = this.owner.address();
		if (!isCached(version) && version == this.owner.version()) {
			cache(version);
		}
		if (!isCached(version)) {
			call.replyShort(() -> call.target.recordUnknown(own, now()));
			return;
		}
		if (!this.uploads.admit(request, now())) {
			List<Address> holders = this.uploads.holders(request.getDigest())
				.stream()
				.filter((holder) -> this.owner.network().entry(holder).region() == call.requesterRegion())
				.toList();
			call.replyShort(() -> call.target.recordBusy(own, holders, now()));
			return;
		}
		int total = compressedBytes(this.owner.network().setting().recordBytes());
		int bytes = Math.min(ContentDownload.PART_BYTES, total - request.getOffset());
		if (request.getOffset() + bytes >= total) {
			this.uploads.recordServed(request);
		}
		call.reply(bytes, () -> call.target.recordPart(own, new byte[bytes], now()));
	}

	/** A request for a part that is under way. */
	private final class PartCall {

		private final ContentDownload target;

		private final SimulatedEntry source;

		private boolean ended;

		private PartCall(ContentDownload target, SimulatedEntry source) {
			this.target = target;
			this.source = source;
		}

		private void start() {
			SimulatedEntry entry = SimulatedContents.this.owner;
			ContentRequest request = ContentRequest.newBuilder()
				.setEntry(entry.address())
				.setDigest(this.target.reference().getDigest())
				.setOffset(this.target.offset())
				.build();
			long version = SimulatedContents.this.downloadedVersion;
			SpreadNetwork network = entry.network();
			network.send(network.path(entry, this.source),
					this.source.delivery(() -> this.source.contents().handle(request, version, this)));
			entry.after(ContentDownload.PART_TIMEOUT_MS,
					() -> end(() -> this.target.recordFailure(this.source.address(), now())));
		}

		private void end(Runnable outcome) {
			if (this.ended) {
				return;
			}
			this.ended = true;
			outcome.run();
			continueWith(this.target);
		}

		private int requesterRegion() {
			return SimulatedContents.this.owner.region();
		}

		private void reply(int bytes, Runnable outcome) {
			SimulatedEntry entry = SimulatedContents.this.owner;
			Transfer.start(entry.network().time(), entry.network().path(this.source, entry), bytes,
					this.source.alive(entry.alive(() -> !this.ended)), (action) -> entry.delivery(action).run(),
					(received) -> {
						entry.reportProgress(this.target.offset() + received);
						return true;
					}, () -> end(outcome));
		}

		private void replyShort(Runnable outcome) {
			SimulatedEntry entry = SimulatedContents.this.owner;
			entry.network().send(entry.network().path(this.source, entry), entry.delivery(() -> end(outcome)));
		}

	}

}
