package org.wigeontally.weights;

import java.util.Optional;
import java.util.Random;

import org.wigeontally.schema.generated.VersionPhase;

/**
 * Decides when the engine of one backend server is ordered to load a version of its
 * model, and when the version counts as loaded.
 *
 * <p>
 * Invariants: an order is given only for a complete and verified version, while no other
 * order is pending, after the engine has reported which version it runs, and, for an
 * adapter, while its base version is loaded. A version counts as loaded only if the
 * engine reports it after the order ended. No state survives a restart: a new process
 * asks the engine first, so an order that was interrupted by a crash is given again from
 * the start. The old version stays in use until the engine reports the new one. Not
 * thread-safe: used only by the control thread.
 */
public final class Activation {

	private static final long RETRY_INITIAL_MS = 1000;

	private static final long RETRY_MAX_MS = 30_000;

	private static final int MAX_FAILURES = 3;

	private final Random random;

	private Backoff retryBackoff = newBackoff();

	private Target target;

	private boolean allChunksVerified;

	private boolean rolloutAllowed;

	private boolean orderPending;

	private boolean loadConfirmed;

	private int failures;

	/** Version last reported; null if none was reported since the last order ended. */
	private String reportedVersion;

	private Activation(Random random) {
		this.random = random;
	}

	/**
	 * Creates the state of an engine that has not reported its version.
	 * @param random source of jitter
	 * @return the state
	 */
	public static Activation create(Random random) {
		return new Activation(random);
	}

	private static Backoff newBackoff() {
		return new Backoff(RETRY_INITIAL_MS, RETRY_MAX_MS);
	}

	/**
	 * Sets the version to load. A pending order continues and is followed by an order for
	 * the new version.
	 * @param newTarget the version to load
	 */
	public void setTarget(Target newTarget) {
		if (!newTarget.equals(this.target)) {
			this.target = newTarget;
			this.allChunksVerified = false;
			this.rolloutAllowed = false;
			this.failures = 0;
			this.retryBackoff = newBackoff();
		}
	}

	/**
	 * Sets whether the target is verified on this host and may be loaded.
	 * @param version the version concerned; ignored if it is not the target
	 * @param isComplete true if every chunk is verified
	 * @param isAllowed true if the rollout has reached this host
	 */
	public void updateReadiness(String version, boolean isComplete, boolean isAllowed) {
		if (this.target != null && this.target.version().equals(version)) {
			this.allChunksVerified = isComplete;
			this.rolloutAllowed = isAllowed;
		}
	}

	/**
	 * Records the version that the engine reports as running.
	 * @param version version of the model; empty for none
	 */
	public void engineReported(String version) {
		this.reportedVersion = version;
		this.loadConfirmed = this.target != null && !this.orderPending && version.equals(this.target.version());
	}

	/**
	 * Records that the engine does not respond and discards its last report.
	 */
	public void engineUnreachable() {
		this.reportedVersion = null;
		this.loadConfirmed = false;
	}

	/**
	 * Returns the load order that is due and marks it as pending until
	 * {@link #orderEnded} or {@link #orderDeferred} is called.
	 * @param loadedBase base version that the engine has loaded; empty for none
	 * @param nowMs current time
	 * @return the version to load; empty if no order is due
	 */
	public Optional<Target> nextOrder(String loadedBase, long nowMs) {
		if (this.target == null || this.orderPending || !this.allChunksVerified || !this.rolloutAllowed
				|| this.reportedVersion == null || this.reportedVersion.equals(this.target.version())
				|| this.failures >= MAX_FAILURES || !this.retryBackoff.hasElapsed(nowMs)) {
			return Optional.empty();
		}
		if (!this.target.base().isEmpty() && !this.target.base().equals(loadedBase)) {
			return Optional.empty();
		}
		this.orderPending = true;
		this.loadConfirmed = false;
		return Optional.of(this.target);
	}

	/**
	 * Ends the pending order. The engine is asked again which version it runs, because
	 * the response may be lost after the order took effect.
	 * @param accepted true if the engine accepted the order
	 * @param nowMs current time
	 */
	public void orderEnded(boolean accepted, long nowMs) {
		this.orderPending = false;
		this.reportedVersion = null;
		if (!accepted) {
			this.failures++;
			this.retryBackoff.recordFailure(nowMs, this.random);
		}
	}

	/**
	 * Cancels the pending order, which must wait; it is due again at the next call of
	 * {@link #nextOrder}.
	 */
	public void orderDeferred() {
		this.orderPending = false;
	}

	/**
	 * Returns the phase of the target.
	 * @return the phase
	 */
	public VersionPhase phase() {
		if (this.target == null) {
			return VersionPhase.VERSION_PHASE_UNSPECIFIED;
		}
		if (this.loadConfirmed) {
			return VersionPhase.LOADED;
		}
		if (this.orderPending) {
			return VersionPhase.LOADING;
		}
		if (this.failures >= MAX_FAILURES) {
			return VersionPhase.FAILED;
		}
		return this.allChunksVerified ? VersionPhase.VERIFIED : VersionPhase.FETCHING;
	}

	/**
	 * Version that an engine has to load.
	 *
	 * @param model name of the model
	 * @param version the version
	 * @param base base version of an adapter; empty for a model
	 */
	public record Target(String model, String version, String base) {

	}

}
