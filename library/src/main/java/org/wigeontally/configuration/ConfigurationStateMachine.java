package org.wigeontally.configuration;

import java.util.List;
import java.util.Optional;

import org.wigeontally.errors.ErrorType;
import org.wigeontally.errors.Findings;
import org.wigeontally.schema.generated.Bundle;
import org.wigeontally.schema.generated.Change;
import org.wigeontally.schema.generated.ConfigurationSnapshot;
import org.wigeontally.schema.generated.OffsetRecord;
import org.wigeontally.schema.generated.OperatorKey;
import org.wigeontally.schema.generated.ProposedBundle;
import org.wigeontally.schema.generated.RollBundle;
import org.wigeontally.schema.generated.SignOffBundle;
import org.wigeontally.schema.generated.Verdict;

/**
 * The replicated state machine of the configuration: applies the records of the
 * configuration stream in order and computes the configuration in force.
 *
 * <p>
 * The log only orders records; it does not accept or reject them. Every reader applies
 * the same records in the same order and therefore reaches the same verdict on every
 * change. A change names the revision of its subject (a bundle, an availability zone or a
 * host) that it builds on. Of two concurrent changes to one subject, the one with the
 * lower offset is accepted and the other is rejected as stale. A change is applied once
 * per id, so a record that was appended twice has no further effect. A record that
 * settles a change of the confirming hosts clears the previous hosts. All other records,
 * such as joins and checkpoints, only advance the applied offset: a reader that has
 * applied all records before a checkpoint already holds its content.
 *
 * <p>
 * Invariants: the applied offset and the revision never decrease; the result depends only
 * on the previous configuration, the record and the key ring. Instances hold no mutable
 * state and are thread-safe.
 */
public final class ConfigurationStateMachine {

	private static final int MAX_VERDICTS = 128;

	private static final int MAX_PROPOSALS = 16;

	private final KeyRing settingsKeys;

	private ConfigurationStateMachine(KeyRing keys) {
		this.settingsKeys = keys;
	}

	/**
	 * Creates a state machine.
	 * @param keys the keys of operators and owners, used until a bundle that lists
	 * operators is in force
	 * @return the state machine
	 */
	public static ConfigurationStateMachine create(KeyRing keys) {
		return new ConfigurationStateMachine(keys);
	}

	/**
	 * Applies one record. A record that was applied before has no effect.
	 * @param before the configuration before the record
	 * @param record the record
	 * @return the configuration after the record, and the verdict if the record is a
	 * change with a new id
	 */
	public Transition apply(Configuration before, OffsetRecord record) {
		if (record.getOffset() <= before.appliedOffset()) {
			return new Transition(before, Optional.empty());
		}
		ConfigurationSnapshot.Builder after = before.snapshot().toBuilder().setApplied(record.getOffset());
		if (record.getRecord().getSettledList() > 0) {
			SnapshotUpdater.settleConfirmingHosts(after, record.getRecord().getSettledList());
		}
		Change change = record.getRecord().getChange();
		if (!record.getRecord().hasChange() || before.verdict(change.getId()).isPresent()) {
			return new Transition(Configuration.of(after.build()), Optional.empty());
		}
		Findings findings = validate(before, change);
		if (findings.list().isEmpty()) {
			applyAccepted(before, after, change, record.getOffset());
		}
		Verdict verdict = Verdict.newBuilder()
			.setId(change.getId())
			.setOffset(record.getOffset())
			.setAccepted(findings.list().isEmpty())
			.addAllFindings(findings.list())
			.build();
		after.addVerdicts(verdict);
		if (after.getVerdictsCount() > MAX_VERDICTS) {
			after.removeVerdicts(0);
		}
		return new Transition(Configuration.of(after.build()), Optional.of(verdict));
	}

	/**
	 * Validates a change against a configuration without applying it.
	 * @param before the configuration
	 * @param change the change
	 * @return the reasons to reject the change; empty if it would be accepted
	 */
	public Findings validate(Configuration before, Change change) {
		Findings findings = Findings.create();
		KeyRing keyRing = keyRing(before);
		if (!keyRing.hasKey(change.getAuthor())) {
			findings.add("author", ErrorType.UNKNOWN_OPERATOR, change.getAuthor());
		}
		else if (!keyRing.verifies(change.getAuthor(), Signatures.signedContent(change), change.getSignature())) {
			findings.add("signature", ErrorType.BAD_SIGNATURE, change.getAuthor());
		}
		switch (change.getSubjectCase()) {
			case PROPOSE -> validateProposal(before, change, findings);
			case SIGN_OFF -> validateSignOff(before, change, findings);
			case ROLL -> validateRoll(before, change, findings);
			case ZONE -> validateRevision(change, "zone " + change.getZone().getZone(),
					before.zoneRevision(change.getZone().getZone()), findings);
			case HOST -> validateRevision(change, "host " + change.getHost().getHost(),
					before.hostRevision(change.getHost().getHost()), findings);
			default -> findings.add("subject", ErrorType.UNKNOWN_SUBJECT);
		}
		return findings;
	}

	/**
	 * Returns whether a change without a verdict may be older than the oldest verdict
	 * kept, so that its verdict may have been discarded. Such a change must not be
	 * refused as unknown to the log.
	 * @param configuration the configuration, up to date with the head of the log
	 * @param change the change
	 * @return true if the verdict may have been discarded
	 */
	public static boolean mayHaveDiscardedVerdict(Configuration configuration, Change change) {
		int verdictCount = configuration.snapshot().getVerdictsCount();
		return verdictCount >= MAX_VERDICTS && configuration.verdict(change.getId()).isEmpty()
				&& change.getBuildsOn() < configuration.snapshot().getVerdicts(0).getOffset();
	}

	/**
	 * Returns the keys that verify the next change. If the bundle in force lists
	 * operators, their keys replace those of the settings of this process, so that
	 * readers with different settings reach the same verdicts.
	 * @param before the configuration before the change
	 * @return the key ring
	 */
	private KeyRing keyRing(Configuration before) {
		List<OperatorKey> operators = before.bundle().map(Bundle::getOperatorsList).orElse(List.of());
		return operators.isEmpty() ? this.settingsKeys : KeyRing.of(operators, "operators", Findings.create());
	}

	private void validateProposal(Configuration before, Change change, Findings findings) {
		Bundle bundle = change.getPropose().getBundle();
		long currentRevision = before.proposal(bundle.getName()).map(ProposedBundle::getRevision).orElse(0L);
		validateRevision(change, "bundle " + bundle.getName(), currentRevision, findings);
		BundleValidator.validate(bundle, before.bundle(), keyRing(before), findings);
	}

	private static void validateSignOff(Configuration before, Change change, Findings findings) {
		SignOffBundle signOff = change.getSignOff();
		Optional<ProposedBundle> proposed = before.proposal(signOff.getBundle());
		if (proposed.isEmpty()) {
			findings.add("sign_off.bundle", ErrorType.UNKNOWN_BUNDLE, signOff.getBundle());
			return;
		}
		validateRevision(change, "bundle " + signOff.getBundle(), proposed.get().getRevision(), findings);
		if (proposed.get().getAuthor().equals(change.getAuthor())) {
			findings.add("author", ErrorType.OWN_SIGN_OFF, change.getAuthor());
		}
		if (!Signatures.digest(proposed.get().getBundle()).equals(signOff.getDigest())) {
			findings.add("sign_off.digest", ErrorType.DIGEST_MISMATCH, signOff.getBundle());
		}
	}

	private static void validateRoll(Configuration before, Change change, Findings findings) {
		RollBundle roll = change.getRoll();
		Optional<ProposedBundle> proposed = before.proposal(roll.getBundle());
		if (proposed.isEmpty()) {
			findings.add("roll.bundle", ErrorType.UNKNOWN_BUNDLE, roll.getBundle());
			return;
		}
		validateRevision(change, "bundle " + roll.getBundle(), proposed.get().getRevision(), findings);
		if (proposed.get().getSignedOffBy().isEmpty()) {
			findings.add("roll.bundle", ErrorType.NOT_SIGNED_OFF, roll.getBundle());
		}
		BundleValidator.validateBuildsOn(proposed.get().getBundle(), before.bundle(), findings);
		if (!before.previousConfirmingHosts().isEmpty()
				&& !before.confirmingHosts().equals(proposed.get().getBundle().getConfirmingHostsList())) {
			findings.add("confirming_hosts", ErrorType.LIST_UNSETTLED);
		}
	}

	private static void validateRevision(Change change, String subject, long currentRevision, Findings findings) {
		if (change.getBuildsOn() != currentRevision) {
			findings.add("builds_on", ErrorType.STALE_REVISION, change.getBuildsOn(), subject, currentRevision);
		}
	}

	private static void applyAccepted(Configuration before, ConfigurationSnapshot.Builder after, Change change,
			long offset) {
		after.setRevision(offset);
		switch (change.getSubjectCase()) {
			case PROPOSE -> SnapshotUpdater.addProposal(after, change, offset, MAX_PROPOSALS);
			case SIGN_OFF -> SnapshotUpdater.recordSignOff(after, change, offset);
			case ROLL ->
				SnapshotUpdater.putInForce(after, before.proposal(change.getRoll().getBundle()).orElseThrow(), offset);
			case ZONE -> SnapshotUpdater.setZone(after, change.getZone(), offset);
			default -> SnapshotUpdater.setHost(after, change.getHost(), offset);
		}
	}

	/**
	 * Result of applying a record.
	 *
	 * @param configuration the configuration after the record
	 * @param verdict the verdict, or empty if the record was not a change with a new id
	 */
	public record Transition(Configuration configuration, Optional<Verdict> verdict) {

	}

}
