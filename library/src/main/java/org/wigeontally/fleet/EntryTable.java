package org.wigeontally.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

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
 */
public final class EntryTable {

	/**
	 * Time without a message after which an entry is not returned to callers; entries
	 * exchange messages every 500 ms.
	 */
	public static final long LIVENESS_TIMEOUT_MS = 2_000;

	private static final long MAX_BACKOFF_MS = 4_000;

	private static final long INITIAL_BACKOFF_MS = 500;

	/** Failed attempts after which an address is removed. */
	private static final int MAX_FAILURES = 40;

	private final Map<String, Row> rows = new HashMap<>();

	private EntryTable() {
	}

	/**
	 * Creates an empty table.
	 * @return the table
	 */
	public static EntryTable create() {
		return new EntryTable();
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
		boolean newlyLive = row.lastMessage == null || nowMs - row.lastMessageMs > LIVENESS_TIMEOUT_MS;
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
	 * @param minSilenceMs time since the last message after which an entry is due again
	 * @return control addresses
	 */
	public List<Address> dueForExchange(long nowMs, long minSilenceMs) {
		List<Address> due = new ArrayList<>();
		for (Row row : this.rows.values()) {
			boolean silent = row.lastMessage == null || nowMs - row.lastMessageMs >= minSilenceMs;
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
		List<EntryNews> live = new ArrayList<>();
		for (Row row : this.rows.values()) {
			if (row.lastMessage != null && nowMs - row.lastMessageMs <= LIVENESS_TIMEOUT_MS) {
				live.add(row.lastMessage);
			}
		}
		return live;
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
