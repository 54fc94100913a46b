package org.wigeontally.tool;

import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

import com.beust.jcommander.Parameter;

/**
 * Options of every command. They may stand before or after the command name.
 */
final class GlobalOptions {

	private static final int DEFAULT_TIMEOUT_S = 30;

	@Parameter(names = "--settings", description = "Settings file; by default the one named in WIGEONTALLY_SETTINGS")
	private String settingsFile = System.getenv("WIGEONTALLY_SETTINGS");

	@Parameter(names = "--output", description = "Form of the output: table or json")
	private OutputFormat outputFormat = OutputFormat.TABLE;

	@Parameter(names = "--timeout", description = "Longest time for the command, in seconds")
	private int timeoutS = DEFAULT_TIMEOUT_S;

	@Parameter(names = { "--help", "-h" }, help = true, description = "Print the options")
	private boolean helpRequested;

	Path settingsFile() throws UsageException {
		if (this.settingsFile == null || this.settingsFile.isBlank()) {
			throw new UsageException("no settings file: give --settings FILE or set WIGEONTALLY_SETTINGS");
		}
		return Path.of(this.settingsFile);
	}

	boolean isJson() {
		return this.outputFormat == OutputFormat.JSON;
	}

	long timeoutMs() throws UsageException {
		if (this.timeoutS < 1) {
			throw new UsageException("--timeout must be at least 1 second");
		}
		return TimeUnit.SECONDS.toMillis(this.timeoutS);
	}

	boolean helpRequested() {
		return this.helpRequested;
	}

	/**
	 * Format of the output.
	 */
	enum OutputFormat {

		/** Text tables, for operators. */
		TABLE,
		/** JSON, for programs. */
		JSON

	}

}
