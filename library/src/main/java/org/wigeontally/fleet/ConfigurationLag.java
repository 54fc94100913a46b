package org.wigeontally.fleet;

import java.util.List;
import java.util.NavigableMap;
import java.util.TreeMap;

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
 * no callers, as long as enough other entries of its region are ahead of it. If they are
 * not, it goes on with what it has: callers would have nowhere to go. Used by one thread.
 */
public final class ConfigurationLag {

	/**
	 * Time by which an entry stops before the change is due: the change may have been
	 * acknowledged that long before the first word of it arrived.
	 */
	static final long NEWS_DELAY_MS = 500;

	/**
	 * Time for which routes and keys are taken for unknown because a newer configuration
	 * was heard of. Longer than any configuration takes to arrive; if it does not, the
	 * entry that told of it may hold one that nobody else will ever get.
	 */
	static final long MAX_UNCERTAIN_MS = 10_000;

	/** One in so many ready entries of the region must be able to take the callers. */
	private static final int MIN_CURRENT_SHARE = 3;

	private final long maxLagMs;

	// When each newer version was first heard of.
	private final NavigableMap<Long, Long> heardAtMs = new TreeMap<>();

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
		this.heardAtMs.headMap(version, true).clear();
		boolean newerExists = false;
		int ready = 0;
		int current = 0;
		for (EntryNews entry : others) {
			boolean newer = entry.getConfigurationVersion() > version;
			if (newer) {
				newerExists = true;
				this.heardAtMs.putIfAbsent(entry.getConfigurationVersion(), nowMs);
			}
			if (entry.getRegion().equals(region) && entry.getReady()) {
				ready++;
				current += newer ? 1 : 0;
			}
		}
		if (!newerExists) {
			this.heardAtMs.clear();
		}
		this.othersCurrent = current > 0 && current * MIN_CURRENT_SHARE >= ready;
	}

	/**
	 * Returns whether a newer configuration is on its way. Then it is unknown which
	 * routes and keys there are.
	 * @param nowMs current time in milliseconds
	 * @return true if it is
	 */
	public boolean isBehind(long nowMs) {
		return !this.heardAtMs.isEmpty() && lagMs(nowMs) < MAX_UNCERTAIN_MS;
	}

	/**
	 * Returns whether callers are to be served by other entries.
	 * @param nowMs current time in milliseconds
	 * @return true if a newer configuration is due and enough others of the region have
	 * it or a later one
	 */
	public boolean isOutdated(long nowMs) {
		return !this.heardAtMs.isEmpty() && this.othersCurrent && lagMs(nowMs) >= this.maxLagMs;
	}

	// Time since the oldest version that is missing was heard of.
	private long lagMs(long nowMs) {
		return nowMs - this.heardAtMs.values().stream().mapToLong(Long::longValue).min().orElse(nowMs);
	}

}
