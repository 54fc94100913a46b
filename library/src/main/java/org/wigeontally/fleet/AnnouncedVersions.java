package org.wigeontally.fleet;

import java.util.Map;
import java.util.TreeMap;

/**
 * The versions of one model's weights that operators announced, each with the time of its
 * announcement. Used by one thread.
 *
 * <p>
 * Each version becomes required a fixed time after its own announcement. A newer version
 * that is announced before an older one is loaded everywhere does not delay the time from
 * which requests must run on the older version or a newer one.
 */
public final class AnnouncedVersions {

	/** Marks an unknown announcement time; such a version is required at once. */
	public static final long UNKNOWN_TIME_MS = Long.MIN_VALUE / 2;

	// Engines can load it although no operator announced it.
	private static final long FIRST_VERSION = 1;

	private static final int MAX_VERSIONS = 8;

	private final TreeMap<Long, Long> announcedMsByVersion = new TreeMap<>();

	private AnnouncedVersions() {
	}

	/**
	 * Creates an empty list.
	 * @return the list
	 */
	public static AnnouncedVersions create() {
		return new AnnouncedVersions();
	}

	/**
	 * Adds a version, unless it is known.
	 * @param version the version
	 * @param announcedMs time of the announcement or an earlier time;
	 * {@link #UNKNOWN_TIME_MS} if not known
	 * @return true if the version is new
	 */
	public boolean add(long version, long announcedMs) {
		Long known = this.announcedMsByVersion.putIfAbsent(version, announcedMs);
		while (this.announcedMsByVersion.size() > MAX_VERSIONS) {
			this.announcedMsByVersion.pollFirstEntry();
		}
		return known == null;
	}

	/**
	 * Updates the announcement time of a version if the given time is the first known one
	 * or is earlier.
	 * @param version the version
	 * @param announcedMs announcement time that another process observed
	 */
	public void updateAnnouncementTime(long version, long announcedMs) {
		Long known = this.announcedMsByVersion.get(version);
		if (known == null || known == UNKNOWN_TIME_MS || announcedMs < known) {
			this.announcedMsByVersion.put(version, announcedMs);
		}
	}

	/**
	 * Returns the version that engines should load.
	 * @param newestVersion newest version that was announced; 0 for none
	 * @return the version; the first version until one is announced
	 */
	public static long targetVersion(long newestVersion) {
		return Math.max(FIRST_VERSION, newestVersion);
	}

	/**
	 * Returns the newest version.
	 * @return the version; 0 if none was announced
	 */
	public long newestVersion() {
		return this.announcedMsByVersion.isEmpty() ? 0 : this.announcedMsByVersion.lastKey();
	}

	/**
	 * Returns the version below which no request may start.
	 * @param nowMs current time in milliseconds
	 * @param boundMs time from the announcement of a version until it is required
	 * @return the version; 0 if none is required
	 */
	public long requiredVersion(long nowMs, long boundMs) {
		for (Map.Entry<Long, Long> entry : this.announcedMsByVersion.descendingMap().entrySet()) {
			if (nowMs - entry.getValue() >= boundMs) {
				return entry.getKey();
			}
		}
		return 0;
	}

	/**
	 * Returns when the first time limit of a newer version ends the use of a version.
	 * @param version the version
	 * @param limitMs time limit, counted from the announcement of the newer version
	 * @return the time in milliseconds; {@link Long#MAX_VALUE} if no newer version was
	 * announced
	 */
	public long endOfUseMs(long version, long limitMs) {
		return this.announcedMsByVersion.tailMap(version, false)
			.values()
			.stream()
			.mapToLong((announcedMs) -> announcedMs + limitMs)
			.min()
			.orElse(Long.MAX_VALUE);
	}

	/**
	 * Returns the known announcement times.
	 * @return announcement time by version, without versions whose time is not known
	 */
	public Map<Long, Long> announcementTimes() {
		Map<Long, Long> known = new TreeMap<>(this.announcedMsByVersion);
		known.values().removeIf((announcedMs) -> announcedMs == UNKNOWN_TIME_MS);
		return known;
	}

}
