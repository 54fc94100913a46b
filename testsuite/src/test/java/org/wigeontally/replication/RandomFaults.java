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
 * Brings random faults about and submits racing changes.
 */
final class RandomFaults {

	private final ControlSimulation simulation;

	private final TestOperators operators;

	private final Random random;

	private final List<Change> sent = new ArrayList<>();

	private int bundles;

	RandomFaults(ControlSimulation simulation, TestOperators operators) {
		this.simulation = simulation;
		this.operators = operators;
		this.random = simulation.random;
	}

	void step(int step) {
		switch (this.random.nextInt(9)) {
			case 0 -> cut();
			case 1 -> this.simulation.outage(this.random.nextBoolean());
			case 2 -> this.simulation.restart(host());
			case 3 -> pause();
			case 4 -> this.simulation.log.lostReplies(this.random.nextDouble() * 0.5);
			case 5 -> loseMessages();
			case 6 -> roll(step);
			case 7 -> heal();
			default -> resend();
		}
		zone("ann", step);
		zone("ben", step);
	}

	private String host() {
		return this.simulation.names.get(this.random.nextInt(this.simulation.names.size()));
	}

	private void cut() {
		this.simulation.sides.clear();
		for (String name : this.simulation.names) {
			this.simulation.sides.put(name, this.random.nextInt(3) / 2);
		}
	}

	private void loseMessages() {
		this.simulation.lossShare = this.random.nextDouble() * 0.3;
	}

	private void pause() {
		this.simulation.hosts.get(host()).pausedUntilMs = this.simulation.clock.monotonicMs()
				+ this.random.nextInt(6000);
	}

	void heal() {
		this.simulation.sides.clear();
		this.simulation.outage(false);
		this.simulation.log.lostReplies(0);
		this.simulation.lossShare = 0;
	}

	private void zone(String author, int step) {
		String zone = "z" + this.random.nextInt(2);
		String host = host();
		long newest = held(host).zoneRevision(zone);
		submit(host, this.operators.setZone(author, author + "-" + step, newest, zone, this.random.nextBoolean()));
	}

	private void resend() {
		if (!this.sent.isEmpty()) {
			Change change = this.sent.get(this.random.nextInt(this.sent.size()));
			this.simulation.submit(host(), change);
		}
	}

	private void submit(String host, Change change) {
		this.sent.add(change);
		this.simulation.submit(host, change);
	}

	/** Proposes, signs off or rolls a bundle with another list of confirming hosts. */
	private void roll(int step) {
		String host = host();
		Configuration held = held(host);
		if (held.bundle().isEmpty()) {
			return;
		}
		if (held.snapshot().getProposedCount() == 0) {
			List<String> confirming = new ArrayList<>(this.simulation.names);
			confirming.removeIf((name) -> this.random.nextInt(3) == 0 && confirming.size() > 3);
			Bundle bundle = this.operators.bundle("b-" + ++this.bundles, held.bundle().orElseThrow().getName(),
					confirming);
			submit(host, this.operators.propose("ann", "propose-" + step, bundle));
			return;
		}
		ProposedBundle proposed = held.snapshot().getProposed(0);
		Change next = proposed.getSignedOffBy().isEmpty()
				? this.operators.signOff("ben", "sign-" + step, proposed.getRevision(), proposed.getBundle())
				: this.operators.roll("ann", "roll-" + step, proposed.getRevision(), proposed.getBundle().getName());
		submit(host, next);
	}

	private Configuration held(String host) {
		return this.simulation.hosts.get(host).replica.configuration();
	}

}
