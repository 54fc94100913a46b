package org.wigeontally.tool;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;

import com.beust.jcommander.Parameter;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

import org.wigeontally.errors.ErrorType;
import org.wigeontally.errors.Findings;
import org.wigeontally.errors.InputException;
import org.wigeontally.fleet.ConfigurationCheck;
import org.wigeontally.fleet.ConfigurationDifference;
import org.wigeontally.platform.wire.ConfigurationDocument;
import org.wigeontally.schema.generated.Finding;

/**
 * Checks a configuration of the platform before an operator writes it to the store.
 */
final class CheckConfigurationCommand implements Command {

	private final Console console;

	@Parameter(description = "FILE", required = true)
	private String file;

	@Parameter(names = "--in-force", description = "Configuration in force, to print what differs from it")
	private String inForceFile;

	@Parameter(names = "--json", description = "Same as --output json")
	private boolean json;

	CheckConfigurationCommand(Console console) {
		this.console = console;
	}

	@Override
	public String name() {
		return "check-configuration";
	}

	@Override
	public String description() {
		return "Check a configuration of the platform without a server";
	}

	@Override
	public int run() {
		Findings findings = Findings.create();
		List<ConfigurationDifference> differences = List.of();
		try {
			ConfigurationDocument document = read(this.file);
			document.repeatedFields().forEach(findings::add);
			ConfigurationCheck.check(document.entries(), document, findings);
			if (this.inForceFile != null) {
				ConfigurationDocument inForce = read(this.inForceFile);
				ConfigurationCheck.checkNewer(document.entries(), document, inForce.entries().version(), findings);
				differences = ConfigurationDifference.between(inForce.entries(), document.entries());
			}
		}
		catch (InputException ex) {
			ex.findings().forEach(findings::add);
		}
		if (this.json || this.console.options().isJson()) {
			this.console.out().println(toJson(findings.list(), differences).encode());
		}
		else {
			print(findings, differences);
		}
		if (findings.isEmpty()) {
			return ExitCode.SUCCESS;
		}
		return findings.list().stream().anyMatch(CheckConfigurationCommand::isError) ? ExitCode.BAD_INPUT
				: ExitCode.WARNINGS_ONLY;
	}

	private static ConfigurationDocument read(String file) throws InputException {
		try {
			return ConfigurationDocument.read(file, Files.readAllBytes(Path.of(file)));
		}
		catch (IOException ex) {
			Findings findings = Findings.create();
			findings.add(file, ErrorType.UNREADABLE_FILE, ex);
			throw InputException.of(findings.list());
		}
	}

	private void print(Findings findings, List<ConfigurationDifference> differences) {
		this.console.out().println(findings.isEmpty() ? this.file + ": no findings" : Findings.format(findings.list()));
		for (ConfigurationDifference difference : differences) {
			this.console.out()
				.println(word(difference.change()) + " " + word(difference.subject()) + " \"" + difference.name()
						+ "\"");
		}
	}

	private static JsonObject toJson(List<Finding> findings, List<ConfigurationDifference> differences) {
		JsonArray findingArray = new JsonArray();
		findings.forEach((finding) -> findingArray
			.add(new JsonObject().put("severity", word(ErrorType.severity(finding.getNumber())))
				.put("number", finding.getNumber())
				.put("place", finding.getPlace())
				.put("message", finding.getMessage())));
		JsonArray differenceArray = new JsonArray();
		differences
			.forEach((difference) -> differenceArray.add(new JsonObject().put("change", word(difference.change()))
				.put("subject", word(difference.subject()))
				.put("name", difference.name())));
		return new JsonObject().put("findings", findingArray).put("differences", differenceArray);
	}

	private static boolean isError(Finding finding) {
		return ErrorType.severity(finding.getNumber()) == ErrorType.Severity.ERROR;
	}

	private static String word(Enum<?> value) {
		return value.name().toLowerCase(Locale.ROOT);
	}

}
