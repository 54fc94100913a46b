package org.wigeontally.weights;

import java.util.Optional;
import java.util.Random;

import org.wigeontally.schema.generated.VersionPhase;

/**
 * Decides when the engine of one backend server is ordered to load a version of its
 * model, and when the version counts as loaded.
 *
 * <p>
 * Invariants: an order is given only for a version that is whole and verified, while no
 * other order is open, after the engine itself has said what it runs, and, for an
 * adapter, while its base is loaded; a version counts as loaded only if the engine says
 * so after the order ended. Nothing is remembered over a restart: a new process starts
 * without knowledge and asks the engine first, so an order that a crash cut off is given
 * again in whole. The old version stays until the engine names the new one. Used by one
 * thread, the control thread.
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

	/** What the engine said last; null before it said anything since the last order. */
	private String reportedVersion;

	private Activation(Random random) {
		this.random = random;
	}

	/**
	 * Creates the state of an engine of which nothing is known.
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
	 * Sets the version in force; a running order goes on and is followed by the new one.
	 * @param newTarget the version
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
	 * Takes in whether the target is whole and verified on this host.
	 * @param version version that this is about; another than the target is ignored
	 * @param isWhole true if every chunk is verified
	 * @param allowed true if the roll has come to this host
	 */
	public void updateReadiness(String version, boolean isComplete, boolean isAllowed) {
		if (this.target != null && this.target.version().equals(version)) {
			this.allChunksVerified = isComplete;
			this.rolloutAllowed = isAllowed;
		}
	}

	/**
	 * Takes in what the engine says it runs.
	 * @param version version of the model; empty for none
	 */
	public void engineReported(String version) {
		this.reportedVersion = version;
		this.loadConfirmed = this.target != null && !this.orderPending && version.equals(this.target.version());
	}

	/**
	 * Takes in that the engine does not answer; what it said before no longer counts.
	 */
	public void engineUnreachable() {
		this.reportedVersion = null;
		this.loadConfirmed = false;
	}

	/**
	 * Gives the order that is due. It is to be ended by {@link #orderEnded}.
	 * @param loadedBase version of the base that the engine has loaded; empty for none
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
	 * Ends an order. Whether the engine took it is asked of the engine: an answer may be
	 * lost after the order took effect.
	 * @param accepted true if the engine accepted it
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
	 * Takes an order back that was due but must wait; it is due again at the next call.
	 */
	public void orderDeferred() {
		this.orderPending = false;
	}

	/**
	 * Returns how far the target is.
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
	 * A version that an engine is to run.
	 *
	 * @param model name of the model
	 * @param version the version
	 * @param base version that an adapter belongs to; empty for a model
	 */
	public record Target(String model, String version, String base) {

	}

}
