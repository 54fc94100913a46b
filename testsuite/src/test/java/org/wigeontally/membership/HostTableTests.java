package org.wigeontally.membership;

import java.util.List;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import org.wigeontally.misc.ManualClock;
import org.wigeontally.schema.generated.BackendState;
import org.wigeontally.schema.generated.HostIdentity;
import org.wigeontally.schema.generated.HostState;
import org.wigeontally.schema.generated.Liveness;
import org.wigeontally.schema.generated.Role;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests the membership table. Each of these faults, when introduced into the code, made a
 * test fail: late states are accepted because sequence numbers are not compared; reports
 * of a silent reporter never expire; a complete report does not withdraw earlier reports
 * of its reporter; the shorter timeout also applies to entry hosts.
 */
public class HostTableTests {

	private ManualClock clock;

	private HostTable table;

	@BeforeMethod
	public void start() {
		this.clock = ManualClock.startingAt(1_000_000);
		this.table = HostTable.create(this.clock, state("e1", "p1", 1, 1, Liveness.LIVE, Role.ENTRY));
	}

	@Test
	public void suspectsAndThenDropsASilentHost() {
		this.table.recordState(agent("p", 5, 1));
		advanceMs(HostTable.SUSPECT_AFTER_MS);
		assertThat(liveness()).isEqualTo(Liveness.LIVE);
		advanceMs(1);
		assertThat(liveness()).isEqualTo(Liveness.SUSPECTED);
		assertThat(this.table.recordMessage("b1", "p")).isTrue();
		assertThat(liveness()).isEqualTo(Liveness.LIVE);
		advanceMs(HostTable.DEAD_AFTER_MS + 1);
		assertThat(liveness()).isNull();
		assertThat(this.table.recordMessage("b1", "p")).as("its state is needed again").isFalse();
	}

	@Test
	public void ignoresLateAndRepeatedStates() {
		this.table.recordState(state("b1", "p", 5, 3, Liveness.LEAVING, Role.AGENT));
		this.table.recordState(agent("p", 5, 2));
		assertThat(liveness()).isEqualTo(Liveness.LEAVING);
		this.table.recordState(agent("q", 9, 1));
		assertThat(liveness()).isEqualTo(Liveness.LIVE);
		this.table.recordState(state("b1", "p", 5, 4, Liveness.LEAVING, Role.AGENT));
		assertThat(this.table.find("b1").orElseThrow().getHost().getProcess()).isEqualTo("q");
		assertThat(liveness()).isEqualTo(Liveness.LIVE);
	}

	@Test
	public void acceptsReportsOnlyWhileTheReporterIsHeard() {
		HostState reporter = state("e2", "p2", 2, 1, Liveness.LIVE, Role.ENTRY);
		this.table.recordState(reporter);
		this.table.recordReport("e2", true, List.of(reporter, agent("p", 5, 1)));
		advanceMs(HostTable.SUSPECT_AFTER_MS + 1);
		assertThat(liveness()).as("the reporter is silent for a moment").isEqualTo(Liveness.LIVE);
		this.table.recordMessage("e2", "p2");
		this.table.recordReport("e2", false,
				List.of(agent("p", 5, 1).toBuilder().setLiveness(Liveness.SUSPECTED).build()));
		assertThat(liveness()).isEqualTo(Liveness.SUSPECTED);
		this.table.recordReport("e2", false, List.of(agent("p", 5, 1)));
		assertThat(liveness()).isEqualTo(Liveness.LIVE);
		this.table.recordReport("e2", true, List.of(reporter));
		advanceMs(1);
		assertThat(liveness()).as("the reporter restarted").isEqualTo(Liveness.SUSPECTED);
		this.table.recordReport("e2", false, List.of(agent("p", 5, 1)));
		advanceMs(HostTable.REPORTER_TIMEOUT_MS + 1);
		assertThat(liveness()).as("the reporter is silent").isEqualTo(Liveness.SUSPECTED);
	}

	@Test
	public void returnsOnlyRowsThatChanged() {
		this.table.recordState(agent("p", 5, 1));
		long seen = this.table.version();
		for (int i = 0; i < 10; i++) {
			advanceMs(500);
			this.table.recordMessage("b1", "p");
		}
		assertThat(this.table.changedSince(seen, true)).isEmpty();
		this.table
			.recordState(agent("p", 5, 2).toBuilder().addBackends(BackendState.newBuilder().setCold(true)).build());
		assertThat(this.table.changedSince(seen, true)).hasSize(1);
		seen = this.table.version();
		advanceMs(HostTable.SUSPECT_AFTER_MS + 1);
		assertThat(this.table.changedSince(seen, true)).extracting(HostState::getLiveness)
			.containsExactly(Liveness.SUSPECTED);
	}

	@Test
	public void usesTheLongerTimeoutForEntryHosts() {
		this.table.recordState(state("e2", "p2", 2, 1, Liveness.LIVE, Role.ENTRY));
		long seen = this.table.version();
		for (int i = 0; i < 5; i++) {
			advanceMs(2000);
			this.table.recordMessage("e2", "p2");
		}
		assertThat(this.table.changedSince(seen, true)).isEmpty();
		advanceMs(HostTable.REPORTER_TIMEOUT_MS + 1);
		assertThat(this.table.changedSince(seen, true)).extracting(HostState::getLiveness)
			.containsExactly(Liveness.SUSPECTED);
	}

	private Liveness liveness() {
		return this.table.find("b1").map(HostState::getLiveness).orElse(null);
	}

	private void advanceMs(long ms) {
		this.clock.advance(ms);
		this.table.tick();
	}

	private static HostState agent(String process, long incarnation, long sequence) {
		return state("b1", process, incarnation, sequence, Liveness.LIVE, Role.AGENT);
	}

	private static HostState state(String host, String process, long incarnation, long sequence, Liveness liveness,
			Role role) {
		HostIdentity identity = HostIdentity.newBuilder()
			.setHost(host)
			.setProcess(process)
			.setIncarnation(incarnation)
			.setRole(role)
			.build();
		return HostState.newBuilder().setHost(identity).setSequence(sequence).setLiveness(liveness).build();
	}

}
