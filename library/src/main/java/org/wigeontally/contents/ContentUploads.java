package org.wigeontally.contents;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import com.google.protobuf.ByteString;

import org.wigeontally.schema.generated.Address;
import org.wigeontally.schema.generated.ContentRequest;

/**
 * Limits the number of entries to which this one sends large contents at a time.
 *
 * <p>
 * If one entry sent a content to all others of its region at once, each would get a small
 * share of its link and none could pass anything on until nearly all were done. With few
 * at a time the first ones are done early and send to others themselves, so that the
 * number of senders doubles and more with each round. An entry that is turned away is
 * told who was served. Used by one thread.
 */
public final class ContentUploads {

	/** Number of entries served at a time. */
	static final int MAX_RECEIVERS = 4;

	/**
	 * Time without a request after which an entry no longer counts as being served;
	 * longer than a part may take.
	 */
	static final long IDLE_MS = 1_200;

	private static final int MAX_HOLDERS = 8;

	private final Map<Address, Long> lastRequestMs = new HashMap<>();

	private final Deque<Address> served = new ArrayDeque<>();

	private ByteString servedDigest = ByteString.EMPTY;

	private ContentUploads() {
	}

	/**
	 * Creates the limit.
	 * @return the limit, with nobody being served
	 */
	public static ContentUploads create() {
		return new ContentUploads();
	}

	/**
	 * Decides whether a request for a part is answered.
	 * @param request the request
	 * @param nowMs current time in milliseconds
	 * @return false if too many entries are being served
	 */
	public boolean admit(ContentRequest request, long nowMs) {
		this.lastRequestMs.values().removeIf((requestMs) -> nowMs - requestMs > IDLE_MS);
		if (!this.lastRequestMs.containsKey(request.getEntry()) && this.lastRequestMs.size() >= MAX_RECEIVERS) {
			return false;
		}
		this.lastRequestMs.put(request.getEntry(), nowMs);
		return true;
	}

	/**
	 * Records that an entry was sent the last part of a content.
	 * @param request its request
	 */
	public void recordServed(ContentRequest request) {
		this.lastRequestMs.remove(request.getEntry());
		if (!this.servedDigest.equals(request.getDigest())) {
			this.servedDigest = request.getDigest();
			this.served.clear();
		}
		this.served.remove(request.getEntry());
		this.served.addFirst(request.getEntry());
		if (this.served.size() > MAX_HOLDERS) {
			this.served.removeLast();
		}
	}

	/**
	 * Returns the entries that were sent a whole content lately.
	 * @param digest digest of the content
	 * @return their control addresses, the last one first
	 */
	public List<Address> holders(ByteString digest) {
		return this.servedDigest.equals(digest) ? List.copyOf(this.served) : List.of();
	}

}
