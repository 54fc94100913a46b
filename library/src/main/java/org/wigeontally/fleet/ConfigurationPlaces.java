package org.wigeontally.fleet;

/**
 * Places of a configuration's entries in the document that holds them.
 */
public interface ConfigurationPlaces {

	/**
	 * Returns the place of a part of an entry.
	 * @param part the part
	 * @param index index of the entry in its list of {@link ConfigurationEntries}
	 * @return document, line and column; of the entry if the part is not written
	 */
	String place(Part part, int index);

	/**
	 * Returns the place of a limit.
	 * @param limit the limit
	 * @return document, line and column
	 */
	String place(CallerLimit limit);

	/**
	 * Returns whether a part is written, so that no default value applies.
	 * @param part the part
	 * @param index index of the entry in its list of {@link ConfigurationEntries}
	 * @return true if it is written
	 */
	boolean isWritten(Part part, int index);

	/**
	 * Part of a configuration that findings refer to.
	 */
	enum Part {

		/** Version of the configuration; the index has no meaning. */
		VERSION,
		/** Route. */
		ROUTE,
		/** Host name of a route. */
		ROUTE_HOST,
		/** Path prefix of a route. */
		ROUTE_PREFIX,
		/** Services of a route. */
		ROUTE_SERVICES,
		/** Target time of a route. */
		ROUTE_TARGET,
		/** Maximum number of attempts of a route. */
		ROUTE_ATTEMPTS,
		/** Allowed regions of a route. */
		ROUTE_REGIONS,
		/** Service. */
		SERVICE,
		/** Slots of a service's engines. */
		SERVICE_SLOTS,
		/** Organisation. */
		ORGANISATION,
		/** API keys of an organisation. */
		ORGANISATION_KEYS

	}

}
