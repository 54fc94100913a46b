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
 * Seen red with: late states let in (no comparison of sequences), a reporter that vouches
 * for ever, a complete report that leaves old vouchers in place.
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
	public void suspectsAndDropsASilentHost() {
		this.table.heard(agent("p", 5, 1));
		pass(HostTable.SUSPECT_AFTER_MS);
		assertThat(liveness()).isEqualTo(Liveness.LIVE);
		pass(1);
		assertThat(liveness()).isEqualTo(Liveness.SUSPECTED);
		assertThat(this.table.heard("b1", "p")).isTrue();
		assertThat(liveness()).isEqualTo(Liveness.LIVE);
		pass(HostTable.DEAD_AFTER_MS + 1);
		assertThat(liveness()).isNull();
		assertThat(this.table.heard("b1", "p")).as("its state is needed again").isFalse();
	}

	@Test
	public void ignoresLateAndRepeatedStates() {
		this.table.heard(state("b1", "p", 5, 3, Liveness.LEAVING, Role.AGENT));
		this.table.heard(agent("p", 5, 2));
		assertThat(liveness()).isEqualTo(Liveness.LEAVING);
		this.table.heard(agent("q", 9, 1));
		assertThat(liveness()).isEqualTo(Liveness.LIVE);
		this.table.heard(state("b1", "p", 5, 4, Liveness.LEAVING, Role.AGENT));
		assertThat(this.table.find("b1").orElseThrow().getHost().getProcess()).isEqualTo("q");
		assertThat(liveness()).isEqualTo(Liveness.LIVE);
	}

	@Test
	public void believesAReporterWhileItIsHeard() {
		HostState reporter = state("e2", "p2", 2, 1, Liveness.LIVE, Role.ENTRY);
		this.table.heard(reporter);
		this.table.reported("e2", true, List.of(reporter, agent("p", 5, 1)));
		pass(HostTable.SUSPECT_AFTER_MS + 1);
		assertThat(liveness()).as("the reporter is silent for a moment").isEqualTo(Liveness.LIVE);
		this.table.heard("e2", "p2");
		this.table.reported("e2", false, List.of(agent("p", 5, 1).toBuilder().setLiveness(Liveness.SUSPECTED).build()));
		assertThat(liveness()).isEqualTo(Liveness.SUSPECTED);
		this.table.reported("e2", false, List.of(agent("p", 5, 1)));
		assertThat(liveness()).isEqualTo(Liveness.LIVE);
		this.table.reported("e2", true, List.of(reporter));
		pass(1);
		assertThat(liveness()).as("the reporter restarted").isEqualTo(Liveness.SUSPECTED);
		this.table.reported("e2", false, List.of(agent("p", 5, 1)));
		pass(HostTable.VOUCH_MS + 1);
		assertThat(liveness()).as("the reporter is silent").isEqualTo(Liveness.SUSPECTED);
	}

	@Test
	public void sendsOnlyRowsThatChanged() {
		this.table.heard(agent("p", 5, 1));
		long seen = this.table.version();
		for (int i = 0; i < 10; i++) {
			pass(500);
			this.table.heard("b1", "p");
		}
		assertThat(this.table.changedSince(seen, true)).isEmpty();
		this.table.heard(agent("p", 5, 2).toBuilder().addBackends(BackendState.newBuilder().setCold(true)).build());
		assertThat(this.table.changedSince(seen, true)).hasSize(1);
		seen = this.table.version();
		pass(HostTable.SUSPECT_AFTER_MS + 1);
		assertThat(this.table.changedSince(seen, true)).extracting(HostState::getLiveness)
			.containsExactly(Liveness.SUSPECTED);
	}

	private Liveness liveness() {
		return this.table.find("b1").map(HostState::getLiveness).orElse(null);
	}

	private void pass(long ms) {
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
