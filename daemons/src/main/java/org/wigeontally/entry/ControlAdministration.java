package org.wigeontally.entry;

import java.util.Map;

import io.vertx.core.Future;

import org.wigeontally.administration.Administration;
import org.wigeontally.control.ChangeOutcome;
import org.wigeontally.control.ControlNode;
import org.wigeontally.schema.generated.BundleList;
import org.wigeontally.schema.generated.Change;
import org.wigeontally.schema.generated.ChangeAnswer;
import org.wigeontally.schema.generated.StatusReport;

/**
 * Answers operators' requests through the control node of this entry.
 */
final class ControlAdministration implements Administration {

	private static final String NO_CHANGE_ID = "";

	private final ControlNode control;

	ControlAdministration(ControlNode control) {
		this.control = control;
	}

	@Override
	public Future<ChangeAnswer> submit(Change change) {
		return this.control.submit(change).map((outcome) -> answer(change.getId(), outcome));
	}

	@Override
	public Future<ChangeAnswer> outcome(String id) {
		return this.control.outcome(id).map((outcome) -> answer(id, outcome));
	}

	private static ChangeAnswer answer(String id, ChangeOutcome outcome) {
		return ChangeAnswer.newBuilder()
			.setId(id)
			.setOutcome(ChangeAnswer.Outcome.valueOf(outcome.status().name()))
			.setRevision(outcome.revision())
			.addAllFindings(outcome.findings())
			.build();
	}

	@Override
	public Future<BundleList> bundles() {
		BundleList.Builder list = BundleList.newBuilder();
		this.control.view().configuration().bundle().ifPresent(list::setInForce);
		list.setRolledAt(this.control.view().configuration().rollRevision())
			.addAllProposed(this.control.view().configuration().snapshot().getProposedList());
		return Future.succeededFuture(list.build());
	}

	@Override
	public Future<StatusReport> status() {
		return this.control.outcome(NO_CHANGE_ID)
			.map((outcome) -> report(outcome.revisionsByHost(), outcome.minimumRevision()));
	}

	private StatusReport report(Map<String, Long> revisionsByHost, long minimumRevision) {
		return StatusBuilder.of(this.control.view(), revisionsByHost).build(minimumRevision);
	}

}
