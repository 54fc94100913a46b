package org.wigeontally.fleet;

import org.wigeontally.schema.generated.EntryNews;

/**
 * Decides in which way an entry contacts another one in a regular round: with a call that
 * exchanges all that both know, or with a heartbeat that only tells the sender's state.
 *
 * <p>
 * Load pattern: dozens to hundreds of entries that have little to tell each other. A call
 * with each of 66 others costs more processor time than the requests that an entry
 * serves, and most calls repeat what both sides know. A heartbeat is a datagram without
 * an answer and costs a small fraction of a call.
 *
 * <p>
 * A heartbeat is sufficient while the digests of both sides agree, so nobody has to
 * remember what the other one acknowledged. A call follows if the digests differ, if the
 * other entry was silent for longer than two heartbeats take, if it is of an earlier
 * release or has just started, and at times without any reason, which bounds the damage
 * of what the digests do not cover. Lost heartbeats therefore delay news by one interval,
 * and an entry is called before it counts as dead. Urgent news never waits for a round.
 */
final class ContactSchedule {

	/** Interval of the contacts with entries of other regions. */
	static final long REMOTE_INTERVAL_MS = 2_500;

	/**
	 * Silence after which an entry is called: two lost heartbeats, and well below
	 * {@link EntryTable#LIVENESS_TIMEOUT_MS}.
	 */
	static final long NEAR_SILENCE_MS = 1_200;

	/**
	 * Silence after which an entry of another region is called; well below
	 * {@link EntryTable#REMOTE_LIVENESS_TIMEOUT_MS}.
	 */
	static final long REMOTE_SILENCE_MS = 3_200;

	/** Longest time between two calls of a pair, whatever the digests say. */
	static final long NEAR_CALL_INTERVAL_MS = 5_000;

	/**
	 * Longest time between two calls of a pair in different regions. Shorter than the
	 * time after which servers close idle connections.
	 */
	static final long REMOTE_CALL_INTERVAL_MS = 15_000;

	/**
	 * Time between two calls because the sides know different entries. They differ for a
	 * moment whenever an entry starts or ends, and an entry that starts contacts all
	 * others by itself.
	 */
	static final long ENTRIES_CALL_INTERVAL_MS = 2_500;

	private ContactSchedule() {
	}

	/**
	 * Returns the kind of contact that is due.
	 * @param own state of this entry with its digests
	 * @param peer what is known of the other entry
	 * @param intervalMs interval of contacts with entries of this region
	 * @param supplied true if this entry's knowledge of the store is as fresh as it
	 * should be; otherwise all entries of the region are asked
	 * @param nowMs current time in milliseconds
	 * @return the contact
	 */
	static Contact dueContact(EntryNews own, Peer peer, long intervalMs, boolean supplied, long nowMs) {
		EntryNews news = peer.lastMessage();
		long pauseMs = peer.remote() ? REMOTE_INTERVAL_MS : intervalMs;
		long sinceCallMs = nowMs - peer.lastCallMs();
		if (news == null || news.getHeartbeatPort() == 0) {
			return (news == null || nowMs - peer.lastMessageMs() >= pauseMs) ? Contact.CALL : Contact.NONE;
		}
		if (sinceCallMs >= pauseMs && isCallNeeded(own, peer, supplied, nowMs)) {
			return Contact.CALL;
		}
		return (nowMs - peer.lastToldMs() >= pauseMs) ? Contact.HEARTBEAT : Contact.NONE;
	}

	private static boolean isCallNeeded(EntryNews own, Peer peer, boolean supplied, long nowMs) {
		EntryNews news = peer.lastMessage();
		long sinceCallMs = nowMs - peer.lastCallMs();
		if (news.getFactsDigest() != own.getFactsDigest() || !supplied && !peer.remote()) {
			return true;
		}
		if (news.getEntriesDigest() != own.getEntriesDigest() && sinceCallMs >= ENTRIES_CALL_INTERVAL_MS) {
			return true;
		}
		return nowMs - peer.lastMessageMs() >= (peer.remote() ? REMOTE_SILENCE_MS : NEAR_SILENCE_MS)
				|| sinceCallMs >= (peer.remote() ? REMOTE_CALL_INTERVAL_MS : NEAR_CALL_INTERVAL_MS);
	}

	/**
	 * A kind of contact.
	 */
	enum Contact {

		/** The other entry was told recently. */
		NONE,
		/** A datagram with the state of this entry. */
		HEARTBEAT,
		/** A call that exchanges all that both know. */
		CALL

	}

	/**
	 * What is known of another entry.
	 *
	 * @param lastMessage its last message, or null
	 * @param lastMessageMs time of that message
	 * @param lastCallMs time of the last call in either direction that succeeded
	 * @param lastToldMs time at which it was last told the state of this entry
	 * @param remote true if it is in another region
	 */
	record Peer(EntryNews lastMessage, long lastMessageMs, long lastCallMs, long lastToldMs, boolean remote) {

	}

}
