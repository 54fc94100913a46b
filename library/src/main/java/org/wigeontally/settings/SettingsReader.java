package org.wigeontally.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import com.google.protobuf.Message;
import org.snakeyaml.engine.v2.api.LoadSettings;
import org.snakeyaml.engine.v2.api.lowlevel.Compose;
import org.snakeyaml.engine.v2.api.lowlevel.Parse;
import org.snakeyaml.engine.v2.events.CollectionEndEvent;
import org.snakeyaml.engine.v2.events.CollectionStartEvent;
import org.snakeyaml.engine.v2.events.Event;
import org.snakeyaml.engine.v2.exceptions.MarkedYamlEngineException;
import org.snakeyaml.engine.v2.exceptions.YamlEngineException;
import org.snakeyaml.engine.v2.nodes.Node;

import org.wigeontally.errors.ErrorType;
import org.wigeontally.errors.Findings;
import org.wigeontally.errors.InputException;

/**
 * Reads a YAML document into a protobuf message of the schema. Collects all errors with
 * file, line and column, and rejects the whole document if there are any.
 */
public final class SettingsReader {

	private static final int MAX_DEPTH = 50;

	private SettingsReader() {
	}

	/**
	 * Reads a file.
	 * @param <B> type of the message's builder
	 * @param file the file
	 * @param target builder that receives the values
	 * @param validator validates the values that were read
	 * @return the builder
	 * @throws InputException with all findings, if there are any
	 */
	public static <B extends Message.Builder> B readFile(Path file, B target, SettingsValidator<B> validator)
			throws InputException {
		String text;
		try {
			text = Files.readString(file);
		}
		catch (IOException ex) {
			Findings findings = Findings.create();
			findings.add(file.toString(), ErrorType.UNREADABLE_FILE, ex.getMessage());
			throw InputException.of(findings.list());
		}
		return read(file.toString(), text, target, validator);
	}

	/**
	 * Reads a YAML text.
	 * @param <B> type of the message's builder
	 * @param name name of the document in findings
	 * @param text the YAML document
	 * @param target builder that receives the values
	 * @param validator validates the values that were read
	 * @return the builder
	 * @throws InputException with all findings, if there are any
	 */
	public static <B extends Message.Builder> B read(String name, String text, B target, SettingsValidator<B> validator)
			throws InputException {
		Findings findings = Findings.create();
		LocationMap locations = new LocationMap(name);
		try {
			LoadSettings settings = LoadSettings.builder().setLabel(name).build();
			if (isWithinMaxDepth(new Parse(settings).parseString(text), locations, findings)) {
				Node root = new Compose(settings).composeString(text).orElse(null);
				new YamlToMessage(locations, findings).fill(root, target, "");
			}
		}
		catch (MarkedYamlEngineException ex) {
			String location = ex.getProblemMark().map(locations::format).orElse(name);
			findings.add(location, ErrorType.YAML_SYNTAX, ex.getProblem());
		}
		catch (YamlEngineException ex) {
			findings.add(name, ErrorType.YAML_SYNTAX, ex.getMessage());
		}
		validator.validate(target, locations, findings);
		findings.throwIfAny();
		return target;
	}

	// Limits the nesting depth: composing is recursive and could overflow the stack.
	private static boolean isWithinMaxDepth(Iterable<Event> events, LocationMap locations, Findings findings) {
		int depth = 0;
		for (Event event : events) {
			if (event instanceof CollectionStartEvent) {
				depth++;
			}
			else if (event instanceof CollectionEndEvent) {
				depth--;
			}
			if (depth > MAX_DEPTH) {
				String location = event.getStartMark().map(locations::format).orElse("");
				findings.add(location, ErrorType.YAML_SYNTAX, "nested deeper than " + MAX_DEPTH + " levels");
				return false;
			}
		}
		return true;
	}

}
