package org.wigeontally.emulator.entries;

import java.util.Map;
import java.util.TreeMap;

/**
 * Messages and bytes by kind. Thread-safe.
 */
public final class Traffic {

	private final Map<String, long[]> totals = new TreeMap<>();

	synchronized void add(String kind, long bytes) {
		long[] total = this.totals.computeIfAbsent(kind, (key) -> new long[2]);
		total[0]++;
		total[1] += bytes;
	}

	/**
	 * Returns the totals since the last call and starts again at zero.
	 * @return messages and bytes by kind
	 */
	public synchronized Map<String, long[]> take() {
		Map<String, long[]> taken = new TreeMap<>(this.totals);
		this.totals.clear();
		return taken;
	}

}
