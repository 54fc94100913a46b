package org.wigeontally.emulator.harmful;

import java.util.Set;

import org.wigeontally.harmful.Fingerprint;
import org.wigeontally.harmful.PromptPart;

/**
 * A request of a simulation, at one entry. Used by one thread.
 */
final class SimulatedRequest {

	private final int entry;

	private final Set<PromptPart> parts;

	private final Fingerprint fingerprint;

	private final boolean harmful;

	private Set<PromptPart> triedParts = Set.of();

	private int sends;

	private boolean begun;

	SimulatedRequest(int entry, Set<PromptPart> parts, Fingerprint fingerprint, boolean harmful) {
		this.entry = entry;
		this.parts = parts;
		this.fingerprint = fingerprint;
		this.harmful = harmful;
	}

	int entry() {
		return this.entry;
	}

	Set<PromptPart> parts() {
		return this.parts;
	}

	Fingerprint fingerprint() {
		return this.fingerprint;
	}

	boolean isHarmful() {
		return this.harmful;
	}

	Set<PromptPart> triedParts() {
		return this.triedParts;
	}

	void sent(Set<PromptPart> tried) {
		this.triedParts = tried;
		this.sends++;
		this.begun = false;
	}

	int sends() {
		return this.sends;
	}

	boolean isBegun() {
		return this.begun;
	}

	void begin() {
		this.begun = true;
	}

}
