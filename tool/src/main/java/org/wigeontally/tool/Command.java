package org.wigeontally.tool;

import org.wigeontally.errors.WigeontallyException;

/**
 * Command of the command line tool. JCommander fills the annotated fields of an
 * implementation with the options of the command.
 */
interface Command {

	/**
	 * Returns the name on the command line.
	 * @return one word, or a group and a word, such as "zone out"
	 */
	String name();

	/**
	 * Returns the description in the help text.
	 * @return one sentence without a full stop
	 */
	String description();

	/**
	 * Runs the command.
	 * @return exit code of the process, see {@link ExitCode}
	 * @throws WigeontallyException if the command fails
	 */
	int run() throws WigeontallyException;

}
