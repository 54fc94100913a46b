package org.wigeontally.membership;

import java.util.HashSet;
import java.util.Set;

import org.wigeontally.schema.generated.HostState;
import org.wigeontally.schema.generated.Liveness;

/**
 * A row of the table of hosts, changed by {@link HostTable} only.
 */
final class HostRow {

	static final long NEVER = Long.MIN_VALUE / 2;

	HostState state;

	long stateVersion;

	/** When the host itself was last heard here. */
	long heardAtMs = NEVER;

	/** When a reporter last vouched for the host. */
	long vouchedAtMs;

	final Set<String> vouchers = new HashSet<>();

	boolean direct;

	long directVersion;

	boolean live;

	long version;

	HostRow(HostState state, long version, long nowMs) {
		this.state = withOwnLiveness(state);
		this.stateVersion = version;
		this.vouchedAtMs = nowMs;
	}

	boolean supersededBy(HostState other) {
		if (this.state.getHost().getProcess().equals(other.getHost().getProcess())) {
			return other.getSequence() > this.state.getSequence();
		}
		// A process whose join was not read yet has incarnation 0.
		long incarnation = other.getHost().getIncarnation();
		return incarnation == 0 || incarnation > this.state.getHost().getIncarnation();
	}

	void replace(HostState next, long nextVersion) {
		if (!next.getHost().getProcess().equals(this.state.getHost().getProcess())) {
			this.vouchers.clear();
			this.heardAtMs = NEVER;
		}
		this.state = withOwnLiveness(next);
		this.stateVersion = nextVersion;
	}

	private static HostState withOwnLiveness(HostState state) {
		Liveness liveness = (state.getLiveness() == Liveness.LEAVING) ? Liveness.LEAVING : Liveness.LIVE;
		return state.toBuilder().setLiveness(liveness).build();
	}

	void withdraw(String reporter, long nowMs) {
		if (this.vouchers.remove(reporter)) {
			this.vouchedAtMs = nowMs;
		}
	}

	boolean heardWithin(long nowMs, long ms) {
		return nowMs - this.heardAtMs <= ms;
	}

	HostState published(boolean vouched) {
		return vouched ? this.state : this.state.toBuilder().setLiveness(Liveness.SUSPECTED).build();
	}

}
