package org.wigeontally.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

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

	/** Interval of the exchanges with entries of other regions. */
	private static final long REMOTE_EXCHANGE_INTERVAL_MS = 2_500;

	private static final long MAX_BACKOFF_MS = 4_000;

	private static final long INITIAL_BACKOFF_MS = 500;

	/** Failed attempts after which an address is removed. */
	private static final int MAX_FAILURES = 40;

	private final Map<String, Row> rows = new HashMap<>();

	private final String ownRegion;

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
		this.rows.computeIfAbsent(Addresses.format(control), (key) -> new Row(control));
	}

	/**
	 * Records a message of an entry.
	 * @param message the message
	 * @param nowMs time of arrival in milliseconds
	 * @return true if the entry was not live before
	 */
	public boolean recordMessage(EntryNews message, long nowMs) {
		addAddress(message.getControl());
		Row row = this.rows.get(Addresses.format(message.getControl()));
		boolean newlyLive = !isLive(row, nowMs);
		row.lastMessage = message;
		row.lastMessageMs = nowMs;
		row.failures = 0;
		return newlyLive;
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
			long rowSilenceMs = (minSilenceMs > 0 && isRemote(row)) ? REMOTE_EXCHANGE_INTERVAL_MS : minSilenceMs;
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

	private static final class Row {

		private final Address control;

		private EntryNews lastMessage;

		private long lastMessageMs;

		private int failures;

		private long nextAttemptMs;

		private Row(Address control) {
			this.control = control;
		}

	}

}
