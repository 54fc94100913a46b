package org.wigeontally.emulator.measure;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Figures of a measurement in the order in which they were put, and series of points for
 * a plot. Filled by one thread.
 */
public final class Figures {

	private final Map<String, Double> values = new LinkedHashMap<>();

	private final Map<String, List<Point>> series = new LinkedHashMap<>();

	private Figures() {
	}

	/**
	 * Creates an empty set of figures.
	 * @return the figures
	 */
	public static Figures create() {
		return new Figures();
	}

	/**
	 * Puts a figure.
	 * @param name name of the figure, with its unit at the end where it has one
	 * @param value the value
	 * @return this object
	 */
	public Figures put(String name, double value) {
		this.values.put(name, value);
		return this;
	}

	/**
	 * Adds a point to a series.
	 * @param name name of the series
	 * @param x value on the x axis
	 * @param y value on the y axis
	 * @return this object
	 */
	public Figures point(String name, double x, double y) {
		this.series.computeIfAbsent(name, (key) -> new ArrayList<>()).add(new Point(x, y));
		return this;
	}

	/**
	 * Returns the figures.
	 * @return values by name, unmodifiable
	 */
	public Map<String, Double> values() {
		return Collections.unmodifiableMap(this.values);
	}

	/**
	 * Returns the series.
	 * @return points by name of the series, unmodifiable
	 */
	public Map<String, List<Point>> series() {
		return Collections.unmodifiableMap(this.series);
	}

	/**
	 * A point of a series.
	 *
	 * @param x value on the x axis
	 * @param y value on the y axis
	 */
	public record Point(double x, double y) {

	}

}
