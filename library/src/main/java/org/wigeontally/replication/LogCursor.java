package org.wigeontally.replication;

import java.util.List;
import java.util.Optional;

import org.wigeontally.confirmation.ServingLease;
import org.wigeontally.log.LogPage;
import org.wigeontally.schema.generated.ConfigurationSnapshot;
import org.wigeontally.schema.generated.OffsetRecord;

/**
 * Reads the configuration stream page by page into a replica and verifies each page
 * before its records are applied.
 *
 * <p>
 * A page whose head is not above the last applied offset may come from a stale copy of
 * the log or from a log that lost records, so it does not renew the serving lease. After
 * such a page, after each failed read, and when new records arrive, the next read starts
 * at the last applied record. If the log now has a different record at that offset, its
 * history was replaced and nothing more is applied from it. If records were dropped
 * before they were read, the cursor searches the stream for a checkpoint that covers
 * them. Confined to the control thread.
 */
public final class LogCursor {

	private final ConfigurationReplica replica;

	private final ServingLease servingLease;

	private boolean tailUnverified;

	private long searchOffset;

	private LogCursor(ConfigurationReplica replica, ServingLease servingLease) {
		this.replica = replica;
		this.servingLease = servingLease;
	}

	/**
	 * Creates a cursor that starts after the last record the replica has applied.
	 * @param replica receives the records
	 * @param servingLease renewed by reads that reach the head of the log
	 * @return the cursor
	 */
	public static LogCursor create(ConfigurationReplica replica, ServingLease servingLease) {
		return new LogCursor(replica, servingLease);
	}

	/**
	 * Returns the offset at which the next read starts.
	 * @return the first offset to ask for
	 */
	public long nextOffset() {
		long appliedOffset = this.replica.configuration().appliedOffset();
		if (this.searchOffset > appliedOffset + 1) {
			return this.searchOffset;
		}
		return mustVerifyTail() ? appliedOffset : appliedOffset + 1;
	}

	/**
	 * Returns whether the next read must return at once instead of waiting for new
	 * records.
	 * @return true if the read must not wait
	 */
	public boolean mustReadImmediately() {
		return mustVerifyTail() || this.searchOffset > this.replica.configuration().appliedOffset() + 1;
	}

	private boolean mustVerifyTail() {
		return this.tailUnverified && !this.replica.lastRecordId().isEmpty();
	}

	/**
	 * Records a failed read. The next read verifies the last applied record.
	 */
	public void recordFailure() {
		this.tailUnverified = true;
	}

	/**
	 * Handles a page that was read: verifies it and applies its records.
	 * @param sentAtMs when the read was sent, on the monotonic clock
	 * @param fromOffset the first offset that was asked for
	 * @param page the page
	 * @return the outcome of the read
	 */
	public Outcome handlePage(long sentAtMs, long fromOffset, LogPage page) {
		long appliedOffset = this.replica.configuration().appliedOffset();
		if (page.head() <= appliedOffset) {
			this.tailUnverified = true;
			return Outcome.STALE_HEAD;
		}
		if (page.oldest() > appliedOffset + 1) {
			return searchForCheckpoint(fromOffset, page);
		}
		if (mustVerifyTail() && !isTailUnchanged(fromOffset, page)) {
			return (fromOffset == appliedOffset) ? Outcome.FORKED : Outcome.BEHIND;
		}
		// New records are applied only from a page that also contains the last applied
		// record, which shows that the history has not been replaced. Read again from
		// there.
		if (fromOffset > appliedOffset && !page.records().isEmpty() && !this.replica.lastRecordId().isEmpty()) {
			this.tailUnverified = true;
			return Outcome.BEHIND;
		}
		this.searchOffset = 0;
		this.replica.applyRecords(page.records());
		this.tailUnverified = page.head() > this.replica.configuration().appliedOffset() + 1;
		boolean confirmed = this.servingLease.recordLogRead(sentAtMs, page.head());
		return confirmed ? Outcome.CAUGHT_UP : Outcome.BEHIND;
	}

	private boolean isTailUnchanged(long fromOffset, LogPage page) {
		long appliedOffset = this.replica.configuration().appliedOffset();
		if (fromOffset != appliedOffset) {
			return false;
		}
		if (page.oldest() > appliedOffset) {
			// The last applied record has expired, so there is nothing to compare.
			return true;
		}
		OffsetRecord tail = page.records().isEmpty() ? null : page.records().get(0);
		return tail != null && tail.getOffset() == appliedOffset
				&& tail.getRecord().getId().equals(this.replica.lastRecordId());
	}

	private Outcome searchForCheckpoint(long fromOffset, LogPage page) {
		Optional<ConfigurationSnapshot> checkpoint = findCheckpoint(page.records(), page.oldest());
		if (checkpoint.isPresent()) {
			this.searchOffset = 0;
			this.replica.installSnapshot(checkpoint.get());
			return Outcome.BEHIND;
		}
		List<OffsetRecord> records = page.records();
		long lastOffset = records.isEmpty() ? Math.max(fromOffset, page.oldest()) - 1
				: records.get(records.size() - 1).getOffset();
		if (lastOffset + 1 >= page.head()) {
			this.searchOffset = 0;
			return Outcome.GAP;
		}
		this.searchOffset = lastOffset + 1;
		return Outcome.BEHIND;
	}

	private static Optional<ConfigurationSnapshot> findCheckpoint(List<OffsetRecord> records, long oldest) {
		for (OffsetRecord record : records) {
			ConfigurationSnapshot checkpoint = record.getRecord().getCheckpoint();
			if (record.getRecord().hasCheckpoint() && checkpoint.getApplied() + 1 >= oldest) {
				return Optional.of(checkpoint);
			}
		}
		return Optional.empty();
	}

	/**
	 * Outcome of reading a page.
	 */
	public enum Outcome {

		/** All records are applied and the read renewed the serving lease. */
		CAUGHT_UP,
		/**
		 * The read did not renew the serving lease: more records are to be read or
		 * verified, a peer knows of newer ones, or this process has not read its own join
		 * record yet.
		 */
		BEHIND,
		/** The head of the log is not above the last applied offset. */
		STALE_HEAD,
		/** The log has a different record at the offset of the last applied one. */
		FORKED,
		/** Records were dropped before they were read and no checkpoint covers them. */
		GAP

	}

}
