package org.wigeontally.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.wigeontally.schema.generated.Address;
import org.wigeontally.schema.generated.EntryNews;
import org.wigeontally.settings.Addresses;

/**
 * The entries that this entry knows, by what they said last. Used by one thread.
 *
 * <p>
 * An entry is named to callers while it was heard of within {@link #LIVENESS_TIMEOUT_MS};
 * one that says that it leaves is dropped at once. Addresses that were told by others but
 * never answered are kept for trying, with a pause that grows.
 */
public final class EntryTable {

	/** Silence after which an entry is not named any more; exchanges are 500 ms apart. */
	public static final long LIVENESS_TIMEOUT_MS = 2_000;

	private static final long MAX_BACKOFF_MS = 4_000;

	private static final long INITIAL_BACKOFF_MS = 500;

	/** Failed tries after which an address that never answered is forgotten. */
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
	 * Takes an address from settings, the store or another entry.
	 * @param control control address
	 */
	public void addAddress(Address control) {
		this.rows.computeIfAbsent(Addresses.format(control), (key) -> new Row(control));
	}

	/**
	 * Takes what an entry said.
	 * @param news its message
	 * @param nowMs time of arrival
	 * @return true if it was not heard of lately
	 */
	public boolean recordMessage(EntryNews news, long nowMs) {
		addAddress(news.getControl());
		Row row = this.rows.get(Addresses.format(news.getControl()));
		boolean newlyLive = row.lastMessage == null || nowMs - row.lastMessageMs > LIVENESS_TIMEOUT_MS;
		row.lastMessage = news;
		row.lastMessageMs = nowMs;
		row.failures = 0;
		return newlyLive;
	}

	/**
	 * Notes that an entry did not answer.
	 * @param control its control address
	 * @param nowMs the time
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
	 * Returns the entries to exchange with now. One that was heard of a moment ago is not
	 * among them: an exchange serves both sides, so one of each pair is enough.
	 * @param nowMs the time
	 * @param quietMs time after which an entry is due again
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
	 * Returns the entries that were heard of lately, leaving ones included.
	 * @param nowMs the time
	 * @return what they said last
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
