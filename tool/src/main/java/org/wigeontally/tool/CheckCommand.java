package org.wigeontally.tool;

import java.nio.file.Path;

import com.beust.jcommander.Parameter;

import org.wigeontally.errors.WigeontallyException;
import org.wigeontally.schema.generated.AgentSettings;
import org.wigeontally.schema.generated.EntrySettings;
import org.wigeontally.schema.generated.HostSettings;
import org.wigeontally.schema.generated.OperatorSettings;
import org.wigeontally.settings.AgentSettingsValidator;
import org.wigeontally.settings.EntrySettingsValidator;
import org.wigeontally.settings.HostSettingsValidator;
import org.wigeontally.settings.OperatorSettingsValidator;
import org.wigeontally.settings.SettingsReader;

/**
 * Validates a settings or bundle file without contacting an entry host.
 */
final class CheckCommand implements Command {

	private final Console console;

	@Parameter(description = "FILE", required = true)
	private String file;

	@Parameter(names = "--kind",
			description = "What the file holds: entry, agent, operator, bundle, platform_entry or platform_agent",
			required = true)
	private Kind kind;

	CheckCommand(Console console) {
		this.console = console;
	}

	@Override
	public String name() {
		return "check";
	}

	@Override
	public String description() {
		return "Check a settings or bundle file without a server";
	}

	@Override
	public int run() throws WigeontallyException {
		Path path = Path.of(this.file);
		switch (this.kind) {
			case ENTRY -> SettingsReader.readFile(path, EntrySettings.newBuilder(), EntrySettingsValidator.create());
			case AGENT -> SettingsReader.readFile(path, AgentSettings.newBuilder(), AgentSettingsValidator.create());
			case PLATFORM_ENTRY ->
				SettingsReader.readFile(path, HostSettings.newBuilder(), HostSettingsValidator.create(true));
			case PLATFORM_AGENT ->
				SettingsReader.readFile(path, HostSettings.newBuilder(), HostSettingsValidator.create(false));
			case OPERATOR ->
				SettingsReader.readFile(path, OperatorSettings.newBuilder(), OperatorSettingsValidator.create(false));
			default -> BundleFile.read(path);
		}
		this.console.out().println(this.file + ": no findings");
		return ExitCode.SUCCESS;
	}

	/**
	 * Kind of document that a file holds.
	 */
	enum Kind {

		/** Settings of an entry. */
		ENTRY,
		/** Settings of an agent. */
		AGENT,
		/** Settings of the operators' command line. */
		OPERATOR,
		/** A bundle. */
		BUNDLE,
		/** Settings of an entry process on a host of the platform. */
		PLATFORM_ENTRY,
		/** Settings of an agent process on a host of the platform. */
		PLATFORM_AGENT

	}

}
