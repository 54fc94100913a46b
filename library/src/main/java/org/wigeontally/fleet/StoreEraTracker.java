package org.wigeontally.fleet;

import java.util.OptionalLong;

/**
 * Decides which era of the store a response belongs to. Used by one thread.
 *
 * <p>
 * A response of an earlier era than the one already seen was sent before the store was
 * restored and arrived late. Its records must not be taken for records of the new era, so
 * it is dropped. If the store keeps responding with an earlier era, its header cannot be
 * used, and the last era stays in force, like for responses without a readable era;
 * otherwise the process would never read the store again.
 */
public final class StoreEraTracker {

	/** Responses of earlier eras in a row that are dropped. */
	static final int MAX_DROPPED_RESPONSES = 3;

	private long era;

	private boolean known;

	private int droppedResponses;

	private StoreEraTracker() {
	}

	/**
	 * Creates a tracker that has seen no response.
	 * @return the tracker
	 */
	public static StoreEraTracker create() {
		return new StoreEraTracker();
	}

	/**
	 * Returns the era that is in force.
	 * @return the era; 0 if no response named one
	 */
	public long era() {
		return this.era;
	}

	/**
	 * Classifies a response.
	 * @param header value of its era header, or null if it has none
	 * @return how to treat the response
	 */
	public Verdict classify(String header) {
		OptionalLong parsed = parse(header);
		if (parsed.isEmpty()) {
			return (header == null && !this.known) ? Verdict.CURRENT : Verdict.UNREADABLE;
		}
		if (this.known && parsed.getAsLong() < this.era) {
			this.droppedResponses++;
			return (this.droppedResponses > MAX_DROPPED_RESPONSES) ? Verdict.UNREADABLE : Verdict.OUTDATED;
		}
		this.droppedResponses = 0;
		this.known = true;
		this.era = parsed.getAsLong();
		return Verdict.CURRENT;
	}

	private static OptionalLong parse(String header) {
		if (header == null) {
			return OptionalLong.empty();
		}
		try {
			long value = Long.parseLong(header.strip());
			return (value >= 0 && value <= StorePosition.MAX_ERA) ? OptionalLong.of(value) : OptionalLong.empty();
		}
		catch (NumberFormatException ex) {
			// Reported by the caller as an unreadable era.
			return OptionalLong.empty();
		}
	}

	/**
	 * How to treat a response.
	 */
	public enum Verdict {

		/** The response belongs to {@link StoreEraTracker#era()}. */
		CURRENT,
		/** The response has no usable era; it is treated as one of the last era. */
		UNREADABLE,
		/** The response belongs to an earlier era and must be dropped. */
		OUTDATED

	}

}
