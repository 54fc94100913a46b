package org.wigeontally.emulator.loads;

import java.util.List;

import org.wigeontally.weights.EngineLoadState;
import org.wigeontally.weights.VersionLoadPolicy;

/**
 * Loads in turns, as the agents decide.
 */
final class TurnPolicy implements LoadPolicy {

	@Override
	public boolean mayLoad(EngineLoadState own, List<EngineLoadState> others, long remainingMs,
			long versionRemainingMs) {
		return VersionLoadPolicy.mayLoad(own, 1, others, remainingMs);
	}

	@Override
	public boolean isViewCurrent(long sinceReportMs, long viewAgeMs) {
		return VersionLoadPolicy.isViewCurrent(sinceReportMs, viewAgeMs);
	}

	@Override
	public boolean reportsChanges() {
		return true;
	}

}
