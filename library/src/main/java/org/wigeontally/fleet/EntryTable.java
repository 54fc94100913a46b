package org.wigeontally.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

import org.wigeontally.misc.RendezvousHash;
import org.wigeontally.schema.generated.Address;
import org.wigeontally.schema.generated.EntryNews;
import org.wigeontally.settings.Addresses;

/**
 * The other entries known to this entry, each with its last message. Used by one thread.
 *
 * <p>
 * An entry is returned to callers if a message arrived from it within
 * {@link #LIVENESS_TIMEOUT_MS} and the message says that it is ready; an entry that shuts
 * down is therefore dropped at once. Addresses that other entries reported but that have
 * not answered yet are retried with exponential backoff.
 *
 * <p>
 * Entries of other regions exchange messages less often, since the number of pairs grows
 * with the square of the number of entries. News is sent to them at once all the same.
 * Which entries are called and which get a heartbeat is decided by
 * {@link ContactSchedule}.
 */
public final class EntryTable {

	/**
	 * Time without a message after which an entry is not returned to callers; entries
	 * exchange messages every 500 ms.
	 */
	public static final long LIVENESS_TIMEOUT_MS = 2_000;

	/**
	 * Time without a message after which an entry of another region is not returned to
	 * callers.
	 */
	public static final long REMOTE_LIVENESS_TIMEOUT_MS = 5_500;

	/** Time for which an entry counts as receiving something after it said so. */
	private static final long RECEIVING_LIFETIME_MS = 1_000;

	/** Time for which an entry that is not heard of may still run. */
	private static final long RECENT_MS = 30_000;

	private static final long MAX_BACKOFF_MS = 4_000;

	private static final long INITIAL_BACKOFF_MS = 500;

	/** Failed attempts after which an address is removed. */
	private static final int MAX_FAILURES = 40;

	private final Map<String, Row> rows = new HashMap<>();

	private final String ownRegion;

	// Whether any entry has named others; until then the first known ones are asked.
	private boolean othersNamed;

	private EntryTable(String ownRegion) {
		this.ownRegion = ownRegion;
	}

	/**
	 * Creates an empty table.
	 * @param ownRegion region of this entry
	 * @return the table
	 */
	public static EntryTable create(String ownRegion) {
		return new EntryTable(ownRegion);
	}

	/**
	 * Adds an address from the settings, the store or another entry.
	 * @param control control address
	 */
	public void addAddress(Address control) {
		row(control);
	}

	private Row row(Address control) {
		return this.rows.computeIfAbsent(Addresses.format(control), (key) -> new Row(control));
	}

	/**
	 * Adds an entry that another one named.
	 * @param control control address
	 * @param heartbeatPort its port for heartbeats; 0 if it takes none
	 */
	public void addEntry(Address control, int heartbeatPort) {
		this.othersNamed = true;
		Row row = row(control);
		if (row.lastMessage == null && heartbeatPort > 0) {
			row.heartbeatPort = heartbeatPort;
		}
	}

	/**
	 * Records a message of an entry.
	 * @param message the message
	 * @param nowMs time of arrival in milliseconds
	 * @return true if the entry was not live before
	 */
	public boolean recordMessage(EntryNews message, long nowMs) {
		Row row = row(message.getControl());
		boolean newlyLive = !isLive(row, nowMs);
		row.lastCallMs = nowMs;
		row.lastToldMs = nowMs;
		row.record(message, nowMs);
		return newlyLive;
	}

	/**
	 * Records a heartbeat of an entry. Ignores one that was overtaken by a later message,
	 * since it may name an entry ready that is shutting down.
	 * @param message the state of the entry
	 * @param nowMs time of arrival in milliseconds
	 * @return what it means
	 */
	public HeartbeatResult recordHeartbeat(EntryNews message, long nowMs) {
		Row row = row(message.getControl());
		EntryNews last = row.lastMessage;
		if (last != null && (last.getIncarnation() > message.getIncarnation()
				|| last.getIncarnation() == message.getIncarnation() && last.getSequence() >= message.getSequence())) {
			return HeartbeatResult.OVERTAKEN;
		}
		boolean newlyLive = !isLive(row, nowMs);
		if (last == null || last.getIncarnation() != message.getIncarnation()) {
			// The digests show whether there is anything to call for.
			row.lastCallMs = nowMs;
		}
		row.record(message, nowMs);
		return newlyLive ? HeartbeatResult.REGAINED : HeartbeatResult.CURRENT;
	}

	/**
	 * Returns whether any other entry was ever heard of.
	 * @param own control address of this entry
	 * @return true if a message of one arrived
	 */
	public boolean hasOtherThan(Address own) {
		return this.rows.values().stream().anyMatch((row) -> row.lastMessage != null && !row.control.equals(own));
	}

	/**
	 * Returns the entries to contact in a regular round, and takes for granted that they
	 * are told.
	 * @param own state of this entry with its digests
	 * @param intervalMs interval of contacts with entries of this region
	 * @param supplied true if this entry's knowledge of the store is as fresh as it
	 * should be
	 * @param nowMs current time in milliseconds
	 * @return the contacts
	 */
	public DueContacts dueContacts(EntryNews own, long intervalMs, boolean supplied, long nowMs) {
		DueContacts due = new DueContacts(new ArrayList<>(), new ArrayList<>());
		// Others name this entry too.
		this.rows.remove(Addresses.format(own.getControl()));
		for (Row row : this.rows.values()) {
			if (row.lastMessage != null && row.lastMessage.getEntriesDigest() == own.getEntriesDigest()) {
				row.lastAgreedMs = nowMs;
			}
			switch (ContactSchedule.dueContact(own, row.asPeer(isRemote(row), this.othersNamed), intervalMs, supplied,
					nowMs)) {
				case CALL -> {
					if (nowMs >= row.nextAttemptMs) {
						due.calls().add(row.control);
					}
				}
				case HEARTBEAT -> {
					row.lastToldMs = nowMs;
					due.heartbeats().add(row.receiver());
				}
				default -> {
				}
			}
		}
		return due;
	}

	/**
	 * Returns the contacts by which all entries are told the state of this one at once.
	 * Those that get a heartbeat are due again in the next round, in case it is lost.
	 * @param own state of this entry
	 * @param nowMs current time in milliseconds
	 * @return the contacts
	 */
	public DueContacts contactsWithAll(EntryNews own, long nowMs) {
		DueContacts contacts = new DueContacts(new ArrayList<>(), new ArrayList<>());
		this.rows.remove(Addresses.format(own.getControl()));
		for (Row row : this.rows.values()) {
			if (row.heartbeatPort > 0) {
				row.lastToldMs = nowMs - ContactSchedule.REMOTE_INTERVAL_MS;
				contacts.heartbeats().add(row.receiver());
			}
			else if (nowMs >= row.nextAttemptMs) {
				contacts.calls().add(row.control);
			}
		}
		return contacts;
	}

	/**
	 * Returns a digest of the live entries, which is the same at all entries that know
	 * the same ones.
	 * @param own control address of this entry
	 * @param nowMs current time in milliseconds
	 * @return the digest
	 */
	public long digest(Address own, long nowMs) {
		long digest = RendezvousHash.of(Addresses.format(own));
		for (Row row : this.rows.values()) {
			digest += isLive(row, nowMs) ? row.hash : 0;
		}
		return digest;
	}

	/**
	 * Records that an entry did not answer.
	 * @param control its control address
	 * @param nowMs current time in milliseconds
	 */
	public void recordFailure(Address control, long nowMs) {
		Row row = this.rows.get(Addresses.format(control));
		if (row == null) {
			return;
		}
		row.failures++;
		if (row.failures > 2) {
			long backoffMs = Math.min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS << Math.min(row.failures - 3, 8));
			row.nextAttemptMs = nowMs + backoffMs;
		}
		if (row.failures > MAX_FAILURES) {
			this.rows.remove(Addresses.format(control));
		}
	}

	/**
	 * Returns the entries to exchange messages with now. Entries that sent a message
	 * recently are left out: an exchange informs both sides, so only one entry of each
	 * pair needs to start it.
	 * @param nowMs current time in milliseconds
	 * @param minSilenceMs time since the last message after which an entry of this region
	 * is due again; 0 for all entries
	 * @return control addresses
	 */
	public List<Address> dueForExchange(long nowMs, long minSilenceMs) {
		List<Address> due = new ArrayList<>();
		for (Row row : this.rows.values()) {
			long rowSilenceMs = (minSilenceMs > 0 && isRemote(row)) ? ContactSchedule.REMOTE_INTERVAL_MS : minSilenceMs;
			boolean silent = row.lastMessage == null || nowMs - row.lastMessageMs >= rowSilenceMs;
			if (silent && nowMs >= row.nextAttemptMs) {
				due.add(row.control);
			}
		}
		return due;
	}

	/**
	 * Returns the last messages of all live entries, including those that are shutting
	 * down.
	 * @param nowMs current time in milliseconds
	 * @return last message of each entry
	 */
	public List<EntryNews> liveEntries(long nowMs) {
		return lastMessages((row) -> isLive(row, nowMs));
	}

	/**
	 * Returns the last messages of all entries that were heard of lately, whether they
	 * are live or not.
	 * @param nowMs current time in milliseconds
	 * @return last message of each entry
	 */
	public List<EntryNews> recentEntries(long nowMs) {
		return lastMessages((row) -> row.lastMessage != null && nowMs - row.lastMessageMs <= RECENT_MS);
	}

	/**
	 * Returns the entries of this region that are receiving a large record.
	 * @param nowMs current time in milliseconds
	 * @return last message of each entry that said so lately
	 */
	public List<EntryNews> receivingNearby(long nowMs) {
		return lastMessages((row) -> isNear(row) && row.lastMessage.getReceiving()
				&& nowMs - row.lastMessageMs <= RECEIVING_LIFETIME_MS);
	}

	/**
	 * Returns the live entries of this region.
	 * @param nowMs current time in milliseconds
	 * @return last message of each entry
	 */
	public List<EntryNews> nearEntries(long nowMs) {
		return lastMessages((row) -> isNear(row) && isLive(row, nowMs));
	}

	/**
	 * Returns the live entries of other regions.
	 * @param nowMs current time in milliseconds
	 * @return last message of each entry
	 */
	public List<EntryNews> remoteEntries(long nowMs) {
		return lastMessages((row) -> isRemote(row) && isLive(row, nowMs));
	}

	private boolean isNear(Row row) {
		return row.lastMessage != null && !isRemote(row);
	}

	private List<EntryNews> lastMessages(Predicate<Row> condition) {
		return this.rows.values().stream().filter(condition).map((row) -> row.lastMessage).toList();
	}

	private boolean isRemote(Row row) {
		return row.lastMessage != null && !row.lastMessage.getRegion().equals(this.ownRegion);
	}

	private boolean isLive(Row row, long nowMs) {
		long timeoutMs = isRemote(row) ? REMOTE_LIVENESS_TIMEOUT_MS : LIVENESS_TIMEOUT_MS;
		return row.lastMessage != null && nowMs - row.lastMessageMs <= timeoutMs;
	}

	/**
	 * What a heartbeat means.
	 */
	public enum HeartbeatResult {

		/** A later message of the entry arrived before. */
		OVERTAKEN,
		/** The entry is live, as before. */
		CURRENT,
		/** The entry was not live before. */
		REGAINED

	}

	private static final class Row {

		private final Address control;

		private final long hash;

		private EntryNews lastMessage;

		private long lastMessageMs;

		private long lastCallMs;

		private long lastToldMs;

		private long lastAgreedMs;

		private int heartbeatPort;

		private int unanswered;

		private int failures;

		private long nextAttemptMs;

		private Row(Address control) {
			this.control = control;
			this.hash = RendezvousHash.of(Addresses.format(control));
		}

		private void record(EntryNews message, long nowMs) {
			this.lastMessage = message;
			this.lastMessageMs = nowMs;
			this.heartbeatPort = message.getHeartbeatPort();
			this.failures = 0;
		}

		private DueContacts.Receiver receiver() {
			this.unanswered++;
			return new DueContacts.Receiver(this.control, this.heartbeatPort);
		}

		private ContactSchedule.Peer asPeer(boolean remote, boolean named) {
			long differSinceMs = named ? Math.max(this.lastAgreedMs, this.lastCallMs) : this.lastAgreedMs;
			return new ContactSchedule.Peer(this.lastMessage, this.lastMessageMs, this.lastCallMs, this.lastToldMs,
					differSinceMs, (this.heartbeatPort > 0) ? this.unanswered : ContactSchedule.MAX_UNANSWERED, named,
					remote);
		}

	}

}
