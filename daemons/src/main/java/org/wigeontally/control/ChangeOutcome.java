package org.wigeontally.control;

import java.util.List;
import java.util.Map;

import org.wigeontally.schema.generated.Finding;

/**
 * The outcome of a change as reported to an operator.
 *
 * @param status status of the change
 * @param revision offset of the change in the log; 0 if it is not known to be in the log
 * @param findings reasons why the change is refused or its status is unknown
 * @param revisionsByHost newest configuration revision by host, as known to this process
 * @param minimumRevision lowest configuration revision on any live host
 */
public record ChangeOutcome(Status status, long revision, List<Finding> findings, Map<String, Long> revisionsByHost,
		long minimumRevision) {

	/**
	 * Copies the findings and the revisions.
	 */
	public ChangeOutcome {
		findings = List.copyOf(findings);
		revisionsByHost = Map.copyOf(revisionsByHost);
	}

	/**
	 * Status of a change.
	 */
	public enum Status {

		/**
		 * In the log, accepted by every reader, and held by a majority of the confirming
		 * hosts.
		 */
		ACCEPTED,
		/**
		 * In the log and accepted by every reader, but not yet known to be held by a
		 * majority.
		 */
		PENDING,
		/** Invalid; it will never take effect. */
		REFUSED,
		/** May or may not be in the log; the caller can query it again by id. */
		UNKNOWN

	}

}
