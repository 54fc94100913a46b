package org.wigeontally.control;

import java.util.List;
import java.util.Map;

import org.wigeontally.schema.generated.Finding;

/**
 * What an operator is told of a change.
 *
 * @param status what is known of the change
 * @param revision offset of the change; 0 if it is not known to be in the log
 * @param findings what speaks against it
 * @param revisionsByHost newest revision by host, as known to the process that answers
 * @param minimumRevision lowest revision in force on any live host
 */
public record ChangeOutcome(Status status, long revision, List<Finding> findings, Map<String, Long> revisionsByHost,
		long minimumRevision) {

	/**
	 * Copies the lists.
	 */
	public ChangeOutcome {
		findings = List.copyOf(findings);
		revisionsByHost = Map.copyOf(revisionsByHost);
	}

	/**
	 * What is known of a change.
	 */
	public enum Status {

		/** In the log, accepted by every reader, and held by the majority. */
		ACCEPTED,
		/** In the log and accepted by every reader; the majority does not hold it yet. */
		PENDING,
		/** It will never be in force. */
		REFUSED,
		/** The append may or may not have taken effect; to be asked again by id. */
		UNKNOWN

	}

}
