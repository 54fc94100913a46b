package org.wigeontally.addresses;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import org.testng.annotations.Test;

import org.wigeontally.schema.generated.Address;

import static org.assertj.core.api.Assertions.assertThat;

public class AddressAnswerTests {

	private final Random random = new Random(2);

	/** Fails if entries in disabled availability zones are not left out. */
	@Test
	public void excludesEntriesThatDoNotServe() {
		List<EntryCandidate> entries = List.of(entry(1, "z1", true, 0), entry(2, "z1", false, 0),
				entry(3, "z2", true, 0));
		AddressAnswer answer = AddressAnswer.of(entries, Set.of("z2"), "r-z1", "z1", this.random);
		assertThat(answer.entries()).extracting((entry) -> entry.address().getPort()).containsExactly(1);
	}

	@Test
	public void nearEntriesComeFirstUnlessOverloaded() {
		List<EntryCandidate> entries = List.of(entry(1, "z2", true, 0), entry(2, "z1", true, 0.5));
		assertThat(AddressAnswer.of(entries, Set.of(), "r-z1", "z1", this.random).entries().get(0).address().getPort())
			.isEqualTo(2);
		List<EntryCandidate> busy = List.of(entry(1, "z1", true, 0), entry(2, "z1", true, 0.95));
		assertThat(AddressAnswer.of(busy, Set.of(), "r-z1", "z1", this.random).entries().get(0).address().getPort())
			.isEqualTo(1);
	}

	@Test
	public void callersAreSpreadBySpareCapacityAndTime() {
		List<EntryCandidate> entries = new ArrayList<>();
		entries.add(entry(1, "z1", true, 0.2));
		entries.add(entry(2, "z1", true, 0.2));
		entries.add(entry(3, "z1", true, 0.7));
		Map<Integer, Integer> first = new HashMap<>();
		Map<Long, Integer> ttls = new HashMap<>();
		for (int i = 0; i < 3_000; i++) {
			AddressAnswer answer = AddressAnswer.of(entries, Set.of(), "r-z1", "z1", this.random);
			first.merge(answer.entries().get(0).address().getPort(), 1, Integer::sum);
			ttls.merge(answer.ttlMs() / 500, 1, Integer::sum);
			assertThat(answer.ttlMs()).isBetween(1L, AddressAnswer.MAX_TTL_MS);
		}
		assertThat(first.get(1)).isBetween(1_000, 1_500);
		assertThat(first.get(3)).isBetween(300, 800);
		assertThat(ttls).hasSizeGreaterThanOrEqualTo(4);
	}

	private static EntryCandidate entry(int port, String zone, boolean serving, double load) {
		Address address = Address.newBuilder().setIp("127.0.0.1").setPort(port).build();
		return new EntryCandidate("e" + port, "r-" + zone, zone, address, serving, load);
	}

}
