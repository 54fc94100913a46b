package org.wigeontally.weights;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The loads of engines that were found wrong, as their agents reported it. An agent that
 * restarts does not know what the one before it has found, and an engine registers the
 * version that it was told to load. So what was disproven holds at the entries, whatever
 * a later agent or a registration says, until the engine has begun another order or is
 * replaced by another process. Used by one thread.
 */
public final class DisprovenLoads {

	// By the address of the engine; at most one for each.
	private final Map<String, LoadLedger.Load> loads = new HashMap<>();

	private DisprovenLoads() {
	}

	/**
	 * Creates an empty set.
	 * @return the set
	 */
	public static DisprovenLoads create() {
		return new DisprovenLoads();
	}

	/**
	 * Records that a load was found wrong, unless a later one of the same process is
	 * known to be.
	 * @param engine address of the engine
	 * @param load the load
	 * @return true if this is new
	 */
	public boolean record(String engine, LoadLedger.Load load) {
		LoadLedger.Load known = this.loads.get(engine);
		if (known != null && !isLater(load, known)) {
			return false;
		}
		this.loads.put(engine, load);
		return true;
	}

	/**
	 * Records the last load that an engine is known to have begun. What was disproven
	 * before it, or in an earlier process, concerns weights that are no longer loaded.
	 * @param engine address of the engine
	 * @param load the load
	 */
	public void recordBegun(String engine, LoadLedger.Load load) {
		LoadLedger.Load known = this.loads.get(engine);
		if (known != null && isLater(load, known)) {
			this.loads.remove(engine);
		}
	}

	private static boolean isLater(LoadLedger.Load load, LoadLedger.Load known) {
		if (load.engineStartMs() != known.engineStartMs()) {
			return load.engineStartMs() > known.engineStartMs();
		}
		return load.startedOrders() > known.startedOrders();
	}

	/**
	 * Returns the load of an engine's process that was found wrong, and that is not known
	 * to be followed by another one.
	 * @param engine address of the engine
	 * @param engineStartMs start of its process; 0 if it is not known
	 * @return the load; empty if there is none
	 */
	public Optional<LoadLedger.Load> find(String engine, long engineStartMs) {
		return Optional.ofNullable(this.loads.get(engine))
			.filter((load) -> engineStartMs == 0 || load.engineStartMs() == engineStartMs);
	}

}
