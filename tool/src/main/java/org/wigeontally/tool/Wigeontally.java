package org.wigeontally.tool;

import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.util.Properties;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;

import org.wigeontally.errors.ErrorType;
import org.wigeontally.errors.InputException;
import org.wigeontally.errors.WigeontallyException;

/**
 * Main class of the command line tool. Parses the arguments, runs the command that they
 * name and maps its result to an exit code.
 */
public final class Wigeontally {

	private static final String PROGRAM = "wigeontally";

	private final Console console;

	private final MainOptions mainOptions = new MainOptions();

	private final JCommander commander;

	private Wigeontally(PrintStream out, PrintStream err) {
		GlobalOptions options = new GlobalOptions();
		this.console = new Console(out, err, options);
		this.commander = CommandTree.build(PROGRAM, this.mainOptions, options, Commands.all(this.console));
	}

	/**
	 * Runs a command and ends the process with its exit code.
	 * @param args name of the command and its options
	 */
	public static void main(String[] args) {
		System.exit(run(System.out, System.err, args));
	}

	/**
	 * Runs a command.
	 * @param out receives results
	 * @param err receives errors and hints
	 * @param args name of the command and its options
	 * @return exit code: 0 done or accepted, 1 refused, failed or warnings, 2 invalid
	 * input, 3 pending or unknown at the timeout, 4 no entry host reached
	 */
	public static int run(PrintStream out, PrintStream err, String... args) {
		return new Wigeontally(out, err).run(args);
	}

	private int run(String[] args) {
		try {
			this.commander.parse(args);
		}
		catch (ParameterException ex) {
			return usageError(ex.getMessage());
		}
		if (this.mainOptions.version) {
			this.console.out().println(PROGRAM + " " + readVersion());
			return ExitCode.SUCCESS;
		}
		JCommander selected = CommandTree.selectedNode(this.commander);
		if (this.console.options().helpRequested()) {
			this.console.out().print(CommandTree.usage(selected));
			return ExitCode.SUCCESS;
		}
		Command command = CommandTree.commandAt(selected);
		if (command == null) {
			this.console.err().print(CommandTree.usage(selected));
			return ExitCode.BAD_INPUT;
		}
		return run(command);
	}

	private int run(Command command) {
		try {
			return command.run();
		}
		catch (UsageException ex) {
			return usageError(ex.getMessage());
		}
		catch (InputException ex) {
			this.console.err().println(ex.getMessage());
			return ExitCode.BAD_INPUT;
		}
		catch (AdminApiException ex) {
			this.console.err().println(PROGRAM + ": " + ex.getMessage());
			return (ex.type() == ErrorType.NO_ENTRY_REACHED) ? ExitCode.NO_ENTRY_REACHED : ExitCode.FAILURE;
		}
		catch (WigeontallyException ex) {
			this.console.err().println(PROGRAM + ": " + ex.getMessage());
			return ExitCode.FAILURE;
		}
	}

	private int usageError(String message) {
		this.console.err().println(PROGRAM + ": " + message);
		this.console.err().println("See " + PROGRAM + " --help.");
		return ExitCode.BAD_INPUT;
	}

	private static String readVersion() {
		Properties properties = new Properties();
		try (InputStream stream = Wigeontally.class.getResourceAsStream("version.properties")) {
			properties.load(stream);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		return properties.getProperty("version");
	}

	/**
	 * Options of the program itself.
	 */
	static final class MainOptions {

		@Parameter(names = "--version", description = "Print the version")
		private boolean version;

	}

}
