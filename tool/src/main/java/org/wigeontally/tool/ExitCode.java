package org.wigeontally.tool;

/**
 * Exit codes of the command line.
 */
final class ExitCode {

	/** Done, or the change was accepted. */
	static final int SUCCESS = 0;

	/** Refused or failed. */
	static final int FAILURE = 1;

	/** Options, settings or files are faulty. */
	static final int BAD_INPUT = 2;

	/** Pending or unknown at the timeout. */
	static final int UNSETTLED = 3;

	/** No entry host answered. */
	static final int NO_ENTRY_REACHED = 4;

	private ExitCode() {
	}

}
