package org.wigeontally.emulator.harmful;

import java.util.List;
import java.util.Set;

import org.wigeontally.harmful.HarmfulRequestTracker;
import org.wigeontally.harmful.PromptPart;
import org.wigeontally.harmful.Suspicion;
import org.wigeontally.misc.Clock;

/**
 * Baseline: remembers whole requests, so requests that differ in anything have nothing in
 * common.
 */
final class WholeRequestPolicy implements PartPolicy {

	private final HarmfulRequestTracker tracker;

	WholeRequestPolicy(Clock clock) {
		this.tracker = HarmfulRequestTracker.create(clock);
	}

	@Override
	public Set<PromptPart> admit(SimulatedRequest request) {
		boolean harmful = this.tracker.classify(request.fingerprint()).level() == Suspicion.Level.HARMFUL;
		return harmful ? null : Set.of();
	}

	@Override
	public void trialStarted(Set<PromptPart> tried) {
		// There are no trials.
	}

	@Override
	public void engineLost(String lossId, long lostAtMs, List<SimulatedRequest> suspects) {
		this.tracker.recordBackendLoss(lossId, suspects.stream().map(SimulatedRequest::fingerprint).toList());
	}

	@Override
	public boolean answerBegun(SimulatedRequest request) {
		return this.tracker.recordSuccess(request.fingerprint());
	}

	@Override
	public boolean merge(PartPolicy other) {
		this.tracker.merge(((WholeRequestPolicy) other).tracker.summary());
		return false;
	}

}
