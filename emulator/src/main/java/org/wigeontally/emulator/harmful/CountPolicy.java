package org.wigeontally.emulator.harmful;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.wigeontally.harmful.PromptPart;

/**
 * Baseline: refuses a part after a number of losses, each of which an answer with that
 * part clears. It makes no trials, so a part that is refused is never cleared.
 */
final class CountPolicy implements PartPolicy {

	private static final int MAX_LOSSES = 3;

	private final Map<PromptPart, Set<String>> losses = new HashMap<>();

	private final Map<PromptPart, Set<String>> cleared = new HashMap<>();

	@Override
	public Set<PromptPart> admit(SimulatedRequest request) {
		for (PromptPart part : request.parts()) {
			Set<String> open = new HashSet<>(this.losses.getOrDefault(part, Set.of()));
			open.removeAll(this.cleared.getOrDefault(part, Set.of()));
			if (open.size() >= MAX_LOSSES) {
				return null;
			}
		}
		return Set.of();
	}

	@Override
	public void trialStarted(Set<PromptPart> tried) {
		// There are no trials.
	}

	@Override
	public void engineLost(String lossId, long lostAtMs, List<SimulatedRequest> suspects) {
		for (SimulatedRequest suspect : suspects) {
			suspect.parts().forEach((part) -> this.losses.computeIfAbsent(part, (key) -> new HashSet<>()).add(lossId));
		}
	}

	@Override
	public boolean answerBegun(SimulatedRequest request) {
		boolean changed = false;
		for (PromptPart part : request.parts()) {
			Set<String> known = this.losses.getOrDefault(part, Set.of());
			changed |= this.cleared.computeIfAbsent(part, (key) -> new HashSet<>()).addAll(known);
		}
		return changed;
	}

	@Override
	public boolean merge(PartPolicy other) {
		CountPolicy from = (CountPolicy) other;
		from.losses.forEach((part, ids) -> this.losses.computeIfAbsent(part, (key) -> new HashSet<>()).addAll(ids));
		from.cleared.forEach((part, ids) -> this.cleared.computeIfAbsent(part, (key) -> new HashSet<>()).addAll(ids));
		return false;
	}

}
