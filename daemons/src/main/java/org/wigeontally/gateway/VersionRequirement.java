package org.wigeontally.gateway;

import java.util.HashMap;
import java.util.Map;

import org.wigeontally.placement.EngineProfile;

/**
 * The version of the weights on which a request may run at the backend server that was
 * chosen for it. The answers change while the request waits there. Runs on the event
 * loop.
 */
interface VersionRequirement {

	/** Marks a request that is never withdrawn. */
	long NEVER_MS = Long.MAX_VALUE;

	/** A request to a backend server without weights. */
	VersionRequirement NONE = new VersionRequirement() {

		@Override
		public long requiredVersion(long nowMs) {
			return 0;
		}

		@Override
		public boolean isMet(long nowMs) {
			return true;
		}

		@Override
		public long withdrawalMs(long nowMs) {
			return NEVER_MS;
		}

	};

	/**
	 * Returns the requirement of a request to an engine.
	 * @param selector knows the announced versions
	 * @param profile profile of the engine
	 * @param backend the engine
	 * @return the requirement
	 */
	static VersionRequirement of(CandidateSelector selector, EngineProfile profile, Backend backend) {
		return new EngineVersion(selector, profile, backend);
	}

	/**
	 * Returns the oldest version on which the request may run if it is sent now.
	 * @param nowMs the current time
	 * @return the version; 0 for any
	 */
	long requiredVersion(long nowMs);

	/**
	 * Returns whether the request may be sent now.
	 * @param nowMs the current time
	 * @return false if the loaded version has become too old
	 */
	boolean isMet(long nowMs);

	/**
	 * Returns when the request is withdrawn if it has not begun on the loaded version.
	 * @param nowMs the current time
	 * @return the time; {@link #NEVER_MS} if no newer version is announced
	 */
	long withdrawalMs(long nowMs);

	/**
	 * The requirement at an engine. It remembers the newest version that the engine has
	 * had, because an engine that restarts reports none.
	 */
	final class EngineVersion implements VersionRequirement {

		private final CandidateSelector selector;

		private final EngineProfile profile;

		private final Backend backend;

		private final Map<String, Long> loadedVersions = new HashMap<>();

		private EngineVersion(CandidateSelector selector, EngineProfile profile, Backend backend) {
			this.selector = selector;
			this.profile = profile;
			this.backend = backend;
		}

		private long loadedVersion(String model, long nowMs) {
			return this.loadedVersions.merge(model, this.backend.loadedVersion(model, nowMs), Math::max);
		}

		@Override
		public long requiredVersion(long nowMs) {
			return this.selector.requiredVersion(this.profile, this.backend.messageDelayMs(nowMs), nowMs);
		}

		@Override
		public boolean isMet(long nowMs) {
			return this.profile.modelNames()
				.stream()
				.allMatch((model) -> loadedVersion(model, nowMs) >= this.selector.requiredVersion(model,
						this.backend.messageDelayMs(nowMs), nowMs));
		}

		@Override
		public long withdrawalMs(long nowMs) {
			return this.profile.modelNames()
				.stream()
				.mapToLong((model) -> this.selector.withdrawalMs(model, loadedVersion(model, nowMs),
						this.backend.messageDelayMs(nowMs)))
				.min()
				.orElse(NEVER_MS);
		}

	}

}
