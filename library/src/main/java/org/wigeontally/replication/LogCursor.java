package org.wigeontally.replication;

import java.util.List;
import java.util.Optional;

import org.wigeontally.confirmation.ServingLease;
import org.wigeontally.log.LogPage;
import org.wigeontally.schema.generated.ConfigurationSnapshot;
import org.wigeontally.schema.generated.OffsetRecord;

/**
 * Reads the configuration stream into a replica, one page after the other, and judges
 * each page before it is believed.
 *
 * <p>
 * A page with a head below what is held may come from an old copy of the log or from a
 * log that lost records; it confirms nothing. After such a page, and after each failed
 * read, the next read begins at the last record folded: if another record stands there
 * now, the log's history was replaced and nothing more is taken from it. If records were
 * dropped before they were read, the stream is searched for a checkpoint that covers
 * them. Belongs to the control thread.
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
	 * Creates a cursor at the replica's end.
	 * @param replica receives the records
	 * @param servingLease receives the reads
	 * @return the cursor
	 */
	public static LogCursor create(ConfigurationReplica replica, ServingLease servingLease) {
		return new LogCursor(replica, servingLease);
	}

	/**
	 * Returns where to read next.
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
	 * Tells whether the next read must not wait for new records.
	 * @return true if an answer is wanted at once
	 */
	public boolean mustReadImmediately() {
		return mustVerifyTail() || this.searchOffset > this.replica.configuration().appliedOffset() + 1;
	}

	private boolean mustVerifyTail() {
		return this.tailUnverified && !this.replica.lastRecordId().isEmpty();
	}

	/**
	 * Takes note of a failed read.
	 */
	public void recordFailure() {
		this.tailUnverified = true;
	}

	/**
	 * Takes a page that was read.
	 * @param sentAtMs when the read was sent, on the monotonic clock
	 * @param fromOffset the first offset that was asked for
	 * @param page the page
	 * @return what it showed
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
	 * What a page showed.
	 */
	public enum Outcome {

		/** All records are folded and the read confirms. */
		CAUGHT_UP,
		/** There is more to read, or a peer knows of more. */
		BEHIND,
		/** The head is below what is held. */
		STALE_HEAD,
		/** Another record stands where the last one folded stood. */
		FORKED,
		/** Records were dropped and no checkpoint covers them. */
		GAP

	}

}
