package org.wigeontally.emulator.loads;

import java.util.List;

import org.wigeontally.weights.EngineLoadState;

/**
 * Loads an engine if fewer than half of the engines hold the version and have a lower
 * address; the baseline of loads in turns.
 */
final class AddressOrderPolicy implements LoadPolicy {

	private static final double LOADING_FRACTION = 0.5;

	@Override
	public boolean mayLoad(EngineLoadState own, List<EngineLoadState> others, long remainingMs,
			long versionRemainingMs) {
		long rank = others.stream()
			.filter(EngineLoadState::waiting)
			.filter((other) -> other.agent().compareTo(own.agent()) < 0)
			.count();
		return versionRemainingMs <= 0 || rank < Math.max(1, Math.round((others.size() + 1) * LOADING_FRACTION));
	}

	@Override
	public boolean isViewCurrent(long sinceReportMs, long viewAgeMs) {
		return true;
	}

	@Override
	public boolean reportsChanges() {
		return false;
	}

}
