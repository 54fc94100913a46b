package org.wigeontally.limits;

import java.util.List;

import org.wigeontally.misc.RendezvousHash;
import org.wigeontally.schema.generated.EntryNews;
import org.wigeontally.settings.Addresses;

/**
 * Chooses the entry that issues the permits for a limited backend server, and the part of
 * the limit that it may issue.
 *
 * <p>
 * All entries rank each other by hash for each backend server, so they agree on the
 * coordinator without messages as long as they hear the same entries. Entries that are
 * cut off from each other choose different coordinators. None of them can tell a cut from
 * a crash, so each issues only the part of the limit that belongs to the entries that it
 * hears, of all that ran lately. The parts of two groups then add up to the limit.
 */
public final class PermitCoordination {

	/**
	 * Time after the start in which a least number of entries is assumed. It is enough
	 * for several exchanges, by which an entry hears of all others.
	 */
	private static final long STARTING_MS = 2_000;

	private PermitCoordination() {
	}

	/**
	 * Chooses the coordinator of a backend server: an entry that accepts callers, in the
	 * region of the backend server if there is one.
	 * @param backendId id of the backend server
	 * @param backendRegion its region
	 * @param own this entry
	 * @param live the other entries that are heard of
	 * @return the coordinator; this entry if none accepts callers
	 */
	public static EntryNews coordinator(String backendId, String backendRegion, EntryNews own, List<EntryNews> live) {
		EntryNews best = null;
		long bestRank = 0;
		for (int i = -1; i < live.size(); i++) {
			EntryNews entry = (i < 0) ? own : live.get(i);
			if (!entry.getReady()) {
				continue;
			}
			boolean near = entry.getRegion().equals(backendRegion);
			boolean bestIsNear = best != null && best.getRegion().equals(backendRegion);
			long rank = RendezvousHash.of(Addresses.format(entry.getControl()) + " " + backendId);
			if (best == null || (near && !bestIsNear) || (near == bestIsNear && rank > bestRank)) {
				best = entry;
				bestRank = rank;
			}
		}
		return (best != null) ? best : own;
	}

	/**
	 * Returns the part of a limit that the entries of this group may use.
	 * @param live the other entries that are heard of
	 * @param recent the other entries that were heard of lately, with those that are live
	 * @param uptimeMs time since the start of this entry
	 * @param minEntries number of entries that are assumed at least after the start
	 * @return from 0 to 1
	 */
	public static double share(List<EntryNews> live, List<EntryNews> recent, long uptimeMs, int minEntries) {
		int reachable = 1 + (int) live.stream().filter(EntryNews::getReady).count();
		int known = 1 + (int) recent.stream().filter(EntryNews::getReady).count();
		return Math.min(1, (double) reachable / Math.max(known, (uptimeMs < STARTING_MS) ? minEntries : 1));
	}

}
