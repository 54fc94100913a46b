package org.wigeontally.settings;

import java.util.HashMap;
import java.util.Map;

import org.snakeyaml.engine.v2.exceptions.Mark;

/**
 * Locations of values in a document, by field path such as "peers[1].port".
 */
public final class LocationMap {

	private final String document;

	private final Map<String, String> locations = new HashMap<>();

	LocationMap(String document) {
		this.document = document;
	}

	void put(String path, Mark mark) {
		this.locations.put(path, format(mark));
	}

	String format(Mark mark) {
		return this.document + ":" + (mark.getLine() + 1) + ":" + (mark.getColumn() + 1);
	}

	/**
	 * Returns the location of a value, or of the innermost enclosing value that has one.
	 * @param path field path
	 * @return document, line and column, or the document alone if no value is found
	 */
	public String locate(String path) {
		String enclosingPath = path;
		while (!enclosingPath.isEmpty()) {
			String location = this.locations.get(enclosingPath);
			if (location != null) {
				return location;
			}
			int parentEnd = Math.max(enclosingPath.lastIndexOf('.'), enclosingPath.lastIndexOf('['));
			enclosingPath = enclosingPath.substring(0, Math.max(parentEnd, 0));
		}
		return this.document;
	}

	/**
	 * Returns whether the document has a value at a path, even an invalid one.
	 * @param path field path
	 * @return true if there is a value
	 */
	public boolean contains(String path) {
		return this.locations.containsKey(path);
	}

}
