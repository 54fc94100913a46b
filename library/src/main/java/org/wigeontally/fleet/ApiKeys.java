package org.wigeontally.fleet;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The API keys of a configuration. Whether requests need a key is told apart from which
 * keys there are, so that taking away the last key leaves no request valid. Immutable.
 */
public final class ApiKeys {

	private static final ApiKeys NOT_REQUIRED = new ApiKeys(false, Map.of());

	private final boolean required;

	private final Map<String, Organisation> organisationsByKey;

	private ApiKeys(boolean required, Map<String, Organisation> organisationsByKey) {
		this.required = required;
		this.organisationsByKey = organisationsByKey;
	}

	/**
	 * Returns the keys of a configuration in which requests need none.
	 * @return no keys
	 */
	public static ApiKeys notRequired() {
		return NOT_REQUIRED;
	}

	/**
	 * Creates the keys of a configuration in which requests need one.
	 * @param organisationsByKey organisation of each key; may be empty. An empty key is
	 * left out, since a request without a key must not match it
	 * @return the keys
	 */
	public static ApiKeys required(Map<String, Organisation> organisationsByKey) {
		Map<String, Organisation> usable = new HashMap<>(organisationsByKey);
		usable.remove("");
		return new ApiKeys(true, Map.copyOf(usable));
	}

	/**
	 * Returns whether requests need a key unless their route exempts them.
	 * @return true if they do
	 */
	public boolean areRequired() {
		return this.required;
	}

	/**
	 * Finds the organisation of a key.
	 * @param key the key; may be null
	 * @return the organisation
	 */
	public Optional<Organisation> organisation(String key) {
		return (key != null) ? Optional.ofNullable(this.organisationsByKey.get(key)) : Optional.empty();
	}

}
