package org.wigeontally.fleet;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;

import org.wigeontally.schema.generated.EntryNews;
import org.wigeontally.settings.Addresses;

/**
 * Selects the entries that a caller connects to. The entries of its availability zone
 * come first. If there are fewer than two, the entries of its region are added. If there
 * are still fewer than two, other entries are added, except for a host name that is
 * restricted to regions: then they are added only if none was found, and only from those
 * regions.
 */
public final class EntrySelection {

	private static final int MIN_ENTRIES = 2;

	private static final int MAX_ENTRIES = 64;

	private EntrySelection() {
	}

	/**
	 * Selects the entries for one caller.
	 * @param query location of the caller
	 * @param entries known entries, including this one
	 * @param regions regions that may receive the requests
	 * @return addresses to connect to
	 */
	public static List<String> selectAddresses(DirectoryQuery query, List<EntryNews> entries, AllowedRegions regions) {
		LinkedHashSet<String> selected = new LinkedHashSet<>();
		addMatching(selected, entries, (entry) -> entry.getZone().equals(query.zone()));
		if (selected.size() < MIN_ENTRIES) {
			addMatching(selected, entries, (entry) -> entry.getRegion().equals(query.region()));
		}
		if (selected.isEmpty() || (selected.size() < MIN_ENTRIES && regions.areUnrestricted())) {
			addMatching(selected, entries, (entry) -> regions.contains(entry.getRegion()));
		}
		List<String> listed = new ArrayList<>(selected);
		return (listed.size() > MAX_ENTRIES) ? listed.subList(0, MAX_ENTRIES) : listed;
	}

	private static void addMatching(Set<String> selected, List<EntryNews> entries, Predicate<EntryNews> filter) {
		for (EntryNews entry : entries) {
			if (entry.getReady() && filter.test(entry)) {
				selected.add(Addresses.format(entry.getFront()));
			}
		}
	}

}
