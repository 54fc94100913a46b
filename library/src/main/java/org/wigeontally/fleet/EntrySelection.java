package org.wigeontally.fleet;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;

import org.wigeontally.schema.generated.EntryNews;
import org.wigeontally.settings.Addresses;

/**
 * Decides which entries a caller is sent to: those of its zone; if there are fewer than
 * two, those of its region too; if there are still fewer, all others whose region may
 * receive the requests of the host name.
 */
public final class EntrySelection {

	private static final int ENOUGH = 2;

	private static final int MOST = 64;

	private EntrySelection() {
	}

	/**
	 * Decides on one caller.
	 * @param question where the caller is
	 * @param entries entries that may be named, this one included
	 * @param regions regions that may receive the requests; empty for all
	 * @return addresses to connect to
	 */
	public static List<String> selectAddresses(DirectoryQuery question, List<EntryNews> entries, Set<String> regions) {
		LinkedHashSet<String> found = new LinkedHashSet<>();
		add(found, entries, (entry) -> entry.getZone().equals(question.zone()));
		if (found.size() < ENOUGH) {
			add(found, entries, (entry) -> entry.getRegion().equals(question.region()));
		}
		if (found.isEmpty() || (found.size() < ENOUGH && regions.isEmpty())) {
			add(found, entries, (entry) -> regions.isEmpty() || regions.contains(entry.getRegion()));
		}
		List<String> listed = new ArrayList<>(found);
		return (listed.size() > MOST) ? listed.subList(0, MOST) : listed;
	}

	private static void add(Set<String> found, List<EntryNews> entries, Predicate<EntryNews> fits) {
		for (EntryNews entry : entries) {
			if (entry.getReady() && fits.test(entry)) {
				found.add(Addresses.format(entry.getFront()));
			}
		}
	}

}
