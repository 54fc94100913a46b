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
public final class ConfigurationFold {

	private static final int VERDICTS_KEPT = 128;

	private static final int PROPOSALS_KEPT = 16;

	private final KeyRing keys;

	private ConfigurationFold(KeyRing keys) {
		this.keys = keys;
	}

	/**
	 * Creates a fold.
	 * @param keys keys of operators and owners
	 * @return the fold
	 */
	public static ConfigurationFold create(KeyRing keys) {
		return new ConfigurationFold(keys);
	}

	/**
	 * Folds one record.
	 * @param before the configuration before the record
	 * @param record the record; one that was folded already changes nothing
	 * @return the configuration after it and the verdict, if the record is a new change
	 */
	public Folded apply(Configuration before, OffsetRecord record) {
		if (record.getOffset() <= before.applied()) {
			return new Folded(before, Optional.empty());
		}
		ConfigurationSnapshot.Builder after = before.snapshot().toBuilder().setApplied(record.getOffset());
		if (record.getRecord().getSettledList() > 0) {
			SnapshotEdits.settle(after, record.getRecord().getSettledList());
		}
		Change change = record.getRecord().getChange();
		if (!record.getRecord().hasChange() || before.verdict(change.getId()).isPresent()) {
			return new Folded(Configuration.of(after.build()), Optional.empty());
		}
		Findings findings = judge(before, change);
		if (findings.list().isEmpty()) {
			accept(before, after, change, record.getOffset());
		}
		Verdict verdict = Verdict.newBuilder()
			.setId(change.getId())
			.setOffset(record.getOffset())
			.setAccepted(findings.list().isEmpty())
			.addAllFindings(findings.list())
			.build();
		after.addVerdicts(verdict);
		if (after.getVerdictsCount() > VERDICTS_KEPT) {
			after.removeVerdicts(0);
		}
		return new Folded(Configuration.of(after.build()), Optional.of(verdict));
	}

	/**
	 * Judges a change against a configuration without folding it.
	 * @param before the configuration
	 * @param change the change
	 * @return all that speaks against it; empty if it would be accepted
	 */
	public Findings judge(Configuration before, Change change) {
		Findings findings = Findings.create();
		KeyRing ring = ring(before);
		if (!ring.knows(change.getAuthor())) {
			findings.add("author", ErrorType.UNKNOWN_OPERATOR, change.getAuthor());
		}
		else if (!ring.verifies(change.getAuthor(), Signatures.content(change), change.getSignature())) {
			findings.add("signature", ErrorType.BAD_SIGNATURE, change.getAuthor());
		}
		switch (change.getSubjectCase()) {
			case PROPOSE -> judgeProposal(before, change, findings);
			case SIGN_OFF -> judgeSignOff(before, change, findings);
			case ROLL -> judgeRoll(before, change, findings);
			case ZONE -> judgeRevision(change, "zone " + change.getZone().getZone(),
					before.zoneRevision(change.getZone().getZone()), findings);
			case HOST -> judgeRevision(change, "host " + change.getHost().getHost(),
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
	public static boolean mayBeForgotten(Configuration held, Change change) {
		int kept = held.snapshot().getVerdictsCount();
		return kept >= VERDICTS_KEPT && held.verdict(change.getId()).isEmpty()
				&& change.getBuildsOn() < held.snapshot().getVerdicts(0).getOffset();
	}

	/**
	 * Returns the keys that judge the next change. Once a bundle is in force its
	 * operators count and no process's settings, so that readers with other settings
	 * reach the same verdicts.
	 * @param before the configuration before the change
	 * @return the key ring
	 */
	private KeyRing ring(Configuration before) {
		List<OperatorKey> operators = before.bundle().map(Bundle::getOperatorsList).orElse(List.of());
		return operators.isEmpty() ? this.keys : KeyRing.of(operators, "operators", Findings.create());
	}

	private void judgeProposal(Configuration before, Change change, Findings findings) {
		Bundle bundle = change.getPropose().getBundle();
		long newest = before.proposed(bundle.getName()).map(ProposedBundle::getRevision).orElse(0L);
		judgeRevision(change, "bundle " + bundle.getName(), newest, findings);
		BundleCheck.check(bundle, before.bundle(), ring(before), findings);
	}

	private static void judgeSignOff(Configuration before, Change change, Findings findings) {
		SignOffBundle signOff = change.getSignOff();
		Optional<ProposedBundle> proposed = before.proposed(signOff.getBundle());
		if (proposed.isEmpty()) {
			findings.add("sign_off.bundle", ErrorType.UNKNOWN_BUNDLE, signOff.getBundle());
			return;
		}
		judgeRevision(change, "bundle " + signOff.getBundle(), proposed.get().getRevision(), findings);
		if (proposed.get().getAuthor().equals(change.getAuthor())) {
			findings.add("author", ErrorType.OWN_SIGN_OFF, change.getAuthor());
		}
		if (!Signatures.digest(proposed.get().getBundle()).equals(signOff.getDigest())) {
			findings.add("sign_off.digest", ErrorType.DIGEST_MISMATCH, signOff.getBundle());
		}
	}

	private static void judgeRoll(Configuration before, Change change, Findings findings) {
		RollBundle roll = change.getRoll();
		Optional<ProposedBundle> proposed = before.proposed(roll.getBundle());
		if (proposed.isEmpty()) {
			findings.add("roll.bundle", ErrorType.UNKNOWN_BUNDLE, roll.getBundle());
			return;
		}
		judgeRevision(change, "bundle " + roll.getBundle(), proposed.get().getRevision(), findings);
		if (proposed.get().getSignedOffBy().isEmpty()) {
			findings.add("roll.bundle", ErrorType.NOT_SIGNED_OFF, roll.getBundle());
		}
		BundleCheck.checkBuildsOn(proposed.get().getBundle(), before.bundle(), findings);
		if (!before.previousConfirmingHosts().isEmpty()
				&& !before.confirmingHosts().equals(proposed.get().getBundle().getConfirmingHostsList())) {
			findings.add("confirming_hosts", ErrorType.LIST_UNSETTLED);
		}
	}

	private static void judgeRevision(Change change, String subject, long newest, Findings findings) {
		if (change.getBuildsOn() != newest) {
			findings.add("builds_on", ErrorType.STALE_REVISION, change.getBuildsOn(), subject, newest);
		}
	}

	private static void accept(Configuration before, ConfigurationSnapshot.Builder after, Change change, long offset) {
		after.setRevision(offset);
		switch (change.getSubjectCase()) {
			case PROPOSE -> SnapshotEdits.propose(after, change, offset, PROPOSALS_KEPT);
			case SIGN_OFF -> SnapshotEdits.signOff(after, change, offset);
			case ROLL -> SnapshotEdits.roll(after, before.proposed(change.getRoll().getBundle()).orElseThrow(), offset);
			case ZONE -> SnapshotEdits.zone(after, change.getZone(), offset);
			default -> SnapshotEdits.host(after, change.getHost(), offset);
		}
	}

	/**
	 * Outcome of folding a record.
	 *
	 * @param configuration the configuration after the record
	 * @param verdict the verdict, if the record was a change with a new id
	 */
	public record Folded(Configuration configuration, Optional<Verdict> verdict) {

	}

}
