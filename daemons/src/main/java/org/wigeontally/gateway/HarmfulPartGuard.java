package org.wigeontally.gateway;

import java.util.Collection;
import java.util.HashSet;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.stream.Collectors;

import org.wigeontally.eventlog.LogEvent;
import org.wigeontally.harmful.HarmfulPartTracker;
import org.wigeontally.harmful.PartAdmission;
import org.wigeontally.harmful.PromptPart;
import org.wigeontally.harmful.SuspectRequest;
import org.wigeontally.schema.generated.SuspectSummary;

/**
 * Applies the decisions about harmful parts of prompts at this entry: tells the other
 * entries at once what keeps requests back or releases them, and logs each part that
 * becomes harmful or harmless. Runs on the event loop.
 */
final class HarmfulPartGuard {

	private final GatewayContext context;

	private final HarmfulPartTracker tracker;

	private Set<PromptPart> harmfulParts = Set.of();

	private BiConsumer<Set<PromptPart>, Boolean> harmfulPartsFound = (parts, atThisEntry) -> {
	};

	HarmfulPartGuard(GatewayContext context, HarmfulPartTracker tracker) {
		this.context = context;
		this.tracker = tracker;
	}

	/**
	 * Sets what is done with parts that are newly known to be harmful.
	 * @param action receives the parts, and whether a loss at this entry has shown it
	 */
	void onHarmfulPartsFound(BiConsumer<Set<PromptPart>, Boolean> action) {
		this.harmfulPartsFound = action;
	}

	PartAdmission admit(Collection<PromptPart> parts) {
		return this.tracker.admit(parts);
	}

	/**
	 * Records that a request is sent for which other requests are kept back.
	 * @param parts parts for which it is on trial; empty if it is not
	 */
	void trialStarted(Collection<PromptPart> parts) {
		if (!parts.isEmpty()) {
			this.tracker.trialStarted(parts);
			this.context.tellOtherEntries();
		}
	}

	void trialEnded(Collection<PromptPart> parts) {
		this.tracker.trialEnded(parts);
	}

	void answerBegun(Collection<PromptPart> parts) {
		if (!parts.isEmpty() && this.tracker.recordAnswerBegun(parts)) {
			handleChanges("answer", false);
			this.context.tellOtherEntries();
		}
	}

	void backendLost(String lossId, long lostAtMs, Collection<SuspectRequest> suspects) {
		this.tracker.recordBackendLoss(lossId, lostAtMs, suspects);
		handleChanges("loss:" + lossId, true);
	}

	SuspectSummary summary() {
		return this.tracker.summary();
	}

	void merge(SuspectSummary summary, String source) {
		boolean released = this.tracker.merge(summary);
		handleChanges(source, false);
		if (released) {
			this.context.tellOtherEntries();
		}
	}

	/**
	 * Returns the parts whose requests are refused.
	 * @return the parts
	 */
	Set<PromptPart> harmfulParts() {
		return this.tracker.harmfulParts();
	}

	/**
	 * Allows requests with a part again, because an operator says that it is harmless.
	 * @param part the part
	 * @return true if it was suspected
	 */
	boolean lift(PromptPart part) {
		boolean lifted = this.tracker.lift(part);
		handleChanges("operator", false);
		if (lifted) {
			this.context.tellOtherEntries();
		}
		return lifted;
	}

	private void handleChanges(String source, boolean atThisEntry) {
		Set<PromptPart> newest = this.tracker.harmfulParts();
		Set<PromptPart> found = new HashSet<>(newest);
		found.removeAll(this.harmfulParts);
		found.forEach((part) -> log(part, true, source));
		this.harmfulParts.stream().filter((part) -> !newest.contains(part)).forEach((part) -> log(part, false, source));
		this.harmfulParts = newest;
		this.context.metrics().setHarmfulParts(newest.size());
		if (!found.isEmpty()) {
			this.harmfulPartsFound.accept(found, atThisEntry);
		}
	}

	private void log(PromptPart part, boolean harmful, String source) {
		this.context.log()
			.write(LogEvent.PROMPT_PART, "service", part.service(), "part", part.id(), "harmful", harmful, "source",
					source);
	}

	static String ids(Collection<PromptPart> parts) {
		return parts.stream().map(PromptPart::id).sorted().collect(Collectors.joining("+"));
	}

}
