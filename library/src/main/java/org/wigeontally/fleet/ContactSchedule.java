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
 * release, and at times without any reason, which bounds the damage of what the digests
 * do not cover. Lost heartbeats therefore delay news by one interval, and an entry is
 * called before it counts as dead. Urgent news never waits for a round.
 *
 * <p>
 * Load pattern: an entry that starts beside 66 others. It opened a connection to each of
 * them and each opened one to it, when all its code is still interpreted. Heartbeats make
 * the first contact instead, with the addresses that the first called entry named; a call
 * follows if no heartbeat comes back.
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

	/**
	 * Longest time between two calls of a pair, whatever the digests say. Shorter than
	 * the time after which servers close idle connections.
	 */
	static final long NEAR_CALL_INTERVAL_MS = 20_000;

	/** Longest time between two calls of a pair in different regions. */
	static final long REMOTE_CALL_INTERVAL_MS = 60_000;

	/**
	 * Time for which the sides know different entries until they call. They differ for a
	 * moment whenever an entry starts or ends, and an entry that starts contacts all
	 * others by itself.
	 */
	static final long ENTRIES_DIFFER_MS = 2_500;

	/** The same for pairs in different regions; three heartbeats. */
	static final long REMOTE_ENTRIES_DIFFER_MS = 7_500;

	/**
	 * Heartbeats as the first contact after which an entry is called. An entry answers in
	 * its next round, so one round is left for the answer to each of them.
	 */
	static final int MAX_UNANSWERED = 2;

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
		if (news == null) {
			return (peer.unanswered() < MAX_UNANSWERED) ? Contact.HEARTBEAT : Contact.CALL;
		}
		long pauseMs = peer.remote() ? REMOTE_INTERVAL_MS : intervalMs;
		if (news.getHeartbeatPort() == 0) {
			return (nowMs - peer.lastMessageMs() >= pauseMs) ? Contact.CALL : Contact.NONE;
		}
		// An entry that nobody has named the others to asks the first one that it hears
		// of.
		long callPauseMs = peer.othersNamed() ? pauseMs : intervalMs;
		if (nowMs - peer.lastCallMs() >= callPauseMs && isCallNeeded(own, peer, supplied, nowMs)) {
			return Contact.CALL;
		}
		return (nowMs - peer.lastToldMs() >= pauseMs) ? Contact.HEARTBEAT : Contact.NONE;
	}

	private static boolean isCallNeeded(EntryNews own, Peer peer, boolean supplied, long nowMs) {
		if (peer.lastMessage().getFactsDigest() != own.getFactsDigest() || !supplied && !peer.remote()) {
			return true;
		}
		long silenceMs = nowMs - peer.lastMessageMs();
		long sinceCallMs = nowMs - peer.lastCallMs();
		long differMs = nowMs - peer.differSinceMs();
		if (peer.remote()) {
			return silenceMs >= REMOTE_SILENCE_MS || sinceCallMs >= REMOTE_CALL_INTERVAL_MS
					|| differMs >= REMOTE_ENTRIES_DIFFER_MS;
		}
		return silenceMs >= NEAR_SILENCE_MS || sinceCallMs >= NEAR_CALL_INTERVAL_MS || differMs >= ENTRIES_DIFFER_MS;
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
	 * @param differSinceMs time since which both may have known different entries
	 * @param unanswered heartbeats to it as the first contact; {@link #MAX_UNANSWERED} if
	 * its port for heartbeats is not known
	 * @param othersNamed true if any entry has named others
	 * @param remote true if it is in another region
	 */
	record Peer(EntryNews lastMessage, long lastMessageMs, long lastCallMs, long lastToldMs, long differSinceMs,
			int unanswered, boolean othersNamed, boolean remote) {

	}

}
