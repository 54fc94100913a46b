package org.wigeontally.settings;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.snakeyaml.engine.v2.api.LoadSettings;
import org.snakeyaml.engine.v2.api.lowlevel.Compose;
import org.snakeyaml.engine.v2.exceptions.YamlEngineException;
import org.snakeyaml.engine.v2.nodes.MappingNode;
import org.snakeyaml.engine.v2.nodes.Node;
import org.snakeyaml.engine.v2.nodes.NodeTuple;
import org.snakeyaml.engine.v2.nodes.ScalarNode;
import org.snakeyaml.engine.v2.nodes.SequenceNode;

import org.wigeontally.errors.ErrorType;
import org.wigeontally.errors.Findings;

/**
 * Finds the locations of the values in a JSON document, which it reads as YAML, since the
 * JSON parser keeps none.
 */
public final class JsonLocations {

	private final LocationMap locations;

	private final Findings findings;

	private JsonLocations(LocationMap locations, Findings findings) {
		this.locations = locations;
		this.findings = findings;
	}

	/**
	 * Finds the locations.
	 * @param document name of the document
	 * @param json valid JSON with bounded nesting, which is read recursively
	 * @param findings collects the fields that an object has twice, of which JSON parsers
	 * keep only the last one
	 * @return the locations; none if the document cannot be read as YAML
	 */
	public static LocationMap find(String document, String json, Findings findings) {
		JsonLocations reader = new JsonLocations(new LocationMap(document), findings);
		LoadSettings settings = LoadSettings.builder().setLabel(document).setCodePointLimit(Integer.MAX_VALUE).build();
		try {
			// YAML permits tabs in fewer places. Valid JSON has none in strings.
			new Compose(settings).composeString(json.replace('\t', ' ')).ifPresent((root) -> reader.add("", root));
		}
		catch (YamlEngineException ex) {
			// Findings then name the document alone.
			return new LocationMap(document);
		}
		return reader.locations;
	}

	private void add(String path, Node node) {
		node.getStartMark().ifPresent((mark) -> this.locations.put(path, mark));
		if (node instanceof SequenceNode sequence) {
			List<Node> elements = sequence.getValue();
			for (int i = 0; i < elements.size(); i++) {
				add(path + "[" + i + "]", elements.get(i));
			}
		}
		else if (node instanceof MappingNode mapping) {
			Set<String> seen = new HashSet<>();
			for (NodeTuple tuple : mapping.getValue()) {
				String key = ((ScalarNode) tuple.getKeyNode()).getValue();
				String fieldPath = path.isEmpty() ? key : path + "." + key;
				add(fieldPath, tuple.getValueNode());
				if (!seen.add(key)) {
					this.findings.add(this.locations.locate(fieldPath), ErrorType.DUPLICATE_KEY, key);
				}
			}
		}
	}

}
