package org.wigeontally.claims;

import java.util.Optional;

import com.google.common.base.Splitter;
import com.google.common.primitives.Longs;

/**
 * Identifies the claim that a dispatch belongs to. Sent with the dispatch from the entry
 * to the agent.
 *
 * @param claimId id of the claim
 * @param processId process id of the agent that the dispatch is addressed to
 * @param logTimeMs time at which the log stored the claim, in milliseconds since 1970
 */
public record ClaimTicket(String claimId, String processId, long logTimeMs) {

	/** Name of the header that carries the ticket. */
	public static final String HEADER = "wigeontally-claim";

	private static final Splitter PARTS = Splitter.on(';');

	/**
	 * Creates the ticket of a dispatch.
	 * @param grant the granted claim
	 * @param processId process id of the agent
	 * @return the ticket
	 */
	public static ClaimTicket of(ClaimGrant grant, String processId) {
		return new ClaimTicket(grant.claim().getId(), processId, grant.logTimeMs());
	}

	/**
	 * Parses the value of the header.
	 * @param value the header value
	 * @return the ticket, or empty if the value is malformed
	 */
	public static Optional<ClaimTicket> parse(String value) {
		var parts = PARTS.splitToList(value);
		if (parts.size() != 3 || Longs.tryParse(parts.get(2)) == null) {
			return Optional.empty();
		}
		return Optional.of(new ClaimTicket(parts.get(0), parts.get(1), Longs.tryParse(parts.get(2))));
	}

	/**
	 * Formats the ticket as a header value.
	 * @return the header value
	 */
	public String headerValue() {
		return this.claimId + ";" + this.processId + ";" + this.logTimeMs;
	}

}
