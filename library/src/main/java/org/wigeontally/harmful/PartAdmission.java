package org.wigeontally.harmful;

import java.util.Set;

/**
 * Decides what happens to a request, by the parts of its prompt. Immutable.
 *
 * @param action what happens to it
 * @param parts parts for which this was decided; empty for {@link Action#SEND}
 * @param lossCount number of backend servers that the most suspected of these parts has
 * lost
 * @param retryAfterMs time after which the decision may be another one; 0 unless the
 * request is refused
 */
public record PartAdmission(Action action, Set<PromptPart> parts, int lossCount, long retryAfterMs) {

	static final PartAdmission SEND = new PartAdmission(Action.SEND, Set.of(), 0, 0);

	/**
	 * Returns whether the request may be sent now.
	 * @return false if it is refused
	 */
	public boolean isAllowed() {
		return this.action == Action.SEND || this.action == Action.TRY;
	}

	/**
	 * Returns whether the request may be sent without a trial.
	 * @return true if no part of its prompt is suspected
	 */
	public boolean isUnsuspected() {
		return this.action == Action.SEND;
	}

	/**
	 * What happens to a request.
	 */
	public enum Action {

		/** It is sent. */
		SEND,
		/** It is sent, on trial for parts that may be harmful. */
		TRY,
		/** It is refused, because another request is on trial for one of its parts. */
		WAIT,
		/** It is refused, because a part of its prompt is harmful. */
		REFUSE

	}

}
