package org.wigeontally.tool;

import sun.misc.Signal;

/**
 * The signals HUP and TERM of a process, from its first statement on. Until a process has
 * set handlers of its own, those of the Java runtime end it at either signal, and with it
 * the requests that it has accepted. A process that starts therefore keeps the signals
 * until it can act on them. Thread-safe.
 */
final class ProcessSignals {

	private final SignalAction hangup = new SignalAction();

	private final SignalAction termination = new SignalAction();

	private ProcessSignals() {
	}

	/**
	 * Takes over the handling of the signals.
	 * @return the signals
	 */
	static ProcessSignals install() {
		ProcessSignals signals = new ProcessSignals();
		Signal.handle(new Signal("HUP"), (signal) -> signals.hangup.signalReceived());
		Signal.handle(new Signal("TERM"), (signal) -> signals.termination.signalReceived());
		return signals;
	}

	/**
	 * Sets the action for HUP. It runs at once if the signal was received before.
	 * @param action the action
	 */
	void onHangup(Runnable action) {
		this.hangup.set(action);
	}

	/**
	 * Sets the action for TERM. It runs at once if the signal was received before.
	 * @param action the action
	 */
	void onTermination(Runnable action) {
		this.termination.set(action);
	}

	/**
	 * Returns whether TERM was received before there was an action for it.
	 * @return true if it was
	 */
	boolean isTerminationPending() {
		return this.termination.isPending();
	}

	/**
	 * What is done at a signal.
	 */
	private static final class SignalAction {

		private Runnable action;

		private boolean pending;

		synchronized void signalReceived() {
			if (this.action == null) {
				this.pending = true;
				return;
			}
			this.action.run();
		}

		synchronized void set(Runnable newAction) {
			this.action = newAction;
			if (this.pending) {
				this.pending = false;
				newAction.run();
			}
		}

		synchronized boolean isPending() {
			return this.pending;
		}

	}

}
