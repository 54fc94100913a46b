package org.wigeontally.emulator.harmful;

import java.util.List;
import java.util.Set;

import org.wigeontally.harmful.HarmfulPartTracker;
import org.wigeontally.harmful.PartAdmission;
import org.wigeontally.harmful.PromptPart;
import org.wigeontally.harmful.SuspectRequest;
import org.wigeontally.misc.Clock;

/**
 * What entries do: {@link HarmfulPartTracker}.
 */
final class TrialPolicy implements PartPolicy {

	private final HarmfulPartTracker tracker;

	TrialPolicy(Clock clock) {
		this.tracker = HarmfulPartTracker.create(clock);
	}

	@Override
	public Set<PromptPart> admit(SimulatedRequest request) {
		PartAdmission admission = this.tracker.admit(request.parts());
		return admission.isAllowed() ? admission.parts() : null;
	}

	@Override
	public void trialStarted(Set<PromptPart> tried) {
		this.tracker.trialStarted(tried);
	}

	@Override
	public void engineLost(String lossId, long lostAtMs, List<SimulatedRequest> suspects) {
		this.tracker.recordBackendLoss(lossId, lostAtMs,
				suspects.stream().map((suspect) -> new SuspectRequest(suspect.parts(), suspect.triedParts())).toList());
	}

	@Override
	public boolean answerBegun(SimulatedRequest request) {
		return this.tracker.recordAnswerBegun(request.parts());
	}

	@Override
	public boolean merge(PartPolicy other) {
		return this.tracker.merge(((TrialPolicy) other).tracker.summary());
	}

}
