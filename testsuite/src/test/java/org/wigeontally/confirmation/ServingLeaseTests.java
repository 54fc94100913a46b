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
 * Tests the serving lease. Each of these faults, when introduced into the code, made a
 * test fail: replies of hosts that have not read their own join record are counted for
 * the majority; a confirmation is dated by the receipt of the reply instead of the
 * sending of the request; a log head below the offset that peers have applied is
 * accepted; only the new confirming hosts are asked while a rollout that changes them is
 * not settled.
 */
public class ServingLeaseTests {

	private static final List<String> HOSTS = List.of("a", "b", "c", "d", "x");

	private ManualClock clock;

	private ServingLease lease;

	@BeforeMethod
	public void start() {
		this.clock = ManualClock.startingAt(1_000_000);
		this.lease = ServingLease.create(this.clock, "d", HOSTS);
	}

	@Test
	public void excludesAHostThatRestartedWithoutState() {
		// a, b and x held change 7. x restarted without state and was updated by c and
		// d, which miss the change.
		this.lease.setConfiguration(configurationAt(6, HOSTS), true);
		recordReply("c", 6, true);
		recordReply("x", 6, false);
		assertThat(this.lease.isValid()).isFalse();
		recordReply("a", 7, true);
		recordReply("b", 7, true);
		assertThat(this.lease.isValid()).isFalse();
		this.lease.setConfiguration(configurationAt(7, HOSTS), true);
		assertThat(this.lease.isValid()).isTrue();
	}

	@Test
	public void excludesItselfBeforeReadingItsOwnJoin() {
		this.lease.setConfiguration(configurationAt(6, HOSTS), false);
		recordReply("a", 6, true);
		recordReply("b", 6, true);
		assertThat(this.lease.isValid()).isFalse();
		assertThat(this.lease.recordLogRead(this.clock.monotonicMs(), 7)).isFalse();
		this.lease.setConfiguration(configurationAt(6, HOSTS), true);
		assertThat(this.lease.isValid()).isTrue();
	}

	@Test
	public void datesRenewalsByTheSendTimeOfTheRequest() {
		this.lease.setConfiguration(configurationAt(6, HOSTS), true);
		long sentAtMs = this.clock.monotonicMs();
		this.clock.advance(ServingLease.MAX_AGE_MS + 1);
		this.lease.recordReply("a", sentAtMs, standing(6, true, -1));
		this.lease.recordReply("b", sentAtMs, standing(6, true, 0));
		this.lease.recordLogRead(sentAtMs, 7);
		assertThat(this.lease.isValid()).isFalse();
		assertThat(this.lease.ageMs()).isEqualTo(ServingLease.MAX_AGE_MS + 1);
	}

	@Test
	public void addsTheAgeOfAPeersConfirmation() {
		this.lease.setConfiguration(configurationAt(6, HOSTS), false);
		this.lease.recordReply("a", this.clock.monotonicMs(), standing(6, true, 1500));
		this.clock.advance(500);
		assertThat(this.lease.isValid()).isTrue();
		this.clock.advance(1);
		assertThat(this.lease.isValid()).isFalse();
		this.lease.recordReply("a", this.clock.monotonicMs(), standing(7, true, 0));
		assertThat(this.lease.isValid()).as("the peer holds more").isFalse();
	}

	@Test
	public void rejectsALogHeadBelowThePeersAppliedOffset() {
		this.lease.setConfiguration(configurationAt(6, HOSTS), true);
		recordReply("a", 8, true);
		assertThat(this.lease.recordLogRead(this.clock.monotonicMs(), 7)).isFalse();
		assertThat(this.lease.isValid()).isFalse();
		this.lease.setConfiguration(configurationAt(8, HOSTS), true);
		assertThat(this.lease.recordLogRead(this.clock.monotonicMs(), 9)).isTrue();
	}

	@Test
	public void needsMajoritiesOfBothHostListsUntilTheRollIsSettled() {
		Configuration rolled = configurationAfterRoll(9, List.of("d", "e", "f"), HOSTS);
		this.lease.setConfiguration(rolled, true);
		recordReply("e", 9, true);
		assertThat(this.lease.isValid()).isFalse();
		assertThat(this.lease.isHeldByMajority(9)).isFalse();
		recordReply("a", 6, true);
		recordReply("b", 6, true);
		assertThat(this.lease.isValid()).as("three of five hold no more").isTrue();
		assertThat(this.lease.isHeldByMajority(9)).isFalse();
		recordReply("a", 9, true);
		recordReply("b", 9, true);
		assertThat(this.lease.isHeldByMajority(9)).isTrue();
		assertThat(this.lease.isHostListSettled()).isTrue();
	}

	private void recordReply(String host, long revision, boolean counts) {
		this.lease.recordReply(host, this.clock.monotonicMs(), standing(revision, counts, -1));
	}

	private static Standing standing(long revision, boolean readOwnJoin, long ageMs) {
		return Standing.newBuilder()
			.setApplied(revision)
			.setRevision(revision)
			.setCounts(readOwnJoin)
			.setConfirmedAgeMs(ageMs)
			.build();
	}

	private static Configuration configurationAt(long revision, List<String> hosts) {
		return Configuration.of(ConfigurationSnapshot.newBuilder()
			.setApplied(revision)
			.setRevision(revision)
			.setInForce(Bundle.newBuilder().setName("b").addAllConfirmingHosts(hosts))
			.build());
	}

	private static Configuration configurationAfterRoll(long revision, List<String> hosts, List<String> previous) {
		return Configuration.of(configurationAt(revision, hosts).snapshot()
			.toBuilder()
			.addAllPreviousConfirmingHosts(previous)
			.setListRolledAt(revision)
			.build());
	}

}
