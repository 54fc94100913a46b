package org.wigeontally.membership;

import java.util.HashSet;
import java.util.Set;

import org.wigeontally.schema.generated.HostState;
import org.wigeontally.schema.generated.Liveness;
import org.wigeontally.schema.generated.Role;

/**
 * A row of the table of hosts, changed by {@link HostTable} only.
 */
final class HostRow {

	static final long NEVER = Long.MIN_VALUE / 2;

	HostState state;

	long stateVersion;

	/** When the host itself was last heard here. */
	long lastHeardAtMs = NEVER;

	/** When a reporter last vouched for the host. */
	long lastReportedAtMs;

	final Set<String> reporters = new HashSet<>();

	boolean heardDirectly;

	long heardDirectlyVersion;

	boolean live;

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
		// A process whose join was not read yet has incarnation 0.
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
