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
 * The table of hosts as one process sees it.
 *
 * <p>
 * Heartbeats do not travel through the table, since at many hosts they would be all its
 * traffic. A host is heard directly by the few processes that it exchanges with; these
 * <em>vouch</em> for it towards the others, and a row travels only when it changed: when
 * the host raised the sequence of its own state, or when the reporter began or ceased to
 * hear it. A host is live if it was heard here within {@value #SUSPECT_AFTER_MS} ms, or
 * if a reporter that vouches for it was itself heard within {@value #REPORTER_TIMEOUT_MS}
 * ms. A host that nobody vouches for is suspected and dropped after
 * {@value #DEAD_AFTER_MS} ms. Entry hosts exchange with each other, some seldom, so among
 * them the longer time counts and nobody's word but their own.
 *
 * <p>
 * Of two states of a host the one of the later incarnation (offset of the join) wins, and
 * within a process the one with the higher sequence, so late and repeated messages do no
 * harm. Belongs to the control thread; the lists that it hands out are immutable.
 */
public final class HostTable {

	/** Silence after which a host is suspected, in milliseconds. */
	public static final long SUSPECT_AFTER_MS = 1500;

	/** Silence of a reporter after which it no longer vouches, in milliseconds. */
	public static final long REPORTER_TIMEOUT_MS = 3000;

	/** Silence after which a host is dropped, in milliseconds. */
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
	 * Creates a table with one row.
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
	 * @param state the state, with a raised sequence
	 */
	public void updateSelf(HostState state) {
		HostRow row = rowFor(state);
		row.replace(state, ++this.version);
		row.lastHeardAtMs = this.clock.monotonicMs();
		updateLiveness(row);
	}

	/**
	 * Takes note of a message that came from a host itself.
	 * @param host name of the host
	 * @param process id of the process
	 * @return true if the process is known; if not, its state is needed
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
	 * Takes note of a state that came from the host itself.
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
	 * Takes note of rows that another process reported.
	 * @param reporter name of the reporting host
	 * @param complete true if these are all its rows, not a delta
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
	 * Judges all rows by the time that has passed. To be called a few times a second.
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
	 * Returns the version of the table.
	 * @return a number that grows with each change
	 */
	public long version() {
		return this.version;
	}

	/**
	 * Returns the rows that changed after a version.
	 * @param seen version that the asker has seen; 0 for none
	 * @param onlyDirect true for rows of hosts that this process hears itself
	 * @return the rows, with the liveness that this process vouches for
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
	 * Returns all rows.
	 * @return an immutable list, ordered by host
	 */
	public List<HostState> hosts() {
		List<HostState> all = new ArrayList<>();
		this.rows.values().forEach((row) -> all.add(row.stateWithLiveness(row.live)));
		return List.copyOf(all);
	}

	/**
	 * Looks up a host.
	 * @param host name of the host
	 * @return its newest state, if the host is known
	 */
	public Optional<HostState> find(String host) {
		return Optional.ofNullable(this.rows.get(host)).map((row) -> row.stateWithLiveness(row.live));
	}

	/**
	 * Tells whether a host was heard directly within the time of suspicion.
	 * @param host name of the host
	 * @return true if it was
	 */
	public boolean wasHeardRecently(String host) {
		HostRow row = this.rows.get(host);
		return row != null && row.heardWithin(this.clock.monotonicMs(), SUSPECT_AFTER_MS);
	}

}
