package org.wigeontally.replication;

import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import org.wigeontally.configuration.Configuration;
import org.wigeontally.configuration.TestOperators;
import org.wigeontally.log.PlatformLog;
import org.wigeontally.schema.generated.Bundle;
import org.wigeontally.schema.generated.LogRecord;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Runs five entry hosts in simulated time with network partitions, log outages, restarts
 * and pauses.
 *
 * <p>
 * The tests were seen to fail with each of these faults: the last applied record is not
 * compared with the log; no checkpoint is searched for; replies of hosts that have not
 * read their own join record are counted; the lease is dated by the time of the reply
 * instead of that of the request.
 */
public class ReplicationTests {

	private static final int HOST_COUNT = 5;

	private static final long CONVERGENCE_MS = 3000;

	private final TestOperators operators = TestOperators.create();

	@Test
	public void hostsKeepServingDuringLogOutage() {
		ReplicationSimulation simulation = startWithBundle(1);
		simulation.setLogOutage(true);
		simulation.run(10_000);
		assertThat(simulation.hosts.values()).allMatch(SimulatedHost::isServing);
		simulation.restart("e1");
		simulation.run(CONVERGENCE_MS);
		assertThat(simulation.hosts.get("e1").isServing()).as("lease renewed by its peers").isTrue();
		assertThat(simulation.hosts.get("e1").replica.hasReadOwnJoin()).isFalse();
		simulation.restart("e2");
		simulation.restart("e3");
		simulation.run(CONVERGENCE_MS);
		assertThat(simulation.hosts.values()).as("three of five have not read their own join record")
			.noneMatch(SimulatedHost::isServing);
		simulation.setLogOutage(false);
		simulation.run(CONVERGENCE_MS);
		assertThat(simulation.hosts.values()).allMatch(SimulatedHost::isServing);
	}

	@Test
	public void minorityWithoutLogStopsServing() {
		ReplicationSimulation simulation = startWithBundle(2);
		simulation.partitionByHost.put("e3", 1);
		simulation.partitionByHost.put("e4", 1);
		Operation zoneOut = simulation.submit("e0", this.operators.setZone("ann", "c1", 0, "z", true));
		simulation.run(4000);
		assertThat(zoneOut.outcome).isEqualTo(Operation.ACCEPTED);
		assertThat(servingHosts(simulation)).containsExactly("e0", "e1", "e2");
		simulation.partitionByHost.clear();
		simulation.run(CONVERGENCE_MS);
		assertThat(simulation.hosts.values())
			.allMatch((host) -> host.isServing() && host.replica.configuration().isZoneOut("z"));
	}

	@Test
	public void minorityWithLogServesButAcceptsNoChange() {
		ReplicationSimulation simulation = startWithBundle(3);
		for (String host : List.of("e0", "e1", "e2")) {
			simulation.partitionByHost.put(host, 1);
		}
		Operation zoneOut = simulation.submit("e4", this.operators.setZone("ann", "c1", 0, "z", true));
		simulation.run(4500);
		assertThat(zoneOut.outcome).as("no majority holds the change").isEqualTo("unknown");
		assertThat(servingHosts(simulation)).as("the majority without the log renews its own leases")
			.containsExactly("e0", "e1", "e2", "e3", "e4");
		simulation.partitionByHost.clear();
		Operation resubmitted = simulation.submit("e0", this.operators.setZone("ann", "c1", 0, "z", true));
		simulation.run(CONVERGENCE_MS);
		assertThat(resubmitted.outcome).isEqualTo(Operation.ACCEPTED);
	}

	@Test
	public void pausedProcessStopsServingWhenLeaseExpires() {
		ReplicationSimulation simulation = startWithBundle(4);
		SimulatedHost paused = simulation.hosts.get("e2");
		paused.pausedUntilMs = simulation.clock.monotonicMs() + 5000;
		simulation.submit("e0", this.operators.setZone("ann", "c1", 0, "z", true));
		simulation.run(4990);
		assertThat(paused.isServing()).as("serving before any of its timers has fired").isFalse();
		simulation.run(CONVERGENCE_MS);
		assertThat(paused.isServing()).isTrue();
	}

	@Test
	public void staleHeadAndTruncatedLogAreRejected() {
		ReplicationSimulation simulation = startWithBundle(5);
		simulation.submit("e0", this.operators.setZone("ann", "c1", 0, "z", true));
		simulation.run(CONVERGENCE_MS);
		simulation.log.staleBy(100);
		simulation.restart("e1");
		simulation.run(1000);
		assertThat(simulation.hosts.get("e0").lastReadOutcome).isEqualTo(LogCursor.Outcome.STALE_HEAD);
		assertThat(simulation.hosts.get("e1").replica.configuration().isZoneOut("z")).as("change received from peers")
			.isTrue();
		simulation.log.staleBy(0);
		simulation.run(CONVERGENCE_MS);
		long revision = simulation.hosts.get("e0").revision();
		simulation.log.shorten(PlatformLog.CONFIGURATION, 4);
		for (int i = 0; i < 6; i++) {
			simulation.log.append(PlatformLog.CONFIGURATION, LogRecord.newBuilder().setId("other-" + i).build());
		}
		simulation.run(CONVERGENCE_MS);
		assertThat(simulation.hosts.values()).allMatch((host) -> host.lastReadOutcome == LogCursor.Outcome.FORKED);
		assertThat(simulation.hosts.values()).allMatch((host) -> host.revision() == revision && host.isServing());
	}

	@Test
	public void startsFromCheckpointWhenRecordsHaveExpired() {
		ReplicationSimulation simulation = startWithBundle(6);
		simulation.submit("e0", this.operators.setZone("ann", "c1", 0, "z", true));
		simulation.run(CONVERGENCE_MS);
		simulation.hosts.keySet().forEach(simulation::stop);
		simulation.run(60_000);
		LogRecord checkpoint = LogRecord.newBuilder()
			.setId("checkpoint")
			.setCheckpoint(simulation.hosts.get("e0").replica.configuration().snapshot())
			.build();
		simulation.log.append(PlatformLog.CONFIGURATION, checkpoint);
		simulation.log.append(PlatformLog.CONFIGURATION, checkpoint);
		simulation.log.retentionMs(30_000);
		simulation.names.forEach(simulation::restart);
		simulation.run(CONVERGENCE_MS);
		assertThat(simulation.hosts.values()).allMatch((host) -> host.isServing() && host.replica.hasReadOwnJoin()
				&& host.replica.configuration().isZoneOut("z"));
	}

	@Test
	public void doesNotServeWhenExpiredRecordsHaveNoCheckpoint() {
		ReplicationSimulation simulation = startWithBundle(7);
		simulation.hosts.keySet().forEach(simulation::stop);
		simulation.run(60_000);
		simulation.log.retentionMs(30_000);
		simulation.names.forEach(simulation::restart);
		simulation.run(CONVERGENCE_MS);
		assertThat(simulation.hosts.values()).noneMatch(SimulatedHost::isServing);
		assertThat(simulation.hosts.get("e0").lastReadOutcome).isIn(LogCursor.Outcome.GAP, LogCursor.Outcome.BEHIND);
	}

	/** Provides the seeds of the random histories. */
	@DataProvider
	public Object[][] seeds() {
		return IntStream.range(0, 16).mapToObj((seed) -> new Object[] { seed }).toArray(Object[][]::new);
	}

	/**
	 * Checks random histories. The test was seen to fail with each of these faults: the
	 * lease is dated by the time of the reply instead of that of the request; a change is
	 * reported as accepted before a majority holds it. The histories did not detect two
	 * other faults, which {@code ServingLeaseTests} does: replies of hosts that have not
	 * read their own join record are counted; only the new list of confirming hosts is
	 * asked while the list is being changed.
	 * @param seed seed of all random choices
	 */
	@Test(dataProvider = "seeds")
	public void acceptedChangesAreLinearizableAndAppliedInTime(int seed) {
		ReplicationSimulation simulation = startWithBundle(seed);
		RandomFaultInjector faults = new RandomFaultInjector(simulation, this.operators);
		for (int step = 0; step < 60; step++) {
			faults.injectFaultAndSubmit(step);
			simulation.run(500 + simulation.random.nextInt(1500));
		}
		faults.clearFaults();
		simulation.run(15_000);
		simulation.checkOperations();
		Configuration reference = simulation.updateReferenceConfiguration();
		assertThat(simulation.hosts.values()).allMatch(SimulatedHost::isServing);
		assertThat(simulation.hosts.values())
			.allMatch((host) -> host.replica.configuration().snapshot().equals(reference.snapshot()));
		assertThat(simulation.operations).anyMatch((operation) -> operation.outcome.equals(Operation.ACCEPTED));
	}

	private ReplicationSimulation startWithBundle(long seed) {
		ReplicationSimulation simulation = new ReplicationSimulation(seed, this.operators, HOST_COUNT);
		Bundle bundle = this.operators.bundle("b-0", "", simulation.names);
		simulation.run(CONVERGENCE_MS);
		simulation.submit("e0", this.operators.propose("ann", "first-1", bundle));
		simulation.run(CONVERGENCE_MS);
		long proposed = simulation.updateReferenceConfiguration().revision();
		simulation.submit("e0", this.operators.signOff("ben", "first-2", proposed, bundle));
		simulation.run(CONVERGENCE_MS);
		simulation.submit("e0",
				this.operators.roll("ann", "first-3", simulation.updateReferenceConfiguration().revision(), "b-0"));
		simulation.run(CONVERGENCE_MS);
		assertThat(simulation.hosts.values()).allMatch((host) -> host.replica.configuration().bundle().isPresent());
		return simulation;
	}

	private static Stream<String> servingHosts(ReplicationSimulation simulation) {
		return simulation.hosts.values().stream().filter(SimulatedHost::isServing).map((host) -> host.name);
	}

}
