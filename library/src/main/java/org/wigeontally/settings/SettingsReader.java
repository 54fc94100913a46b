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
 * Reads a YAML document into a message of the schema. Every fault is collected with file,
 * line and column; the document is refused as a whole if there is any.
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
	 * @param check further checks of the values, run if the document fits the schema
	 * @return the builder
	 * @throws InputException with all findings, if there are any
	 */
	public static <B extends Message.Builder> B readFile(Path file, B target, SettingsCheck<B> check)
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
		return read(file.toString(), text, target, check);
	}

	/**
	 * Reads a text.
	 * @param <B> type of the message's builder
	 * @param name name of the text in findings
	 * @param text the YAML document
	 * @param target builder that receives the values
	 * @param check further checks of the values
	 * @return the builder
	 * @throws InputException with all findings, if there are any
	 */
	public static <B extends Message.Builder> B read(String name, String text, B target, SettingsCheck<B> check)
			throws InputException {
		Findings findings = Findings.create();
		PlaceMap places = new PlaceMap(name);
		try {
			LoadSettings settings = LoadSettings.builder().setLabel(name).build();
			if (fits(new Parse(settings).parseString(text), places, findings)) {
				Node root = new Compose(settings).composeString(text).orElse(null);
				new YamlToMessage(places, findings).fill(root, target, "");
			}
		}
		catch (MarkedYamlEngineException ex) {
			String place = ex.getProblemMark().map(places::format).orElse(name);
			findings.add(place, ErrorType.YAML_SYNTAX, ex.getProblem());
		}
		catch (YamlEngineException ex) {
			findings.add(name, ErrorType.YAML_SYNTAX, ex.getMessage());
		}
		check.check(target, places, findings);
		findings.throwIfAny();
		return target;
	}

	// Limits the nesting, since composing recurses.
	private static boolean fits(Iterable<Event> events, PlaceMap places, Findings findings) {
		int depth = 0;
		for (Event event : events) {
			if (event instanceof CollectionStartEvent) {
				depth++;
			}
			else if (event instanceof CollectionEndEvent) {
				depth--;
			}
			if (depth > MAX_DEPTH) {
				String place = event.getStartMark().map(places::format).orElse("");
				findings.add(place, ErrorType.YAML_SYNTAX, "nested deeper than " + MAX_DEPTH + " levels");
				return false;
			}
		}
		return true;
	}

}
