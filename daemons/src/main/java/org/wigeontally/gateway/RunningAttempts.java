package org.wigeontally.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * The attempts of one request that run now: one, or several while all earlier ones are
 * silent. The first one that makes progress is kept. Runs on the event loop.
 */
final class RunningAttempts {

	// In the order of their starts.
	private final List<BackendAttempt> running = new ArrayList<>();

	void add(BackendAttempt attempt) {
		this.running.add(attempt);
	}

	/**
	 * Removes an attempt that has ended.
	 * @param attempt the attempt
	 */
	void remove(BackendAttempt attempt) {
		this.running.remove(attempt);
	}

	boolean isEmpty() {
		return this.running.isEmpty();
	}

	/**
	 * Returns whether an attempt is the only one.
	 * @param attempt the attempt
	 * @return true if no other one runs
	 */
	boolean isOnly(BackendAttempt attempt) {
		return this.running.size() == 1 && isNewest(attempt);
	}

	/**
	 * Returns whether an attempt was started last.
	 * @param attempt the attempt
	 * @return true if it runs, and no later one does
	 */
	boolean isNewest(BackendAttempt attempt) {
		return !isEmpty() && this.running.get(this.running.size() - 1) == attempt;
	}

	boolean isAnySent() {
		return this.running.stream().anyMatch(BackendAttempt::isSent);
	}

	/**
	 * Keeps the attempt that made progress and removes all others.
	 * @param winner the attempt to keep
	 * @return the others, which the caller has to cancel
	 */
	List<BackendAttempt> keepOnly(BackendAttempt winner) {
		List<BackendAttempt> others = this.running.stream().filter((attempt) -> attempt != winner).toList();
		this.running.removeAll(others);
		return others;
	}

	/**
	 * Does something with each attempt.
	 * @param action must not start or end other attempts of the request
	 */
	void forEach(Consumer<BackendAttempt> action) {
		this.running.forEach(action);
	}

	void clear() {
		this.running.clear();
	}

}
