package org.wigeontally.configuration;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

import org.wigeontally.schema.generated.Bundle;
import org.wigeontally.schema.generated.Change;
import org.wigeontally.schema.generated.ConfigurationSnapshot;
import org.wigeontally.schema.generated.HostRule;
import org.wigeontally.schema.generated.Model;
import org.wigeontally.schema.generated.ProposedBundle;
import org.wigeontally.schema.generated.SetHost;
import org.wigeontally.schema.generated.SetZone;
import org.wigeontally.schema.generated.ZoneState;

/**
 * Applies accepted changes to a configuration snapshot.
 */
final class SnapshotUpdater {

	private static final int MAX_PREVIOUS_MODELS = 16;

	private SnapshotUpdater() {
	}

	static void addProposal(ConfigurationSnapshot.Builder after, Change change, long offset, int maxProposals) {
		Bundle bundle = change.getPropose().getBundle();
		removeProposal(after, bundle.getName());
		after.addProposed(
				ProposedBundle.newBuilder().setBundle(bundle).setAuthor(change.getAuthor()).setRevision(offset));
		if (after.getProposedCount() > maxProposals) {
			after.removeProposed(0);
		}
	}

	static void recordSignOff(ConfigurationSnapshot.Builder after, Change change, long offset) {
		for (ProposedBundle.Builder each : after.getProposedBuilderList()) {
			if (each.getBundle().getName().equals(change.getSignOff().getBundle())) {
				each.setSignedOffBy(change.getAuthor()).setRevision(offset);
			}
		}
	}

	static void putInForce(ConfigurationSnapshot.Builder after, ProposedBundle proposed, long offset) {
		List<String> previous = after.getInForce().getConfirmingHostsList();
		if (after.hasInForce() && !previous.equals(proposed.getBundle().getConfirmingHostsList())) {
			after.clearPreviousConfirmingHosts().addAllPreviousConfirmingHosts(previous);
			after.setListRolledAt(offset);
		}
		updatePreviousModels(after, proposed.getBundle().getModelsList());
		// The other proposals build on the replaced bundle, so none of them can be rolled
		// out any more.
		after.clearProposed();
		after.setInForce(proposed.getBundle());
		after.setRolledAt(offset);
	}

	private static void updatePreviousModels(ConfigurationSnapshot.Builder after, List<Model> nextModels) {
		Set<Model> previous = new LinkedHashSet<>(after.getInForce().getModelsList());
		previous.addAll(after.getPreviousModelsList());
		previous.removeAll(nextModels);
		after.clearPreviousModels();
		for (Model model : previous) {
			if (after.getPreviousModelsCount() < MAX_PREVIOUS_MODELS) {
				after.addPreviousModels(model);
			}
		}
	}

	static void settleConfirmingHosts(ConfigurationSnapshot.Builder after, long rollRevision) {
		if (rollRevision == after.getListRolledAt()) {
			after.clearPreviousConfirmingHosts();
		}
	}

	static void setZone(ConfigurationSnapshot.Builder after, SetZone change, long offset) {
		ZoneState state = ZoneState.newBuilder()
			.setZone(change.getZone())
			.setOut(change.getOut())
			.setRevision(offset)
			.build();
		for (int i = 0; i < after.getZonesCount(); i++) {
			if (after.getZones(i).getZone().equals(change.getZone())) {
				after.setZones(i, state);
				return;
			}
		}
		after.addZones(state);
	}

	static void setHost(ConfigurationSnapshot.Builder after, SetHost change, long offset) {
		HostRule rule = HostRule.newBuilder()
			.setHost(change.getHost())
			.setDraining(change.getDraining())
			.setRevision(offset)
			.build();
		for (int i = 0; i < after.getHostsCount(); i++) {
			if (after.getHosts(i).getHost().equals(change.getHost())) {
				after.setHosts(i, rule);
				return;
			}
		}
		after.addHosts(rule);
	}

	private static void removeProposal(ConfigurationSnapshot.Builder after, String name) {
		for (int i = 0; i < after.getProposedCount(); i++) {
			if (after.getProposed(i).getBundle().getName().equals(name)) {
				after.removeProposed(i);
				return;
			}
		}
	}

}
