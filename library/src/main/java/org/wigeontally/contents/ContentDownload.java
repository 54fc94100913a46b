package org.wigeontally.contents;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.wigeontally.misc.RendezvousHash;
import org.wigeontally.schema.generated.Address;
import org.wigeontally.schema.generated.ContentReference;
import org.wigeontally.settings.Addresses;

/**
 * The download of one large content by this entry, part after part.
 *
 * <p>
 * A limit on the time of a whole transfer makes a fleet metastable: as soon as transfers
 * take longer, all of them are given up and begin again, and the bytes sent for nothing
 * keep the link full. So only the time of a part is limited, and what was received stays:
 * the download goes on with another source at the offset that it has reached.
 *
 * <p>
 * Sources are the entries that hold the content. Those of the own region come first, in
 * an order that differs from entry to entry. A source of another region is used only if
 * the caller allows it (see {@link org.wigeontally.fleet.StoreReadPlan}), and not while
 * one of the own region is only busy. A source that does not answer, is busy or lacks the
 * content is left alone for a while. Used by one thread.
 */
public final class ContentDownload {

	/** Size of a part; half a second on a link of 1 Mbit/s. */
	public static final int PART_BYTES = 64 * 1024;

	/** Time after which a part is requested from another source. */
	public static final long PART_TIMEOUT_MS = 1_000;

	/** Pause after a source was busy. */
	static final long BUSY_PAUSE_MS = 60;

	/** Pause after a source did not have the content. */
	static final long UNKNOWN_PAUSE_MS = 500;

	/** Pause after a source did not answer. */
	static final long FAILURE_PAUSE_MS = 1_500;

	private final ContentReference reference;

	private final byte[] received;

	private final String ownAddress;

	private final long startedAtMs;

	private final Map<Address, Long> pausedUntilMs = new HashMap<>();

	private final Set<Address> busySources = new HashSet<>();

	private final Set<Address> hintedHolders = new LinkedHashSet<>();

	private Address lastSource;

	private int receivedBytes;

	private long lastSuppliedMs;

	private ContentDownload(ContentReference reference, Address own, long nowMs) {
		this.reference = reference;
		this.received = new byte[reference.getCompressedBytes()];
		this.ownAddress = Addresses.format(own);
		this.startedAtMs = nowMs;
		this.lastSuppliedMs = nowMs;
	}

	/**
	 * Starts a download.
	 * @param reference the content to download
	 * @param own control address of this entry
	 * @param nowMs current time in milliseconds
	 * @return the download
	 * @throws ContentException if the reference is malformed
	 */
	public static ContentDownload start(ContentReference reference, Address own, long nowMs) throws ContentException {
		int size = reference.getCompressedBytes();
		if (size <= 0 || size > LargeContent.MAX_VALUE_BYTES) {
			throw ContentException.of("size of " + size + " bytes");
		}
		return new ContentDownload(reference, own, nowMs);
	}

	public ContentReference reference() {
		return this.reference;
	}

	/**
	 * Returns where the next part begins.
	 * @return number of bytes received so far
	 */
	public int offset() {
		return this.receivedBytes;
	}

	public boolean isComplete() {
		return this.receivedBytes == this.received.length;
	}

	/**
	 * Returns the received bytes.
	 * @return all bytes, if the download is complete
	 */
	public byte[] compressedBytes() {
		return this.received;
	}

	/**
	 * Returns the time since the download started, received something, or waited for a
	 * busy source of its own region.
	 * @param nowMs current time in milliseconds
	 * @return milliseconds
	 */
	public long idleMs(long nowMs) {
		return nowMs - this.lastSuppliedMs;
	}

	/**
	 * Returns the time since the download started.
	 * @param nowMs current time in milliseconds
	 * @return milliseconds
	 */
	public long elapsedMs(long nowMs) {
		return nowMs - this.startedAtMs;
	}

	/**
	 * Selects the entry to request the next part from.
	 * @param nearHolders entries of the own region that hold the content
	 * @param remoteHolders entries of other regions that may be asked
	 * @param nowMs current time in milliseconds
	 * @return its control address; empty if there is none at the moment
	 */
	public Optional<Address> selectSource(Collection<Address> nearHolders, Collection<Address> remoteHolders,
			long nowMs) {
		Set<Address> near = new LinkedHashSet<>(nearHolders);
		near.addAll(this.hintedHolders);
		// A source that is being used has reserved its capacity for this entry.
		if (this.lastSource != null && (near.contains(this.lastSource) || remoteHolders.contains(this.lastSource))
				&& !isPaused(this.lastSource, nowMs)) {
			return Optional.of(this.lastSource);
		}
		Optional<Address> nearSource = first(near, nowMs);
		if (nearSource.isPresent()) {
			return nearSource;
		}
		if (isAnyBusy(near, nowMs)) {
			this.lastSuppliedMs = nowMs;
			return Optional.empty();
		}
		return first(remoteHolders, nowMs);
	}

	// The entries that a busy source sends to are the next sources.
	private boolean isAnyBusy(Collection<Address> holders, long nowMs) {
		return holders.stream().anyMatch((holder) -> this.busySources.contains(holder) && isPaused(holder, nowMs));
	}

	private Optional<Address> first(Collection<Address> holders, long nowMs) {
		Address selected = null;
		for (Address holder : holders) {
			boolean usable = !isPaused(holder, nowMs) && !Addresses.format(holder).equals(this.ownAddress);
			if (usable && (selected == null || rank(holder) < rank(selected))) {
				selected = holder;
			}
		}
		return Optional.ofNullable(selected);
	}

	private boolean isPaused(Address source, long nowMs) {
		return nowMs < this.pausedUntilMs.getOrDefault(source, Long.MIN_VALUE);
	}

	private long rank(Address holder) {
		return RendezvousHash.of(this.ownAddress + "|" + Addresses.format(holder));
	}

	/**
	 * Records a part.
	 * @param source the entry that sent it
	 * @param data the bytes from {@link #offset()} on
	 * @param nowMs current time in milliseconds
	 */
	public void recordPart(Address source, byte[] data, long nowMs) {
		int length = Math.min(data.length, this.received.length - this.receivedBytes);
		if (length == 0) {
			recordFailure(source, nowMs);
			return;
		}
		System.arraycopy(data, 0, this.received, this.receivedBytes, length);
		this.receivedBytes += length;
		this.lastSuppliedMs = nowMs;
		this.lastSource = source;
	}

	/**
	 * Records that a source sends to others at the moment.
	 * @param source the source
	 * @param holders entries of the own region that it has sent the content to
	 * @param nowMs current time in milliseconds
	 */
	public void recordBusy(Address source, List<Address> holders, long nowMs) {
		pause(source, nowMs + BUSY_PAUSE_MS);
		this.busySources.add(source);
		this.hintedHolders.addAll(holders);
	}

	/**
	 * Records that a source does not have the content.
	 * @param source the source
	 * @param nowMs current time in milliseconds
	 */
	public void recordUnknown(Address source, long nowMs) {
		pause(source, nowMs + UNKNOWN_PAUSE_MS);
	}

	/**
	 * Records that a source did not answer.
	 * @param source the source
	 * @param nowMs current time in milliseconds
	 */
	public void recordFailure(Address source, long nowMs) {
		pause(source, nowMs + FAILURE_PAUSE_MS);
	}

	private void pause(Address source, long untilMs) {
		this.pausedUntilMs.put(source, untilMs);
		this.busySources.remove(source);
		if (source.equals(this.lastSource)) {
			this.lastSource = null;
		}
	}

	/**
	 * Starts from the beginning, because the received bytes are not the content.
	 * @param nowMs current time in milliseconds
	 */
	public void discard(long nowMs) {
		this.receivedBytes = 0;
		if (this.lastSource != null) {
			recordFailure(this.lastSource, nowMs);
		}
	}

}
