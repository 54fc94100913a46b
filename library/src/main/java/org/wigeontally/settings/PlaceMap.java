package org.wigeontally.settings;

import java.util.HashMap;
import java.util.Map;

import org.snakeyaml.engine.v2.exceptions.Mark;

/**
 * Places of values in a document, by field path such as "peers[1].port".
 */
public final class PlaceMap {

	private final String document;

	private final Map<String, String> places = new HashMap<>();

	PlaceMap(String document) {
		this.document = document;
	}

	void put(String path, Mark mark) {
		this.places.put(path, format(mark));
	}

	String format(Mark mark) {
		return this.document + ":" + (mark.getLine() + 1) + ":" + (mark.getColumn() + 1);
	}

	/**
	 * Returns the place of a value, or of the nearest value around it.
	 * @param path field path
	 * @return document, line and column
	 */
	public String of(String path) {
		String rest = path;
		while (!rest.isEmpty()) {
			String place = this.places.get(rest);
			if (place != null) {
				return place;
			}
			int cut = Math.max(rest.lastIndexOf('.'), rest.lastIndexOf('['));
			rest = rest.substring(0, Math.max(cut, 0));
		}
		return this.document;
	}

	/**
	 * Tells whether the document has a value at a path, even a faulty one.
	 * @param path field path
	 * @return true if there is one
	 */
	public boolean has(String path) {
		return this.places.containsKey(path);
	}

}
