package org.wigeontally.confirmation;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.wigeontally.configuration.Configuration;
import org.wigeontally.misc.Clock;
import org.wigeontally.schema.generated.Standing;

/**
 * The serving lease. It answers one question: is it known, as of an instant at most
 * {@value #MAX_AGE_MS} ms ago, that no change was accepted that this process does not
 * hold?
 *
 * <p>
 * A process without news cannot tell an outage of the log, in which service must go on,
 * from its own isolation, in which it must stop. So a change counts as accepted only when
 * a majority of the confirming hosts hold it, and there are three ways to learn that
 * nothing is missing here:
 * <ul>
 * <li>a read of the log, sent at t, returned a head that is equal to what is folded; it
 * must show this process's own join and all that peers are known to hold, so that an old
 * copy of the log is told from the log;</li>
 * <li>a majority of the confirming hosts, each asked at t or later, hold no more than is
 * held here: this majority and the one that holds an accepted change have a host in
 * common;</li>
 * <li>one peer, asked at t, was confirmed itself at an age of a, and holds no more than
 * is held here: confirmed as of t - a.</li>
 * </ul>
 * Hosts forget everything at a restart. The common host could be one that held the
 * change, restarted empty and was caught up by peers that miss it. Therefore only answers
 * of processes that <em>count</em> are taken into the majority: those that have read the
 * log past their own join record, which stands behind all that was accepted before they
 * started. While a roll that changes the list of confirming hosts is not known to be held
 * by majorities of both lists, majorities of both are needed.
 *
 * <p>
 * Instants are those at which questions were sent, so a late reply to a paused process
 * gives it no more than was true when it asked. The lease is judged at each use against
 * the monotonic clock. All methods belong to the control thread, except {@link #valid()}
 * and {@link #ageMs()}, which any thread may call.
 */
public final class Confirmation {

	/** Age at which a confirmation no longer allows new work, in milliseconds. */
	public static final long MAX_AGE_MS = 2000;

	private static final long NEVER = Long.MIN_VALUE;

	private final Clock clock;

	private final String self;

	private final List<String> firstHosts;

	private final Map<String, Answer> answers = new HashMap<>();

	private Configuration held = Configuration.empty();

	private boolean counts;

	private long peersApplied;

	private long settledRoll;

	private volatile long confirmedAtMs = NEVER;

	private Confirmation(Clock clock, String self, List<String> firstHosts) {
		this.clock = clock;
		this.self = self;
		this.firstHosts = List.copyOf(firstHosts);
	}

	/**
	 * Creates a confirmation that was never given.
	 * @param clock the clock of this process
	 * @param self name of this host
	 * @param firstHosts confirming hosts before the first roll
	 * @return the confirmation
	 */
	public static Confirmation create(Clock clock, String self, List<String> firstHosts) {
		return new Confirmation(clock, self, firstHosts);
	}

	/**
	 * Takes note of what this process holds now.
	 * @param configuration the newest configuration
	 * @param countsNow true if this process has read the log past its own join record
	 */
	public void holds(Configuration configuration, boolean countsNow) {
		this.held = configuration;
		this.counts = countsNow;
		evaluate();
	}

	/**
	 * Takes note of a read of the log whose records have been folded.
	 * @param sentAtMs when the read was sent, on the monotonic clock
	 * @param head the head that it returned
	 * @return true if it confirms
	 */
	public boolean logRead(long sentAtMs, long head) {
		if (!this.counts || head != this.held.applied() + 1 || head <= this.peersApplied) {
			return false;
		}
		confirm(sentAtMs);
		return true;
	}

	/**
	 * Takes note of a peer's answer.
	 * @param host name of the peer
	 * @param sentAtMs when the question was sent, on the monotonic clock
	 * @param standing what the peer said of itself
	 */
	public void answered(String host, long sentAtMs, Standing standing) {
		Answer newest = this.answers.get(host);
		if (newest == null || newest.sentAtMs() <= sentAtMs) {
			this.answers.put(host, new Answer(sentAtMs, standing.getRevision(), standing.getCounts()));
		}
		this.peersApplied = Math.max(this.peersApplied, standing.getApplied());
		if (standing.getConfirmedAgeMs() >= 0 && standing.getRevision() <= this.held.revision()) {
			confirm(sentAtMs - standing.getConfirmedAgeMs());
		}
		evaluate();
	}

	private void evaluate() {
		settleRoll();
		long asOf = majorityAsOf(confirmingHosts());
		if (!listSettled()) {
			asOf = Math.min(asOf, majorityAsOf(this.held.previousConfirmingHosts()));
		}
		if (asOf != NEVER) {
			confirm(asOf);
		}
	}

	private void settleRoll() {
		long roll = this.held.listRolledAt();
		if (this.settledRoll < roll && majorityHolds(this.held.confirmingHosts(), roll)
				&& majorityHolds(this.held.previousConfirmingHosts(), roll)) {
			this.settledRoll = roll;
		}
	}

	private long majorityAsOf(List<String> hosts) {
		List<Long> instants = new ArrayList<>();
		for (String host : hosts) {
			if (host.equals(this.self)) {
				if (this.counts) {
					instants.add(this.clock.monotonicMs());
				}
				continue;
			}
			Answer answer = this.answers.get(host);
			if (answer != null && answer.counts() && answer.revision() <= this.held.revision()) {
				instants.add(answer.sentAtMs());
			}
		}
		int majority = hosts.size() / 2 + 1;
		if (hosts.isEmpty() || instants.size() < majority) {
			return NEVER;
		}
		instants.sort(Collections.reverseOrder());
		return instants.get(majority - 1);
	}

	private void confirm(long asOfMs) {
		if (asOfMs > this.confirmedAtMs) {
			this.confirmedAtMs = asOfMs;
		}
	}

	/**
	 * Tells whether the confirmation allows new work now.
	 * @return true if it is not older than {@link #MAX_AGE_MS}
	 */
	public boolean valid() {
		long confirmed = this.confirmedAtMs;
		return confirmed != NEVER && this.clock.monotonicMs() - confirmed <= MAX_AGE_MS;
	}

	/**
	 * Returns the age of the confirmation.
	 * @return milliseconds; -1 if it was never given
	 */
	public long ageMs() {
		long confirmed = this.confirmedAtMs;
		return (confirmed != NEVER) ? Math.max(0, this.clock.monotonicMs() - confirmed) : -1;
	}

	/**
	 * Returns the hosts whose majority confirms.
	 * @return names of hosts
	 */
	public List<String> confirmingHosts() {
		return this.held.bundle().isPresent() ? this.held.confirmingHosts() : this.firstHosts;
	}

	/**
	 * Tells whether the last roll that changed the confirming hosts is held by majorities
	 * of both lists.
	 * @return true if so, or if the last roll did not change them
	 */
	public boolean listSettled() {
		return this.held.previousConfirmingHosts().isEmpty() || this.settledRoll >= this.held.listRolledAt();
	}

	/**
	 * Tells whether a change is held by a majority of the confirming hosts, of both lists
	 * while a roll of them is not settled.
	 * @param revision offset of the change
	 * @return true if it is, as far as is known here
	 */
	public boolean majorityHolds(long revision) {
		return majorityHolds(confirmingHosts(), revision)
				&& (listSettled() || majorityHolds(this.held.previousConfirmingHosts(), revision));
	}

	private boolean majorityHolds(List<String> hosts, long revision) {
		int holders = 0;
		for (String host : hosts) {
			Answer answer = this.answers.get(host);
			long known = host.equals(this.self) ? this.held.revision() : ((answer != null) ? answer.revision() : 0);
			if (known >= revision) {
				holders++;
			}
		}
		return hosts.isEmpty() || holders > hosts.size() / 2;
	}

	/**
	 * Newest answer of a peer.
	 *
	 * @param sentAtMs when the question was sent
	 * @param revision the revision that the peer held
	 * @param counts true if the peer counted
	 */
	private record Answer(long sentAtMs, long revision, boolean counts) {

	}

}
