package org.wigeontally.replication;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import org.wigeontally.configuration.Configuration;
import org.wigeontally.configuration.TestOperators;
import org.wigeontally.schema.generated.Bundle;
import org.wigeontally.schema.generated.Change;
import org.wigeontally.schema.generated.ProposedBundle;

/**
 * Injects random faults and submits concurrent, conflicting changes.
 */
final class RandomFaultInjector {

	private final ReplicationSimulation simulation;

	private final TestOperators operators;

	private final Random random;

	private final List<Change> submittedChanges = new ArrayList<>();

	private int bundleCount;

	RandomFaultInjector(ReplicationSimulation simulation, TestOperators operators) {
		this.simulation = simulation;
		this.operators = operators;
		this.random = simulation.random;
	}

	void injectFaultAndSubmit(int step) {
		switch (this.random.nextInt(9)) {
			case 0 -> partitionNetwork();
			case 1 -> this.simulation.setLogOutage(this.random.nextBoolean());
			case 2 -> this.simulation.restart(randomHost());
			case 3 -> pauseHost();
			case 4 -> this.simulation.log.lostReplies(this.random.nextDouble() * 0.5);
			case 5 -> loseMessages();
			case 6 -> submitBundleChange(step);
			case 7 -> clearFaults();
			default -> resendChange();
		}
		submitZoneChange("ann", step);
		submitZoneChange("ben", step);
	}

	private String randomHost() {
		return this.simulation.names.get(this.random.nextInt(this.simulation.names.size()));
	}

	private void partitionNetwork() {
		this.simulation.partitionByHost.clear();
		for (String name : this.simulation.names) {
			this.simulation.partitionByHost.put(name, this.random.nextInt(3) / 2);
		}
	}

	private void loseMessages() {
		this.simulation.messageLossRatio = this.random.nextDouble() * 0.3;
	}

	private void pauseHost() {
		this.simulation.hosts.get(randomHost()).pausedUntilMs = this.simulation.clock.monotonicMs()
				+ this.random.nextInt(6000);
	}

	void clearFaults() {
		this.simulation.partitionByHost.clear();
		this.simulation.setLogOutage(false);
		this.simulation.log.lostReplies(0);
		this.simulation.messageLossRatio = 0;
	}

	private void submitZoneChange(String author, int step) {
		String zone = "z" + this.random.nextInt(2);
		String host = randomHost();
		long newest = configurationOf(host).zoneRevision(zone);
		submit(host, this.operators.setZone(author, author + "-" + step, newest, zone, this.random.nextBoolean()));
	}

	private void resendChange() {
		if (!this.submittedChanges.isEmpty()) {
			Change change = this.submittedChanges.get(this.random.nextInt(this.submittedChanges.size()));
			this.simulation.submit(randomHost(), change);
		}
	}

	private void submit(String host, Change change) {
		this.submittedChanges.add(change);
		this.simulation.submit(host, change);
	}

	/**
	 * Submits the next step of a bundle that changes the list of confirming hosts:
	 * proposal, sign-off or roll.
	 */
	private void submitBundleChange(int step) {
		String host = randomHost();
		Configuration current = configurationOf(host);
		if (current.bundle().isEmpty()) {
			return;
		}
		if (current.snapshot().getProposedCount() == 0) {
			List<String> confirmingHosts = new ArrayList<>(this.simulation.names);
			confirmingHosts.removeIf((name) -> this.random.nextInt(3) == 0 && confirmingHosts.size() > 3);
			Bundle bundle = this.operators.bundle("b-" + ++this.bundleCount, current.bundle().orElseThrow().getName(),
					confirmingHosts);
			submit(host, this.operators.propose("ann", "propose-" + step, bundle));
			return;
		}
		ProposedBundle proposed = current.snapshot().getProposed(0);
		Change next = proposed.getSignedOffBy().isEmpty()
				? this.operators.signOff("ben", "sign-" + step, proposed.getRevision(), proposed.getBundle())
				: this.operators.roll("ann", "roll-" + step, proposed.getRevision(), proposed.getBundle().getName());
		submit(host, next);
	}

	private Configuration configurationOf(String host) {
		return this.simulation.hosts.get(host).replica.configuration();
	}

}
