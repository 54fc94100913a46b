package org.wigeontally.limits;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.testng.annotations.Test;

import org.wigeontally.schema.generated.Address;
import org.wigeontally.schema.generated.EntryNews;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Which entry issues the permits of a backend server, and how many.
 */
public class PermitCoordinationTests {

	private static final long RUNNING_MS = 60_000;

	private static EntryNews entry(int number, String region, boolean ready) {
		return EntryNews.newBuilder()
			.setControl(Address.newBuilder().setIp("10.0.0." + number).setPort(8_000))
			.setRegion(region)
			.setReady(ready)
			.build();
	}

	private static List<EntryNews> entries(int count) {
		List<EntryNews> entries = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			entries.add(entry(i, (i % 2 == 0) ? "west" : "east", true));
		}
		return entries;
	}

	private static List<EntryNews> without(List<EntryNews> entries, EntryNews own) {
		return entries.stream().filter((entry) -> entry != own).toList();
	}

	@Test
	public void allEntriesAgreeAndCoordinatorsAreSpreadOverTheRegionOfTheBackendServers() {
		List<EntryNews> entries = entries(14);
		Set<EntryNews> coordinators = new HashSet<>();
		for (int i = 0; i < 100; i++) {
			Set<EntryNews> chosen = new HashSet<>();
			for (EntryNews own : entries) {
				chosen.add(PermitCoordination.coordinator("backend-" + i, "west", own, without(entries, own)));
			}
			assertThat(chosen).hasSize(1);
			coordinators.addAll(chosen);
		}
		assertThat(coordinators).hasSize(7).allMatch((entry) -> entry.getRegion().equals("west"));
	}

	@Test
	public void entryThatShutsDownDoesNotCoordinateUnlessItIsAlone() {
		EntryNews leaving = entry(1, "west", false);
		EntryNews other = entry(2, "east", true);
		assertThat(PermitCoordination.coordinator("b", "west", leaving, List.of(other))).isEqualTo(other);
		assertThat(PermitCoordination.coordinator("b", "west", other, List.of(leaving))).isEqualTo(other);
		assertThat(PermitCoordination.coordinator("b", "west", leaving, List.of())).isEqualTo(leaving);
	}

	/**
	 * Two groups that are cut off from each other use no more than the limit together.
	 */
	@Test
	public void groupsThatAreCutOffShareTheLimit() {
		List<EntryNews> entries = entries(9);
		double sum = 0;
		for (List<EntryNews> group : List.of(entries.subList(0, 3), entries.subList(3, 9))) {
			EntryNews own = group.get(0);
			sum += PermitCoordination.share(without(group, own), without(entries, own), RUNNING_MS, 9);
		}
		assertThat(sum).isLessThanOrEqualTo(1.000_001);
	}

	@Test
	public void entriesThatShutDownAreNotCounted() {
		List<EntryNews> live = List.of(entry(1, "west", true));
		assertThat(PermitCoordination.share(live, List.of(live.get(0), entry(2, "west", false)), RUNNING_MS, 9))
			.isEqualTo(1);
	}

	/** All entries start at once and have not heard of each other yet. */
	@Test
	public void entriesThatKnowNobodyAfterTheirStartAssumeOthers() {
		assertThat(PermitCoordination.share(List.of(), List.of(), 500, 9)).isEqualTo(1.0 / 9);
	}

}
