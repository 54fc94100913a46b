package org.wigeontally.emulator.limits;

import java.util.ArrayList;
import java.util.List;

/**
 * Requests that arrive at a limited backend server within four seconds, and how many of
 * them the platform allows.
 */
public final class LimitWindows {

	private static final double WINDOW_MS = 4_000;

	private static final double MS_PER_SECOND = 1000;

	private static final double BOUND_FACTOR = 1.5;

	private static final int BOUND_SLACK = 5;

	private LimitWindows() {
	}

	/**
	 * Counts the requests of each window that begins with one.
	 * @param arrivalsMs times of the requests in ascending order, milliseconds
	 * @return the counts
	 */
	public static List<Integer> counts(List<? extends Number> arrivalsMs) {
		List<Integer> counts = new ArrayList<>();
		int end = 0;
		for (int start = 0; start < arrivalsMs.size(); start++) {
			double endMs = arrivalsMs.get(start).doubleValue() + WINDOW_MS;
			while (end < arrivalsMs.size() && arrivalsMs.get(end).doubleValue() < endMs) {
				end++;
			}
			counts.add(end - start);
		}
		return counts;
	}

	/**
	 * Returns the most requests of a window.
	 * @param arrivalsMs times of the requests in ascending order, milliseconds
	 * @return number of requests
	 */
	public static int most(List<? extends Number> arrivalsMs) {
		return counts(arrivalsMs).stream().mapToInt(Integer::intValue).max().orElse(0);
	}

	/**
	 * Returns how many requests the platform allows in a window.
	 * @param perSecond the limit
	 * @return number of requests
	 */
	public static double allowed(double perSecond) {
		return Math.floor(BOUND_FACTOR * perSecond * WINDOW_MS / MS_PER_SECOND + BOUND_SLACK);
	}

}
