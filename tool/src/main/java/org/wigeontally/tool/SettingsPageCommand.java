package org.wigeontally.tool;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import com.beust.jcommander.Parameter;

import org.wigeontally.errors.WigeontallyException;

/**
 * Prints the settings reference page, generated from the schema and its comments.
 */
final class SettingsPageCommand implements Command {

	private final Console console;

	@Parameter(names = "--descriptors", description = "Descriptor set with source information, from bin/generate",
			required = true)
	private String descriptorFile;

	SettingsPageCommand(Console console) {
		this.console = console;
	}

	@Override
	public String name() {
		return "settings-page";
	}

	@Override
	public String description() {
		return "Print the page on settings from the schema";
	}

	@Override
	public int run() throws WigeontallyException {
		try {
			this.console.out()
				.print(SettingsPage.fromDescriptorSet(Files.readAllBytes(Path.of(this.descriptorFile))).format());
			return ExitCode.SUCCESS;
		}
		catch (IOException ex) {
			throw new UsageException("cannot read descriptors: " + ex.getMessage() + "; run bin/generate first");
		}
	}

}
