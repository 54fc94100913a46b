package org.wigeontally.confirmation;

import java.util.List;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import org.wigeontally.configuration.Configuration;
import org.wigeontally.misc.ManualClock;
import org.wigeontally.schema.generated.Bundle;
import org.wigeontally.schema.generated.ConfigurationSnapshot;
import org.wigeontally.schema.generated.Standing;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Seen red with: answers of hosts that do not count taken into the majority, the instant
 * of the reply in place of that of the question, a head taken that is below what peers
 * hold, only the new list asked during a roll of it.
 */
public class ConfirmationTests {

	private static final List<String> HOSTS = List.of("a", "b", "c", "d", "x");

	private ManualClock clock;

	private Confirmation confirmation;

	@BeforeMethod
	public void start() {
		this.clock = ManualClock.startingAt(1_000_000);
		this.confirmation = Confirmation.create(this.clock, "d", HOSTS);
	}

	@Test
	public void doesNotCountAHostThatRestartedEmpty() {
		// a, b and x held change 7; x restarted and was caught up by c and d, which miss
		// it.
		this.confirmation.holds(holding(6, HOSTS), true);
		answer("c", 6, true);
		answer("x", 6, false);
		assertThat(this.confirmation.valid()).isFalse();
		answer("a", 7, true);
		answer("b", 7, true);
		assertThat(this.confirmation.valid()).isFalse();
		this.confirmation.holds(holding(7, HOSTS), true);
		assertThat(this.confirmation.valid()).isTrue();
	}

	@Test
	public void doesNotCountItselfBeforeItReadItsJoin() {
		this.confirmation.holds(holding(6, HOSTS), false);
		answer("a", 6, true);
		answer("b", 6, true);
		assertThat(this.confirmation.valid()).isFalse();
		assertThat(this.confirmation.logRead(this.clock.monotonicMs(), 7)).isFalse();
		this.confirmation.holds(holding(6, HOSTS), true);
		assertThat(this.confirmation.valid()).isTrue();
	}

	@Test
	public void renewsOnlyUpToTheInstantOfTheQuestion() {
		this.confirmation.holds(holding(6, HOSTS), true);
		long asked = this.clock.monotonicMs();
		this.clock.advance(Confirmation.MAX_AGE_MS + 1);
		this.confirmation.answered("a", asked, standing(6, true, -1));
		this.confirmation.answered("b", asked, standing(6, true, 0));
		this.confirmation.logRead(asked, 7);
		assertThat(this.confirmation.valid()).isFalse();
		assertThat(this.confirmation.ageMs()).isEqualTo(Confirmation.MAX_AGE_MS + 1);
	}

	@Test
	public void takesAPeersWordWithItsAge() {
		this.confirmation.holds(holding(6, HOSTS), false);
		this.confirmation.answered("a", this.clock.monotonicMs(), standing(6, true, 1500));
		this.clock.advance(500);
		assertThat(this.confirmation.valid()).isTrue();
		this.clock.advance(1);
		assertThat(this.confirmation.valid()).isFalse();
		this.confirmation.answered("a", this.clock.monotonicMs(), standing(7, true, 0));
		assertThat(this.confirmation.valid()).as("the peer holds more").isFalse();
	}

	@Test
	public void believesNoHeadBelowWhatPeersHold() {
		this.confirmation.holds(holding(6, HOSTS), true);
		answer("a", 8, true);
		assertThat(this.confirmation.logRead(this.clock.monotonicMs(), 7)).isFalse();
		assertThat(this.confirmation.valid()).isFalse();
		this.confirmation.holds(holding(8, HOSTS), true);
		assertThat(this.confirmation.logRead(this.clock.monotonicMs(), 9)).isTrue();
	}

	@Test
	public void needsBothListsUntilARollOfThemIsSettled() {
		Configuration rolled = rolling(9, List.of("d", "e", "f"), HOSTS);
		this.confirmation.holds(rolled, true);
		answer("e", 9, true);
		assertThat(this.confirmation.valid()).isFalse();
		assertThat(this.confirmation.majorityHolds(9)).isFalse();
		answer("a", 6, true);
		answer("b", 6, true);
		assertThat(this.confirmation.valid()).as("three of five hold no more").isTrue();
		assertThat(this.confirmation.majorityHolds(9)).isFalse();
		answer("a", 9, true);
		answer("b", 9, true);
		assertThat(this.confirmation.majorityHolds(9)).isTrue();
		assertThat(this.confirmation.listSettled()).isTrue();
	}

	private void answer(String host, long revision, boolean counts) {
		this.confirmation.answered(host, this.clock.monotonicMs(), standing(revision, counts, -1));
	}

	private static Standing standing(long revision, boolean counts, long ageMs) {
		return Standing.newBuilder()
			.setApplied(revision)
			.setRevision(revision)
			.setCounts(counts)
			.setConfirmedAgeMs(ageMs)
			.build();
	}

	private static Configuration holding(long revision, List<String> hosts) {
		return Configuration.of(ConfigurationSnapshot.newBuilder()
			.setApplied(revision)
			.setRevision(revision)
			.setInForce(Bundle.newBuilder().setName("b").addAllConfirmingHosts(hosts))
			.build());
	}

	private static Configuration rolling(long revision, List<String> hosts, List<String> previous) {
		return Configuration.of(holding(revision, hosts).snapshot()
			.toBuilder()
			.addAllPreviousConfirmingHosts(previous)
			.setListRolledAt(revision)
			.build());
	}

}
