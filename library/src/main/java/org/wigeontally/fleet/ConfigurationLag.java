package org.wigeontally.fleet;

import java.util.List;

import org.wigeontally.schema.generated.EntryNews;

/**
 * Whether this entry still uses a configuration although it has known of a newer one for
 * too long.
 *
 * <p>
 * Load pattern: a change reaches some entries of a region and not others, because their
 * connections are slow or fail. Until the change is due, both answers are right. After
 * that a request may run where the newer configuration does not allow it, and callers
 * that connect elsewhere are served at once. So an entry that is outdated by then takes
 * no callers, as long as another entry of its region is up to date. If none is, it goes
 * on with what it has: callers would have nowhere to go. Used by one thread.
 */
public final class ConfigurationLag {

	/**
	 * Time by which an entry stops before the change is due: the change may have been
	 * acknowledged that long before the first word of it arrived.
	 */
	static final long NEWS_DELAY_MS = 500;

	private final long maxLagMs;

	private long behindSinceMs = Long.MAX_VALUE;

	private boolean othersCurrent;

	private ConfigurationLag(long maxLagMs) {
		this.maxLagMs = maxLagMs;
	}

	/**
	 * Creates the state of an entry that knows of no newer configuration.
	 * @param dueMs time from the acknowledgement of a configuration until it must be in
	 * force, milliseconds; 0 if there is no such bound
	 * @return the state
	 */
	public static ConfigurationLag create(double dueMs) {
		return new ConfigurationLag((dueMs > 0) ? Math.max(0, (long) dueMs - NEWS_DELAY_MS) : Long.MAX_VALUE);
	}

	/**
	 * Compares the configuration in force with those of the other entries.
	 * @param version version in force at this entry
	 * @param region region of this entry
	 * @param others last messages of the live entries
	 * @param nowMs current time in milliseconds
	 */
	public void update(long version, String region, List<EntryNews> others, long nowMs) {
		long newest = others.stream().mapToLong(EntryNews::getConfigurationVersion).max().orElse(0);
		if (newest <= version) {
			this.behindSinceMs = Long.MAX_VALUE;
			return;
		}
		this.behindSinceMs = Math.min(this.behindSinceMs, nowMs);
		this.othersCurrent = others.stream()
			.anyMatch((entry) -> entry.getRegion().equals(region) && entry.getReady()
					&& entry.getConfigurationVersion() == newest);
	}

	/**
	 * Returns whether a newer configuration is known to exist. Then it is unknown which
	 * routes and keys there are.
	 * @return true if it is
	 */
	public boolean isBehind() {
		return this.behindSinceMs != Long.MAX_VALUE;
	}

	/**
	 * Returns whether callers are to be served by other entries.
	 * @param nowMs current time in milliseconds
	 * @return true if the newer configuration is due and another entry of the region has
	 * it
	 */
	public boolean isOutdated(long nowMs) {
		return isBehind() && this.othersCurrent && nowMs - this.behindSinceMs >= this.maxLagMs;
	}

}
