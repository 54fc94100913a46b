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

	private final ServingLease confirmation;

	private boolean verifyTail;

	private long searchFrom;

	private LogCursor(ConfigurationReplica replica, ServingLease confirmation) {
		this.replica = replica;
		this.confirmation = confirmation;
	}

	/**
	 * Creates a cursor at the replica's end.
	 * @param replica receives the records
	 * @param confirmation receives the reads
	 * @return the cursor
	 */
	public static LogCursor create(ConfigurationReplica replica, ServingLease confirmation) {
		return new LogCursor(replica, confirmation);
	}

	/**
	 * Returns where to read next.
	 * @return the first offset to ask for
	 */
	public long next() {
		long applied = this.replica.configuration().appliedOffset();
		if (this.searchFrom > applied + 1) {
			return this.searchFrom;
		}
		return checksTail() ? applied : applied + 1;
	}

	/**
	 * Tells whether the next read must not wait for new records.
	 * @return true if an answer is wanted at once
	 */
	public boolean atOnce() {
		return checksTail() || this.searchFrom > this.replica.configuration().appliedOffset() + 1;
	}

	private boolean checksTail() {
		return this.verifyTail && !this.replica.tailId().isEmpty();
	}

	/**
	 * Takes note of a failed read.
	 */
	public void failed() {
		this.verifyTail = true;
	}

	/**
	 * Takes a page that was read.
	 * @param sentAtMs when the read was sent, on the monotonic clock
	 * @param from the first offset that was asked for
	 * @param page the page
	 * @return what it showed
	 */
	public Outcome read(long sentAtMs, long from, LogPage page) {
		long applied = this.replica.configuration().appliedOffset();
		if (page.head() <= applied) {
			this.verifyTail = true;
			return Outcome.OLD_HEAD;
		}
		if (page.oldest() > applied + 1) {
			return searchCheckpoint(from, page);
		}
		if (checksTail() && !tailStands(from, page)) {
			return (from == applied) ? Outcome.FORKED : Outcome.BEHIND;
		}
		if (from > applied && !page.records().isEmpty() && !this.replica.tailId().isEmpty()) {
			this.verifyTail = true;
			return Outcome.BEHIND;
		}
		this.searchFrom = 0;
		this.replica.fold(page.records());
		this.verifyTail = page.head() > this.replica.configuration().appliedOffset() + 1;
		boolean confirmed = this.confirmation.recordLogRead(sentAtMs, page.head());
		return confirmed ? Outcome.CAUGHT_UP : Outcome.BEHIND;
	}

	private boolean tailStands(long from, LogPage page) {
		long applied = this.replica.configuration().appliedOffset();
		if (from != applied) {
			return false;
		}
		if (page.oldest() > applied) {
			return true;
		}
		OffsetRecord tail = page.records().isEmpty() ? null : page.records().get(0);
		return tail != null && tail.getOffset() == applied && tail.getRecord().getId().equals(this.replica.tailId());
	}

	private Outcome searchCheckpoint(long from, LogPage page) {
		Optional<ConfigurationSnapshot> found = checkpointIn(page.records(), page.oldest());
		if (found.isPresent()) {
			this.searchFrom = 0;
			this.replica.install(found.get());
			return Outcome.BEHIND;
		}
		List<OffsetRecord> records = page.records();
		long last = records.isEmpty() ? Math.max(from, page.oldest()) - 1 : records.get(records.size() - 1).getOffset();
		if (last + 1 >= page.head()) {
			this.searchFrom = 0;
			return Outcome.GAP;
		}
		this.searchFrom = last + 1;
		return Outcome.BEHIND;
	}

	private static Optional<ConfigurationSnapshot> checkpointIn(List<OffsetRecord> records, long oldest) {
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
		OLD_HEAD,
		/** Another record stands where the last one folded stood. */
		FORKED,
		/** Records were dropped and no checkpoint covers them. */
		GAP

	}

}
