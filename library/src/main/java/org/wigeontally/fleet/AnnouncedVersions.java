package org.wigeontally.fleet;

import java.util.Map;
import java.util.TreeMap;

/**
 * The versions of one model's weights that operators named, each with the time of its
 * naming. Used by one thread.
 *
 * <p>
 * Each version binds from its own naming on: a newer one that is named before an older
 * one is everywhere does not put off the time from which requests must not run on what
 * came before the older one.
 */
public final class AnnouncedVersions {

	/** Stands for a time that is not known; such a version binds at once. */
	public static final long UNKNOWN_TIME_MS = Long.MIN_VALUE / 2;

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
	 * Takes note of a version.
	 * @param version the version
	 * @param atMs time of its naming or an earlier one; {@link #UNKNOWN_TIME_MS} if not
	 * known
	 * @return true if it is new
	 */
	public boolean add(long version, long announcedMs) {
		Long known = this.announcedMsByVersion.putIfAbsent(version, announcedMs);
		while (this.announcedMsByVersion.size() > MAX_VERSIONS) {
			this.announcedMsByVersion.pollFirstEntry();
		}
		return known == null;
	}

	/**
	 * Takes the time of naming from somebody who saw it.
	 * @param version the version
	 * @param atMs time of its naming
	 */
	public void updateAnnouncementTime(long version, long announcedMs) {
		Long known = this.announcedMsByVersion.get(version);
		if (known == null || known == UNKNOWN_TIME_MS || announcedMs < known) {
			this.announcedMsByVersion.put(version, announcedMs);
		}
	}

	/**
	 * Returns the newest version.
	 * @return the version; 0 if none was named
	 */
	public long newestVersion() {
		return this.announcedMsByVersion.isEmpty() ? 0 : this.announcedMsByVersion.lastKey();
	}

	/**
	 * Returns the version below which no request may begin.
	 * @param nowMs the time
	 * @param boundMs time from the naming of a version until it binds
	 * @return the version; 0 if none binds
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
	 * Returns the versions whose time of naming is known.
	 * @return times of naming by version
	 */
	public Map<Long, Long> announcementTimes() {
		Map<Long, Long> known = new TreeMap<>(this.announcedMsByVersion);
		known.values().removeIf((announcedMs) -> announcedMs == UNKNOWN_TIME_MS);
		return known;
	}

}
