package org.wigeontally.claims;

import java.util.Optional;

import com.google.common.base.Splitter;
import com.google.common.primitives.Longs;

/**
 * Travels with a dispatch from the entry to the agent.
 *
 * @param claim id of the claim
 * @param process process id of the agent that is meant
 * @param timeMs the log's time of the claim, in milliseconds since 1970
 */
public record ClaimTicket(String claimId, String processId, long logTimeMs) {

	/** Header that carries the ticket. */
	public static final String HEADER = "wigeontally-claim";

	private static final Splitter PARTS = Splitter.on(';');

	/**
	 * Creates the ticket of a dispatch.
	 * @param holding the claim
	 * @param process process id of the agent
	 * @return the ticket
	 */
	public static ClaimTicket of(ClaimGrant grant, String processId) {
		return new ClaimTicket(grant.claim().getId(), processId, grant.logTimeMs());
	}

	/**
	 * Reads a header's value.
	 * @param value the value
	 * @return the ticket, or nothing if it is malformed
	 */
	public static Optional<ClaimTicket> parse(String value) {
		var parts = PARTS.splitToList(value);
		if (parts.size() != 3 || Longs.tryParse(parts.get(2)) == null) {
			return Optional.empty();
		}
		return Optional.of(new ClaimTicket(parts.get(0), parts.get(1), Longs.tryParse(parts.get(2))));
	}

	/**
	 * Writes the header's value.
	 * @return the value
	 */
	public String headerValue() {
		return this.claimId + ";" + this.processId + ";" + this.logTimeMs;
	}

}
