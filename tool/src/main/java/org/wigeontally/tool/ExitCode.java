package org.wigeontally.tool;

/**
 * Exit codes of the command line tool and of the processes on the platform's hosts.
 */
final class ExitCode {

	/** The command succeeded, or the change was accepted. */
	static final int SUCCESS = 0;

	/** The command failed, or the change was refused. */
	static final int FAILURE = 1;

	/** A check has warnings and no errors. */
	static final int WARNINGS_ONLY = 1;

	/** Options, settings or files are invalid. */
	static final int BAD_INPUT = 2;

	/** The outcome was still pending or unknown at the timeout. */
	static final int UNSETTLED = 3;

	/** No entry host responded. */
	static final int NO_ENTRY_REACHED = 4;

	private ExitCode() {
	}

}
