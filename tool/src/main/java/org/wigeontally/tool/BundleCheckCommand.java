package org.wigeontally.tool;

import java.nio.file.Path;

import com.beust.jcommander.Parameter;

import org.wigeontally.errors.WigeontallyException;

/**
 * Validates a bundle file without contacting an entry host.
 */
final class BundleCheckCommand implements Command {

	private final Console console;

	@Parameter(description = "FILE", required = true)
	private String file;

	BundleCheckCommand(Console console) {
		this.console = console;
	}

	@Override
	public String name() {
		return "bundle check";
	}

	@Override
	public String description() {
		return "Check a bundle file without a server";
	}

	@Override
	public int run() throws WigeontallyException {
		BundleFile.read(Path.of(this.file));
		this.console.out().println(this.file + ": no findings");
		return ExitCode.SUCCESS;
	}

}
