package org.wigeontally.emulator.harmful;

import java.util.List;
import java.util.Set;

import org.wigeontally.harmful.PromptPart;

/**
 * What one entry decides about requests that may crash engines.
 */
interface PartPolicy {

	/**
	 * Decides whether a request is sent.
	 * @param request the request
	 * @return parts for which it is on trial, or null if it is refused
	 */
	Set<PromptPart> admit(SimulatedRequest request);

	/**
	 * Records that a request on trial is sent.
	 * @param tried parts for which it is on trial
	 */
	void trialStarted(Set<PromptPart> tried);

	/**
	 * Records that an engine was lost.
	 * @param lossId id of the loss
	 * @param lostAtMs when it was lost
	 * @param suspects requests of this entry whose answers had not begun
	 */
	void engineLost(String lossId, long lostAtMs, List<SimulatedRequest> suspects);

	/**
	 * Records that an answer has begun.
	 * @param request the request
	 * @return true if the other entries are to be told at once
	 */
	boolean answerBegun(SimulatedRequest request);

	/**
	 * Takes over what another entry knows.
	 * @param other policy of the other entry, of the same kind
	 * @return true if the other entries are to be told at once
	 */
	boolean merge(PartPolicy other);

}
