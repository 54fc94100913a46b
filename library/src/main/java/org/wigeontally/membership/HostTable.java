package org.wigeontally.membership;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.wigeontally.misc.Clock;
import org.wigeontally.schema.generated.HostIdentity;
import org.wigeontally.schema.generated.HostState;
import org.wigeontally.schema.generated.Liveness;
import org.wigeontally.schema.generated.Role;

/**
 * The membership table of one process: the hosts that it knows, and their liveness.
 *
 * <p>
 * Heartbeats are not propagated through the table, because with many hosts they would
 * account for all of its traffic. Only the few processes that exchange messages with a
 * host hear it directly. They act as its reporters: they report the host as live to other
 * processes. A row is sent only when it changed, that is, when the host increased the
 * sequence number of its own state, or when the reporter started or stopped hearing the
 * host.
 *
 * <p>
 * A host is live if this process heard it directly within {@value #SUSPECT_AFTER_MS} ms,
 * or if a reporter that reports it as live was itself heard within
 * {@value #REPORTER_TIMEOUT_MS} ms. Any other host is suspected, and is dropped after
 * {@value #DEAD_AFTER_MS} ms. Entry hosts exchange messages with each other directly, but
 * some of them rarely. Therefore the longer timeout applies to them, and an entry host
 * ignores reports about other entry hosts.
 *
 * <p>
 * Of two states of a host, the one with the later incarnation (the offset of the join
 * record) wins. Within one process the higher sequence number wins. Late and repeated
 * messages are therefore harmless. All methods must be called on the control thread.
 */
public final class HostTable {

	/** Time without a message after which a host is suspected, in milliseconds. */
	public static final long SUSPECT_AFTER_MS = 1500;

	/**
	 * Time without a message after which the reports of a reporter are ignored, and after
	 * which an entry host is suspected, in milliseconds.
	 */
	public static final long REPORTER_TIMEOUT_MS = 3000;

	/**
	 * Time without a message or report after which a host is dropped, in milliseconds.
	 */
	public static final long DEAD_AFTER_MS = 30_000;

	private final Clock clock;

	private final String self;

	private final boolean selfIsEntry;

	private final Map<String, HostRow> rows = new TreeMap<>();

	private long version = 1;

	private HostTable(Clock clock, HostIdentity self) {
		this.clock = clock;
		this.self = self.getHost();
		this.selfIsEntry = self.getRole() == Role.ENTRY;
	}

	/**
	 * Creates a table that contains only this host.
	 * @param clock the clock of this process
	 * @param self state of this host
	 * @return the table
	 */
	public static HostTable create(Clock clock, HostState self) {
		HostTable table = new HostTable(clock, self.getHost());
		table.updateSelf(self);
		return table;
	}

	/**
	 * Replaces the state of this host.
	 * @param state the state, with a higher sequence number than before
	 */
	public void updateSelf(HostState state) {
		HostRow row = rowFor(state);
		row.replace(state, ++this.version);
		row.lastHeardAtMs = this.clock.monotonicMs();
		updateLiveness(row);
	}

	/**
	 * Records that a message arrived directly from a host.
	 * @param host name of the host
	 * @param process id of the process
	 * @return true if the process is known; if false, the caller must obtain its state
	 */
	public boolean recordMessage(String host, String process) {
		HostRow row = this.rows.get(host);
		if (row == null || !row.state.getHost().getProcess().equals(process)) {
			return false;
		}
		row.lastHeardAtMs = this.clock.monotonicMs();
		updateLiveness(row);
		return true;
	}

	/**
	 * Records a state that arrived directly from its host.
	 * @param state the state
	 */
	public void recordState(HostState state) {
		HostIdentity host = state.getHost();
		if (host.getHost().equals(this.self)) {
			return;
		}
		HostRow row = rowFor(state);
		if (row.isSupersededBy(state)) {
			row.replace(state, ++this.version);
		}
		recordMessage(host.getHost(), host.getProcess());
	}

	/**
	 * Records the rows that another process reported.
	 * @param reporter name of the reporting host
	 * @param complete true if these are all rows of the reporter, false for a delta
	 * @param reported the rows
	 */
	public void recordReport(String reporter, boolean complete, List<HostState> reported) {
		if (complete) {
			this.rows.values().forEach((row) -> row.removeReporter(reporter, this.clock.monotonicMs()));
		}
		for (HostState state : reported) {
			String host = state.getHost().getHost();
			if (host.equals(this.self) || host.equals(reporter)) {
				continue;
			}
			HostRow row = rowFor(state);
			if (row.isSupersededBy(state)) {
				row.replace(state, ++this.version);
			}
			if (state.getLiveness() == Liveness.SUSPECTED) {
				row.removeReporter(reporter, this.clock.monotonicMs());
			}
			else if (row.state.getHost().getProcess().equals(state.getHost().getProcess())) {
				row.reporters.add(reporter);
			}
			updateLiveness(row);
		}
	}

	private HostRow rowFor(HostState state) {
		return this.rows.computeIfAbsent(state.getHost().getHost(),
				(name) -> new HostRow(state, ++this.version, this.clock.monotonicMs()));
	}

	/**
	 * Updates the liveness of all rows and drops the rows of dead hosts. Must be called a
	 * few times a second.
	 */
	public void tick() {
		long now = this.clock.monotonicMs();
		Iterator<HostRow> iterator = this.rows.values().iterator();
		while (iterator.hasNext()) {
			HostRow row = iterator.next();
			if (!isSelf(row) && now - lastEvidenceAtMs(row) > DEAD_AFTER_MS) {
				iterator.remove();
				continue;
			}
			updateLiveness(row);
		}
	}

	private void updateLiveness(HostRow row) {
		long suspectAfterMs = row.isEntry() ? REPORTER_TIMEOUT_MS : SUSPECT_AFTER_MS;
		boolean heardDirectly = isSelf(row) || row.heardWithin(this.clock.monotonicMs(), suspectAfterMs);
		if (heardDirectly != row.heardDirectly) {
			row.heardDirectly = heardDirectly;
			row.heardDirectlyVersion = ++this.version;
		}
		boolean live = heardDirectly || isReportedLive(row);
		if (live != row.live) {
			row.live = live;
			row.liveVersion = ++this.version;
		}
	}

	private boolean isReportedLive(HostRow row) {
		if (row.isEntry() && this.selfIsEntry) {
			return false;
		}
		for (String reporter : row.reporters) {
			HostRow reporterRow = this.rows.get(reporter);
			if (reporterRow != null && reporterRow.heardWithin(this.clock.monotonicMs(), REPORTER_TIMEOUT_MS)) {
				row.lastReportedAtMs = this.clock.monotonicMs();
				return true;
			}
		}
		return false;
	}

	private long lastEvidenceAtMs(HostRow row) {
		return Math.max(row.lastHeardAtMs, isReportedLive(row) ? this.clock.monotonicMs() : row.lastReportedAtMs);
	}

	private boolean isSelf(HostRow row) {
		return row.state.getHost().getHost().equals(this.self);
	}

	/**
	 * Returns the version of the table, which increases with each change.
	 * @return the version
	 */
	public long version() {
		return this.version;
	}

	/**
	 * Returns the rows that changed after a version of the table.
	 * @param sinceVersion the last version that the requester has seen; 0 for none
	 * @param onlyDirect true for only the rows of hosts that this process has heard
	 * directly, with the liveness that follows from direct messages alone
	 * @return the rows, with the liveness as this process sees it
	 */
	public List<HostState> changedSince(long sinceVersion, boolean onlyDirect) {
		List<HostState> changed = new ArrayList<>();
		for (HostRow row : this.rows.values()) {
			boolean live = onlyDirect ? row.heardDirectly : row.live;
			long rowVersion = onlyDirect ? row.heardDirectlyVersion : row.liveVersion;
			boolean everHeard = !onlyDirect || isSelf(row) || row.lastHeardAtMs != HostRow.NEVER;
			if (everHeard && Math.max(rowVersion, row.stateVersion) > sinceVersion) {
				changed.add(row.stateWithLiveness(live));
			}
		}
		return changed;
	}

	/**
	 * Returns all hosts.
	 * @return an immutable list, ordered by name of the host
	 */
	public List<HostState> hosts() {
		List<HostState> all = new ArrayList<>();
		this.rows.values().forEach((row) -> all.add(row.stateWithLiveness(row.live)));
		return List.copyOf(all);
	}

	/**
	 * Looks up a host.
	 * @param host name of the host
	 * @return the newest state of the host, or empty if the host is unknown
	 */
	public Optional<HostState> find(String host) {
		return Optional.ofNullable(this.rows.get(host)).map((row) -> row.stateWithLiveness(row.live));
	}

	/**
	 * Returns whether a host was heard directly within {@link #SUSPECT_AFTER_MS}, also
	 * for entry hosts.
	 * @param host name of the host
	 * @return true if it was heard
	 */
	public boolean wasHeardRecently(String host) {
		HostRow row = this.rows.get(host);
		return row != null && row.heardWithin(this.clock.monotonicMs(), SUSPECT_AFTER_MS);
	}

}
