package org.wigeontally.membership;

import java.util.HashSet;
import java.util.Set;

import org.wigeontally.schema.generated.HostState;
import org.wigeontally.schema.generated.Liveness;
import org.wigeontally.schema.generated.Role;

/**
 * A row of the membership table, modified only by {@link HostTable}.
 */
final class HostRow {

	static final long NEVER = Long.MIN_VALUE / 2;

	HostState state;

	/** Version of the table at the last change of the state. */
	long stateVersion;

	/** When this process last received a message from the host itself. */
	long lastHeardAtMs = NEVER;

	/** When a reporter last reported the host as live, or withdrew its report. */
	long lastReportedAtMs;

	/** Names of the hosts that report this host as live. */
	final Set<String> reporters = new HashSet<>();

	/** True if this process hears the host itself. */
	boolean heardDirectly;

	/** Version of the table at the last change of {@link #heardDirectly}. */
	long heardDirectlyVersion;

	/** True if this process hears the host itself or a reporter reports it as live. */
	boolean live;

	/** Version of the table at the last change of {@link #live}. */
	long liveVersion;

	HostRow(HostState state, long version, long nowMs) {
		this.state = withSelfReportedLiveness(state);
		this.stateVersion = version;
		this.lastReportedAtMs = nowMs;
	}

	boolean isSupersededBy(HostState other) {
		if (this.state.getHost().getProcess().equals(other.getHost().getProcess())) {
			return other.getSequence() > this.state.getSequence();
		}
		// The incarnation is 0 until the join record of the process has been read.
		long incarnation = other.getHost().getIncarnation();
		return incarnation == 0 || incarnation > this.state.getHost().getIncarnation();
	}

	void replace(HostState next, long nextVersion) {
		if (!next.getHost().getProcess().equals(this.state.getHost().getProcess())) {
			this.reporters.clear();
			this.lastHeardAtMs = NEVER;
		}
		this.state = withSelfReportedLiveness(next);
		this.stateVersion = nextVersion;
	}

	boolean isEntry() {
		return this.state.getHost().getRole() == Role.ENTRY;
	}

	private static HostState withSelfReportedLiveness(HostState state) {
		Liveness liveness = (state.getLiveness() == Liveness.LEAVING) ? Liveness.LEAVING : Liveness.LIVE;
		return state.toBuilder().setLiveness(liveness).build();
	}

	void removeReporter(String reporter, long nowMs) {
		if (this.reporters.remove(reporter)) {
			this.lastReportedAtMs = nowMs;
		}
	}

	boolean heardWithin(long nowMs, long ms) {
		return nowMs - this.lastHeardAtMs <= ms;
	}

	HostState stateWithLiveness(boolean isLive) {
		return isLive ? this.state : this.state.toBuilder().setLiveness(Liveness.SUSPECTED).build();
	}

}
