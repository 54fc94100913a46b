package org.wigeontally.fleet;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * A difference between two configurations.
 *
 * @param subject kind of the entry
 * @param name name of the entry
 * @param change how it differs
 */
public record ConfigurationDifference(Subject subject, String name, Change change) {

	/**
	 * Compares two configurations.
	 * @param before entries of the older one
	 * @param after entries of the newer one
	 * @return the differences, by kind and name. Entries of the same name are compared
	 * together. Limits always have a value, so they are only ever changed
	 */
	public static List<ConfigurationDifference> between(ConfigurationEntries before, ConfigurationEntries after) {
		List<ConfigurationDifference> differences = new ArrayList<>();
		add(differences, Subject.ROUTE, byName(before.routes(), Route::name), byName(after.routes(), Route::name));
		add(differences, Subject.SERVICE, byName(before.services(), Service::name),
				byName(after.services(), Service::name));
		add(differences, Subject.ORGANISATION, byName(before.organisations(), (holder) -> holder.organisation().name()),
				byName(after.organisations(), (holder) -> holder.organisation().name()));
		add(differences, Subject.LIMIT, limits(before), limits(after));
		add(differences, Subject.SETTING, settings(before), settings(after));
		return List.copyOf(differences);
	}

	private static <T> Map<String, List<T>> byName(List<T> entries, Function<T, String> name) {
		return entries.stream().collect(Collectors.groupingBy(name, TreeMap::new, Collectors.toList()));
	}

	private static Map<String, Long> limits(ConfigurationEntries entries) {
		Map<String, Long> limits = new LinkedHashMap<>();
		for (CallerLimit limit : CallerLimit.values()) {
			limits.put(limit.label(), limit.of(entries.limits()));
		}
		return limits;
	}

	private static Map<String, Object> settings(ConfigurationEntries entries) {
		Map<String, Object> settings = new LinkedHashMap<>();
		settings.put("API keys required", entries.keysRequired());
		entries.origin().ifPresent((origin) -> settings.put("origin of weights", origin));
		return settings;
	}

	private static void add(List<ConfigurationDifference> differences, Subject subject, Map<String, ?> before,
			Map<String, ?> after) {
		TreeSet<String> names = new TreeSet<>(before.keySet());
		names.addAll(after.keySet());
		for (String name : names) {
			if (!before.containsKey(name)) {
				differences.add(new ConfigurationDifference(subject, name, Change.ADDED));
			}
			else if (!after.containsKey(name)) {
				differences.add(new ConfigurationDifference(subject, name, Change.REMOVED));
			}
			else if (!before.get(name).equals(after.get(name))) {
				differences.add(new ConfigurationDifference(subject, name, Change.CHANGED));
			}
		}
	}

	/**
	 * Kind of an entry.
	 */
	public enum Subject {

		/** Route. */
		ROUTE,
		/** Service. */
		SERVICE,
		/** Organisation with its API keys. */
		ORGANISATION,
		/** Limit on callers. */
		LIMIT,
		/** Setting of the whole configuration. */
		SETTING

	}

	/**
	 * How an entry differs.
	 */
	public enum Change {

		/** Only the newer configuration has it. */
		ADDED,
		/** Only the older configuration has it. */
		REMOVED,
		/** Both have it, with different content. */
		CHANGED

	}

}
