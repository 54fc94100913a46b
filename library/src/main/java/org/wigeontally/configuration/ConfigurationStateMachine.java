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
 * Folds the records of the configuration stream, one after the other, into the
 * configuration in force.
 *
 * <p>
 * The log orders records and decides nothing. Every reader folds the same records in the
 * same order, so every reader reaches the same verdict on every change. A change names
 * the revision of its subject (a bundle, an availability zone, a host) that it builds on.
 * Of two changes that operators race with, the one with the lower offset is accepted and
 * the other is stale. A change counts once by its id, so an append that was read twice
 * does no harm. Joins, checkpoints and records of other kinds move the applied offset
 * only; a checkpoint says nothing to a reader that has folded that far.
 *
 * <p>
 * Invariants: the applied offset and the revision never fall; the outcome depends only on
 * the configuration before, the record and the key ring. Without state of its own and
 * safe for use by several threads.
 */
public final class ConfigurationStateMachine {

	private static final int MAX_VERDICTS = 128;

	private static final int MAX_PROPOSALS = 16;

	private final KeyRing settingsKeys;

	private ConfigurationStateMachine(KeyRing keys) {
		this.settingsKeys = keys;
	}

	/**
	 * Creates a fold.
	 * @param keys keys of operators and owners
	 * @return the fold
	 */
	public static ConfigurationStateMachine create(KeyRing keys) {
		return new ConfigurationStateMachine(keys);
	}

	/**
	 * Folds one record.
	 * @param before the configuration before the record
	 * @param record the record; one that was folded already changes nothing
	 * @return the configuration after it and the verdict, if the record is a new change
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
	 * Judges a change against a configuration without folding it.
	 * @param before the configuration
	 * @param change the change
	 * @return all that speaks against it; empty if it would be accepted
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
	 * Tells whether a change without a verdict may have been decided so long ago that its
	 * verdict is no longer kept. Such a change must not be refused as unknown to the log.
	 * @param held the configuration, read up to the log's head
	 * @param change the change
	 * @return true if it may have been decided
	 */
	public static boolean mayHaveDiscardedVerdict(Configuration configuration, Change change) {
		int verdictCount = configuration.snapshot().getVerdictsCount();
		return verdictCount >= MAX_VERDICTS && configuration.verdict(change.getId()).isEmpty()
				&& change.getBuildsOn() < configuration.snapshot().getVerdicts(0).getOffset();
	}

	/**
	 * Returns the keys that judge the next change. Once a bundle is in force its
	 * operators count and no process's settings, so that readers with other settings
	 * reach the same verdicts.
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
	 * Outcome of folding a record.
	 *
	 * @param configuration the configuration after the record
	 * @param verdict the verdict, if the record was a change with a new id
	 */
	public record Transition(Configuration configuration, Optional<Verdict> verdict) {

	}

}
