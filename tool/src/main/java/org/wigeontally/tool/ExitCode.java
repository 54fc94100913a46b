package org.wigeontally.tool;

/**
 * Exit codes of the command line.
 */
final class ExitCode {

	/** Done, or the change was accepted. */
	static final int DONE = 0;

	/** Refused or failed. */
	static final int REFUSED = 1;

	/** Options, settings or files are faulty. */
	static final int BAD_INPUT = 2;

	/** Pending or unknown at the timeout. */
	static final int UNSETTLED = 3;

	/** No entry host answered. */
	static final int NO_ENTRY = 4;

	private ExitCode() {
	}

}
