package org.wigeontally.claims;

import java.util.List;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import org.wigeontally.misc.ManualClock;
import org.wigeontally.schema.generated.Claim;
import org.wigeontally.schema.generated.ClaimInquiry;
import org.wigeontally.schema.generated.ClaimRecord;
import org.wigeontally.schema.generated.ClaimState;
import org.wigeontally.schema.generated.Release;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Single cases of claims: what each party is told when one thing goes wrong.
 */
public class ClaimTests {

	private ClaimWorld world;

	private ClaimWorld.Entry first;

	private ClaimWorld.Entry second;

	private ClaimWorld.Agent agent;

	@BeforeMethod
	public void start() {
		this.world = new ClaimWorld(1, ClaimWorld.Faults.none());
		this.first = this.world.startEntry();
		this.second = this.world.startEntry();
		this.agent = this.world.startAgent();
	}

	@Test
	public void resendAfterTheEntryDiedGetsTheAnswerOfTheFirstRun() {
		ClaimWorld.Sending sent = send(1, this.first, 0);
		runUntilItRan(sent);
		this.first.kill();
		ClaimWorld.Sending again = send(1, this.second, 0);
		this.world.run(3000);
		assertThat(again.answer()).isInstanceOf(ClaimDecision.AlreadyDone.class);
		assertThat(sent.runs() + again.runs()).isEqualTo(1);
	}

	@Test
	public void resendRunsIfTheEntryDiedBeforeDispatch() {
		ClaimWorld.Sending sent = send(1, this.first, 0);
		this.agent.pause(300);
		while (this.world.log().head(ClaimKey.stream(key(1).partition())) == 1) {
			this.world.run(5);
		}
		this.first.kill();
		ClaimWorld.Sending again = send(1, this.second, 0);
		this.world.run(3000);
		assertThat(again.answer()).isInstanceOf(ClaimDecision.AlreadyDone.class);
		assertThat(sent.runs()).isZero();
		assertThat(again.runs()).isEqualTo(1);
	}

	@Test
	public void outcomeIsUnknownIfEntryAndAgentAreReplaced() {
		ClaimWorld.Sending sent = send(1, this.first, 0);
		runUntilItRan(sent);
		this.first.kill();
		ClaimWorld.Agent fresh = this.agent.restart();
		ClaimWorld.Sending again = this.world.send(1, this.second, List.of(fresh), 0);
		this.world.run(5000);
		assertThat(again.answer()).isInstanceOf(ClaimDecision.OutcomeUnknown.class);
		assertThat(again.runs()).isZero();
	}

	@Test
	public void pausedHolderDoesNotDispatchAfterItWasFenced() {
		ClaimWorld.Sending sent = send(1, this.first, 0);
		while (this.world.log().head(ClaimKey.stream(key(1).partition())) == 1) {
			this.world.run(5);
		}
		this.first.pause(3000);
		ClaimWorld.Sending again = send(1, this.second, 0);
		this.world.run(8000);
		assertThat(again.runs()).isEqualTo(1);
		assertThat(sent.runs()).isZero();
		assertThat(sent.answer()).isNotInstanceOf(ClaimDecision.Granted.class);
	}

	@Test
	public void outageIsToldAsNotRunAndTheKeyCanBeSentAgain() {
		this.world.log().outage(true);
		ClaimWorld.Sending sent = send(1, this.first, 0);
		this.world.run(3000);
		assertThat(sent.answer()).isInstanceOf(ClaimDecision.NotRun.class);
		this.world.log().outage(false);
		this.world.run(1000);
		ClaimWorld.Sending again = send(1, this.second, 0);
		this.world.run(1000);
		assertThat(again.answer()).isInstanceOf(ClaimDecision.AlreadyDone.class);
		assertThat(sent.runs()).isZero();
	}

	@Test
	public void keyIsRefusedWhenItIsOlderThanKeysAreRemembered() {
		this.world.run(ClaimStateMachine.KEY_RETENTION_MS + 100);
		ClaimWorld.Sending late = send(1, this.first, 0);
		this.world.run(500);
		assertThat(late.answer()).isInstanceOf(ClaimDecision.KeyExpired.class);
	}

	@Test
	public void anotherBodyUnderTheSameKeyIsRefused() {
		send(1, this.first, 0);
		this.world.run(500);
		ClaimRequest other = new ClaimRequest(key(1), 99, ClaimWorld.KEY_TIME_MS, List.of(this.agent.name()),
				this.world.clock().monotonicMs() + 2000);
		var decision = this.second.claims().claim(other).toCompletableFuture();
		this.world.run(500);
		assertThat(decision.join()).isInstanceOf(ClaimDecision.KeyReused.class);
	}

	@Test
	public void entryThatCouldNotReadTheWindowRefusesOldKeys() {
		send(1, this.first, 0);
		this.world.run(500);
		this.world.log().retentionMs(60_000);
		this.world.run(120_000);
		ClaimWorld.Entry fresh = this.world.startEntry();
		ClaimWorld.Sending again = send(1, fresh, 0);
		this.world.run(1000);
		assertThat(again.answer()).isInstanceOf(ClaimDecision.NotRun.class);
		assertThat(again.runs()).isZero();
	}

	@Test
	public void logThatCameBackShorterDoesNotMakeAKeyRunAgain() {
		send(1, this.first, 0);
		send(2, this.second, 0);
		this.world.run(2000);
		String stream = ClaimKey.stream(key(1).partition());
		this.world.log().shorten(stream, (int) this.world.log().head(stream));
		this.world.run(2000);
		ClaimWorld.Sending again = send(1, this.second, 0);
		this.world.run(3000);
		assertThat(again.answer()).isInstanceOf(ClaimDecision.NotRun.class);
		assertThat(again.runs()).isZero();
	}

	@Test
	public void claimThatComesAfterItsReleaseNeverHolds() {
		Claim claim = Claim.newBuilder().setId("x").setKeyTimeMs(1000).build();
		ClaimRecord.Builder record = ClaimRecord.newBuilder().setKey(key(1).bytes());
		ClaimStateMachine fold = ClaimStateMachine.fromBeginning();
		fold.apply(1000, record.setRelease(Release.newBuilder().setClaim("x")).build());
		fold.apply(1001, record.setClaim(claim).build());
		assertThat(fold.decide(key(1), claim)).isInstanceOf(ClaimDecision.NotRun.class);
		fold.apply(1002, record.setClaim(claim.toBuilder().setId("y")).build());
		assertThat(fold.decide(key(1), claim)).isInstanceOf(ClaimDecision.HeldByOther.class);
	}

	@Test
	public void gateRefusesWhatIsForAnotherProcessOrTooOld() {
		ManualClock clock = ManualClock.startingAt(1000);
		DispatchDeduplicator gate = DispatchDeduplicator.create("p2", clock, 10);
		assertThat(gate.tryStart(new ClaimTicket("c", "p1", 1000))).isFalse();
		ClaimInquiry old = ClaimInquiry.newBuilder().setClaim("c").setProcess("p1").setTimeMs(1000).build();
		assertThat(gate.fence(old).getState()).isEqualTo(ClaimState.CLAIM_NOT_KNOWN);
		clock.advance(DispatchDeduplicator.MAX_DISPATCH_AGE_MS + 1);
		assertThat(gate.tryStart(new ClaimTicket("c", "p2", 1000))).isFalse();
		clock.advance(DispatchDeduplicator.MAX_INQUIRY_AGE_MS);
		assertThat(gate.fence(old.toBuilder().setProcess("p2").build()).getState())
			.isEqualTo(ClaimState.CLAIM_NOT_KNOWN);
	}

	@Test
	public void ownerChangesOnlyForPartitionsOfTheEntryThatLeft() {
		List<String> all = List.of("e1", "e2", "e3", "e4");
		for (int partition = 0; partition < ClaimKey.PARTITIONS; partition++) {
			String owner = PartitionOwner.of(partition, all).orElseThrow();
			String left = owner.equals("e1") ? "e2" : "e1";
			List<String> rest = all.stream().filter((host) -> !host.equals(left)).toList();
			assertThat(PartitionOwner.of(partition, rest)).contains(owner);
		}
	}

	private static ClaimKey key(int number) {
		return ClaimKey.of("koro", "order-desk", "key-" + number);
	}

	private ClaimWorld.Sending send(int key, ClaimWorld.Entry entry, long inMs) {
		return this.world.send(key, entry, List.of(this.agent), inMs);
	}

	private void runUntilItRan(ClaimWorld.Sending sending) {
		for (int i = 0; i < 1000 && sending.runs() == 0; i++) {
			this.world.run(5);
		}
		assertThat(sending.runs()).isEqualTo(1);
	}

}
