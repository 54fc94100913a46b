package org.wigeontally.tool;

import org.wigeontally.errors.WigeontallyException;

/**
 * One command. An implementation is also the JCommander object of its own options.
 */
interface Command {

	/**
	 * Returns how it is called.
	 * @return one word, or a group and a word, such as "zone out"
	 */
	String name();

	/**
	 * Returns what it does.
	 * @return one sentence without a full stop
	 */
	String description();

	/**
	 * Runs it.
	 * @return exit code of the process, see {@link ExitCode}
	 * @throws WigeontallyException if it could not be carried out
	 */
	int run() throws WigeontallyException;

}
