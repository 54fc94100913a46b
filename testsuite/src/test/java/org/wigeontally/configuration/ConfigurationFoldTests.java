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
 * Seen red with: no check of builds_on (race), no check of known ids (repeated append),
 * no comparison of the digest, verdicts taken as never forgotten, a second change of the
 * confirming hosts let through, a checkpoint that replaces what was folded, operators of
 * the bundle in force left out of account.
 */
public class ConfigurationFoldTests {

	private final Operators operators = Operators.create();

	private final ConfigurationFold fold = ConfigurationFold.create(this.operators.keys());

	private Configuration held;

	@BeforeMethod
	public void start() {
		this.held = Configuration.empty();
	}

	@Test
	public void acceptsTheFirstOfTwoOperatorsWhoRace() {
		assertThat(apply(1, this.operators.zone("ann", "c1", 0, "z", true)).getAccepted()).isTrue();
		assertThat(numbers(apply(2, this.operators.zone("ben", "c2", 0, "z", false))))
			.containsExactly(ErrorType.STALE_REVISION.number());
		assertThat(this.held.zoneOut("z")).isTrue();
		assertThat(this.held.revision()).isEqualTo(1);
		assertThat(apply(3, this.operators.zone("ben", "c3", 1, "z", false)).getAccepted()).isTrue();
		assertThat(this.held.zoneOut("z")).isFalse();
	}

	@Test
	public void countsAnIdOnce() {
		Change refusedFirst = this.operators.roll("ann", "c1", 0, "b");
		apply(1, refusedFirst);
		apply(2, this.operators.zone("ann", "c2", 0, "z", true));
		Configuration before = this.held;
		assertThat(fold(3, LogRecord.newBuilder().setChange(refusedFirst))).isNull();
		assertThat(fold(4, LogRecord.newBuilder().setChange(this.operators.zone("ann", "c2", 0, "z", true)))).isNull();
		assertThat(this.held.snapshot().toBuilder().clearApplied().build())
			.isEqualTo(before.snapshot().toBuilder().clearApplied().build());
		assertThat(this.held.applied()).isEqualTo(4);
	}

	@Test
	public void readersWithOtherSettingsReachTheSameVerdictsOnceABundleNamesOperators() {
		Operators later = Operators.create();
		Bundle first = this.operators.bundle("b1", "", List.of("e1"))
			.toBuilder()
			.addAllOperators(later.operatorKeys())
			.clearOrganisations()
			.build();
		apply(1, this.operators.propose("ann", "c1", first));
		apply(2, this.operators.signOff("ben", "c2", 1, first));
		assertThat(apply(3, this.operators.roll("ann", "c3", 2, "b1")).getAccepted()).isTrue();
		ConfigurationFold other = ConfigurationFold.create(Operators.create().keys());
		for (Operators signers : List.of(this.operators, later)) {
			Change change = signers.zone("ann", "c4", 0, "z", true);
			OffsetRecord record = OffsetRecord.newBuilder()
				.setOffset(4)
				.setRecord(LogRecord.newBuilder().setChange(change))
				.build();
			boolean accepted = this.fold.apply(this.held, record).verdict().orElseThrow().getAccepted();
			assertThat(accepted).isEqualTo(signers == later);
			assertThat(other.apply(this.held, record).verdict().orElseThrow().getAccepted()).isEqualTo(accepted);
		}
	}

	@Test
	public void reportsAllFaultsOfABundleTogether() {
		Bundle good = this.operators.bundle("b", "", List.of("e1"));
		Organisation stranger = Organisation.newBuilder()
			.setName("koro")
			.setCredential("c1")
			.addApprovals(good.getOrganisations(0).getApprovals(0).toBuilder().setSignature("00"))
			.build();
		Bundle bad = good.toBuilder()
			.setBuildsOn("other")
			.addConfirmingHosts("e1")
			.addServices(good.getServices(0).toBuilder().setOwner("nobody"))
			.addOrganisations(stranger)
			.build();
		assertThat(numbers(apply(1, this.operators.propose("ann", "c1", bad)))).containsExactlyInAnyOrder(
				ErrorType.STALE_BUNDLE.number(), ErrorType.DUPLICATE_NAME.number(), ErrorType.DUPLICATE_NAME.number(),
				ErrorType.UNKNOWN_OPERATOR.number(), ErrorType.DUPLICATE_NAME.number(),
				ErrorType.MISSING_APPROVAL.number(), ErrorType.MISSING_APPROVAL.number());
	}

	@Test
	public void rollsOnlyWhatAnotherOperatorSignedOff() {
		Bundle bundle = this.operators.bundle("b", "", List.of("e1"));
		apply(1, this.operators.propose("ann", "c1", bundle));
		assertThat(numbers(apply(2, this.operators.roll("ann", "c2", 1, "b"))))
			.containsExactly(ErrorType.NOT_SIGNED_OFF.number());
		assertThat(numbers(apply(3, this.operators.signOff("ann", "c3", 1, bundle))))
			.containsExactly(ErrorType.OWN_SIGN_OFF.number());
		Bundle other = bundle.toBuilder().addConfirmingHosts("e2").build();
		assertThat(numbers(apply(4, this.operators.signOff("ben", "c4", 1, other))))
			.containsExactly(ErrorType.DIGEST_MISMATCH.number());
		Change forged = this.operators.signOff("ben", "c5", 1, bundle).toBuilder().setAuthor("olga").build();
		assertThat(numbers(apply(5, forged))).containsExactly(ErrorType.BAD_SIGNATURE.number());
		assertThat(apply(6, this.operators.signOff("ben", "c6", 1, bundle)).getAccepted()).isTrue();
		assertThat(apply(7, this.operators.roll("ann", "c7", 6, "b")).getAccepted()).isTrue();
		assertThat(this.held.approved("koro", "yard-ops")).isTrue();
	}

	@Test
	public void changesTheConfirmingHostsOneStepAtATime() {
		roll(1, this.operators.bundle("b1", "", List.of("e1", "e2", "e3")));
		assertThat(roll(4, this.operators.bundle("b2", "b1", List.of("e3", "e4", "e5"))).getAccepted()).isTrue();
		assertThat(this.held.previousConfirmingHosts()).containsExactly("e1", "e2", "e3");
		assertThat(roll(7, this.operators.bundle("b3", "b2", List.of("e3", "e4", "e5"))).getAccepted()).isTrue();
		assertThat(this.held.previousConfirmingHosts()).containsExactly("e1", "e2", "e3");
		Bundle next = this.operators.bundle("b4", "b3", List.of("e6", "e7", "e8"));
		assertThat(numbers(roll(10, next))).containsExactly(ErrorType.LIST_UNSETTLED.number());
		fold(13, LogRecord.newBuilder().setSettledList(6));
		assertThat(this.held.previousConfirmingHosts()).isEmpty();
		assertThat(apply(14, this.operators.roll("ann", "again", 11, "b4")).getAccepted()).isTrue();
	}

	@Test
	public void ignoresCheckpointsThatAreReadTwice() {
		apply(1, this.operators.zone("ann", "c1", 0, "z", true));
		LogRecord.Builder checkpoint = LogRecord.newBuilder().setCheckpoint(this.held.snapshot());
		apply(2, this.operators.zone("ann", "c2", 1, "z", false));
		fold(3, checkpoint);
		fold(4, checkpoint);
		assertThat(this.held.zoneOut("z")).isFalse();
		assertThat(this.held.revision()).isEqualTo(2);
	}

	@Test
	public void knowsWhichVerdictsMayBeForgotten() {
		Change first = this.operators.zone("ann", "c1", 0, "z", true);
		apply(1, first);
		for (int offset = 2; offset < 200; offset++) {
			apply(offset, this.operators.zone("ann", "c" + offset, offset - 1, "z", offset % 2 == 0));
		}
		assertThat(this.held.verdict("c1")).isEmpty();
		assertThat(this.fold.judge(this.held, first).isEmpty()).isFalse();
		assertThat(ConfigurationFold.mayBeForgotten(this.held, first)).isTrue();
		Change stale = this.operators.zone("ben", "new", 198, "z", true);
		assertThat(ConfigurationFold.mayBeForgotten(this.held, stale)).isFalse();
	}

	private Verdict roll(long offset, Bundle bundle) {
		String name = bundle.getName();
		apply(offset, this.operators.propose("ann", name + "-propose", bundle));
		apply(offset + 1, this.operators.signOff("ben", name + "-sign", offset, bundle));
		return apply(offset + 2, this.operators.roll("ann", name + "-roll", offset + 1, name));
	}

	private Verdict apply(long offset, Change change) {
		return fold(offset, LogRecord.newBuilder().setId(change.getId()).setChange(change));
	}

	private Verdict fold(long offset, LogRecord.Builder record) {
		ConfigurationFold.Folded folded = this.fold.apply(this.held,
				OffsetRecord.newBuilder().setOffset(offset).setRecord(record).build());
		this.held = folded.configuration();
		return folded.verdict().orElse(null);
	}

	private static List<Integer> numbers(Verdict verdict) {
		return verdict.getFindingsList().stream().map(Finding::getNumber).toList();
	}

}
