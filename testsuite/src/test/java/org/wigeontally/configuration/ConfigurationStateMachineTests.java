package org.wigeontally.configuration;

import java.util.List;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import org.wigeontally.errors.ErrorType;
import org.wigeontally.schema.generated.Bundle;
import org.wigeontally.schema.generated.Change;
import org.wigeontally.schema.generated.Finding;
import org.wigeontally.schema.generated.LogRecord;
import org.wigeontally.schema.generated.OffsetRecord;
import org.wigeontally.schema.generated.Organisation;
import org.wigeontally.schema.generated.Verdict;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests the state machine of the configuration. Each of these faults, when introduced
 * into the code, made a test fail: builds_on is not checked (concurrent changes); ids
 * that already have a verdict are not skipped (repeated appends); the digest of a sign-
 * off is not compared; discarded verdicts are not taken into account; a second change of
 * the confirming hosts is accepted before the first is settled; a checkpoint replaces the
 * state of a reader that is further ahead; the operators of the bundle in force are
 * ignored.
 */
public class ConfigurationStateMachineTests {

	private final TestOperators operators = TestOperators.create();

	private final ConfigurationStateMachine stateMachine = ConfigurationStateMachine.create(this.operators.keyRing());

	private Configuration configuration;

	@BeforeMethod
	public void start() {
		this.configuration = Configuration.empty();
	}

	@Test
	public void acceptsOnlyTheFirstOfTwoConcurrentChanges() {
		assertThat(apply(1, this.operators.setZone("ann", "c1", 0, "z", true)).getAccepted()).isTrue();
		assertThat(errorNumbers(apply(2, this.operators.setZone("ben", "c2", 0, "z", false))))
			.containsExactly(ErrorType.STALE_REVISION.number());
		assertThat(this.configuration.isZoneOut("z")).isTrue();
		assertThat(this.configuration.revision()).isEqualTo(1);
		assertThat(apply(3, this.operators.setZone("ben", "c3", 1, "z", false)).getAccepted()).isTrue();
		assertThat(this.configuration.isZoneOut("z")).isFalse();
	}

	@Test
	public void ignoresARepeatedChangeId() {
		Change refusedFirst = this.operators.roll("ann", "c1", 0, "b");
		apply(1, refusedFirst);
		apply(2, this.operators.setZone("ann", "c2", 0, "z", true));
		Configuration before = this.configuration;
		assertThat(stateMachine(3, LogRecord.newBuilder().setChange(refusedFirst))).isNull();
		assertThat(stateMachine(4, LogRecord.newBuilder().setChange(this.operators.setZone("ann", "c2", 0, "z", true))))
			.isNull();
		assertThat(this.configuration.snapshot().toBuilder().clearApplied().build())
			.isEqualTo(before.snapshot().toBuilder().clearApplied().build());
		assertThat(this.configuration.appliedOffset()).isEqualTo(4);
	}

	@Test
	public void usesTheKeysOfTheBundleInForceInsteadOfSettings() {
		TestOperators later = TestOperators.create();
		Bundle first = this.operators.bundle("b1", "", List.of("e1"))
			.toBuilder()
			.addAllOperators(later.operatorKeys())
			.clearOrganisations()
			.build();
		apply(1, this.operators.propose("ann", "c1", first));
		apply(2, this.operators.signOff("ben", "c2", 1, first));
		assertThat(apply(3, this.operators.roll("ann", "c3", 2, "b1")).getAccepted()).isTrue();
		ConfigurationStateMachine other = ConfigurationStateMachine.create(TestOperators.create().keyRing());
		for (TestOperators signers : List.of(this.operators, later)) {
			Change change = signers.setZone("ann", "c4", 0, "z", true);
			OffsetRecord record = OffsetRecord.newBuilder()
				.setOffset(4)
				.setRecord(LogRecord.newBuilder().setChange(change))
				.build();
			boolean accepted = this.stateMachine.apply(this.configuration, record)
				.verdict()
				.orElseThrow()
				.getAccepted();
			assertThat(accepted).isEqualTo(signers == later);
			assertThat(other.apply(this.configuration, record).verdict().orElseThrow().getAccepted())
				.isEqualTo(accepted);
		}
	}

	@Test
	public void reportsAllErrorsOfABundleTogether() {
		Bundle valid = this.operators.bundle("b", "", List.of("e1"));
		Organisation unapproved = Organisation.newBuilder()
			.setName("koro")
			.setCredential("c1")
			.addApprovals(valid.getOrganisations(0).getApprovals(0).toBuilder().setSignature("00"))
			.build();
		Bundle invalid = valid.toBuilder()
			.setBuildsOn("other")
			.addConfirmingHosts("e1")
			.addServices(valid.getServices(0).toBuilder().setOwner("nobody"))
			.addOrganisations(unapproved)
			.build();
		assertThat(errorNumbers(apply(1, this.operators.propose("ann", "c1", invalid)))).containsExactlyInAnyOrder(
				ErrorType.STALE_BUNDLE.number(), ErrorType.DUPLICATE_NAME.number(), ErrorType.DUPLICATE_NAME.number(),
				ErrorType.UNKNOWN_OPERATOR.number(), ErrorType.DUPLICATE_NAME.number(),
				ErrorType.MISSING_APPROVAL.number(), ErrorType.MISSING_APPROVAL.number());
	}

	@Test
	public void rollsOnlyABundleSignedOffByAnotherOperator() {
		Bundle bundle = this.operators.bundle("b", "", List.of("e1"));
		apply(1, this.operators.propose("ann", "c1", bundle));
		assertThat(errorNumbers(apply(2, this.operators.roll("ann", "c2", 1, "b"))))
			.containsExactly(ErrorType.NOT_SIGNED_OFF.number());
		assertThat(errorNumbers(apply(3, this.operators.signOff("ann", "c3", 1, bundle))))
			.containsExactly(ErrorType.OWN_SIGN_OFF.number());
		Bundle other = bundle.toBuilder().addConfirmingHosts("e2").build();
		assertThat(errorNumbers(apply(4, this.operators.signOff("ben", "c4", 1, other))))
			.containsExactly(ErrorType.DIGEST_MISMATCH.number());
		Change forged = this.operators.signOff("ben", "c5", 1, bundle).toBuilder().setAuthor("olga").build();
		assertThat(errorNumbers(apply(5, forged))).containsExactly(ErrorType.BAD_SIGNATURE.number());
		assertThat(apply(6, this.operators.signOff("ben", "c6", 1, bundle)).getAccepted()).isTrue();
		assertThat(apply(7, this.operators.roll("ann", "c7", 6, "b")).getAccepted()).isTrue();
		assertThat(this.configuration.isApproved("koro", "yard-ops")).isTrue();
	}

	@Test
	public void rejectsAChangeOfConfirmingHostsBeforeThePreviousOneIsSettled() {
		roll(1, this.operators.bundle("b1", "", List.of("e1", "e2", "e3")));
		assertThat(roll(4, this.operators.bundle("b2", "b1", List.of("e3", "e4", "e5"))).getAccepted()).isTrue();
		assertThat(this.configuration.previousConfirmingHosts()).containsExactly("e1", "e2", "e3");
		assertThat(roll(7, this.operators.bundle("b3", "b2", List.of("e3", "e4", "e5"))).getAccepted()).isTrue();
		assertThat(this.configuration.previousConfirmingHosts()).containsExactly("e1", "e2", "e3");
		Bundle next = this.operators.bundle("b4", "b3", List.of("e6", "e7", "e8"));
		assertThat(errorNumbers(roll(10, next))).containsExactly(ErrorType.LIST_UNSETTLED.number());
		stateMachine(13, LogRecord.newBuilder().setSettledList(6));
		assertThat(this.configuration.previousConfirmingHosts()).isEmpty();
		assertThat(apply(14, this.operators.roll("ann", "again", 11, "b4")).getAccepted()).isTrue();
	}

	@Test
	public void ignoresCheckpointsOfAnOlderConfiguration() {
		apply(1, this.operators.setZone("ann", "c1", 0, "z", true));
		LogRecord.Builder checkpoint = LogRecord.newBuilder().setCheckpoint(this.configuration.snapshot());
		apply(2, this.operators.setZone("ann", "c2", 1, "z", false));
		stateMachine(3, checkpoint);
		stateMachine(4, checkpoint);
		assertThat(this.configuration.isZoneOut("z")).isFalse();
		assertThat(this.configuration.revision()).isEqualTo(2);
	}

	@Test
	public void detectsChangesWhoseVerdictMayHaveBeenDiscarded() {
		Change first = this.operators.setZone("ann", "c1", 0, "z", true);
		apply(1, first);
		for (int offset = 2; offset < 200; offset++) {
			apply(offset, this.operators.setZone("ann", "c" + offset, offset - 1, "z", offset % 2 == 0));
		}
		assertThat(this.configuration.verdict("c1")).isEmpty();
		assertThat(this.stateMachine.validate(this.configuration, first).isEmpty()).isFalse();
		assertThat(ConfigurationStateMachine.mayHaveDiscardedVerdict(this.configuration, first)).isTrue();
		Change stale = this.operators.setZone("ben", "new", 198, "z", true);
		assertThat(ConfigurationStateMachine.mayHaveDiscardedVerdict(this.configuration, stale)).isFalse();
	}

	private Verdict roll(long offset, Bundle bundle) {
		String name = bundle.getName();
		apply(offset, this.operators.propose("ann", name + "-propose", bundle));
		apply(offset + 1, this.operators.signOff("ben", name + "-sign", offset, bundle));
		return apply(offset + 2, this.operators.roll("ann", name + "-roll", offset + 1, name));
	}

	private Verdict apply(long offset, Change change) {
		return stateMachine(offset, LogRecord.newBuilder().setId(change.getId()).setChange(change));
	}

	private Verdict stateMachine(long offset, LogRecord.Builder record) {
		ConfigurationStateMachine.Transition transition = this.stateMachine.apply(this.configuration,
				OffsetRecord.newBuilder().setOffset(offset).setRecord(record).build());
		this.configuration = transition.configuration();
		return transition.verdict().orElse(null);
	}

	private static List<Integer> errorNumbers(Verdict verdict) {
		return verdict.getFindingsList().stream().map(Finding::getNumber).toList();
	}

}
