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
 * the monotonic clock. All methods belong to the control thread, except
 * {@link #isValid()} and {@link #ageMs()}, which any thread may call.
 */
public final class ServingLease {

	/** Age at which a confirmation no longer allows new work, in milliseconds. */
	public static final long MAX_AGE_MS = 2000;

	private static final long NEVER = Long.MIN_VALUE;

	private final Clock clock;

	private final String self;

	private final List<String> initialHosts;

	private final Map<String, PeerReply> replies = new HashMap<>();

	private Configuration configuration = Configuration.empty();

	private boolean readOwnJoin;

	private long maxPeerOffset;

	private long settledRollRevision;

	private volatile long confirmedAtMs = NEVER;

	private ServingLease(Clock clock, String self, List<String> initialHosts) {
		this.clock = clock;
		this.self = self;
		this.initialHosts = List.copyOf(initialHosts);
	}

	/**
	 * Creates a confirmation that was never given.
	 * @param clock the clock of this process
	 * @param self name of this host
	 * @param firstHosts confirming hosts before the first roll
	 * @return the confirmation
	 */
	public static ServingLease create(Clock clock, String self, List<String> initialHosts) {
		return new ServingLease(clock, self, initialHosts);
	}

	/**
	 * Takes note of what this process holds now.
	 * @param configuration the newest configuration
	 * @param countsNow true if this process has read the log past its own join record
	 */
	public void setConfiguration(Configuration configuration, boolean hasReadOwnJoin) {
		this.configuration = configuration;
		this.readOwnJoin = hasReadOwnJoin;
		renew();
	}

	/**
	 * Takes note of a read of the log whose records have been folded.
	 * @param sentAtMs when the read was sent, on the monotonic clock
	 * @param head the head that it returned
	 * @return true if it confirms
	 */
	public boolean recordLogRead(long sentAtMs, long head) {
		if (!this.readOwnJoin || head != this.configuration.appliedOffset() + 1 || head <= this.maxPeerOffset) {
			return false;
		}
		extendTo(sentAtMs);
		return true;
	}

	/**
	 * Takes note of a peer's answer.
	 * @param host name of the peer
	 * @param sentAtMs when the question was sent, on the monotonic clock
	 * @param standing what the peer said of itself
	 */
	public void recordReply(String host, long sentAtMs, Standing standing) {
		PeerReply previous = this.replies.get(host);
		if (previous == null || previous.sentAtMs() <= sentAtMs) {
			this.replies.put(host, new PeerReply(sentAtMs, standing.getRevision(), standing.getCounts()));
		}
		this.maxPeerOffset = Math.max(this.maxPeerOffset, standing.getApplied());
		if (standing.getConfirmedAgeMs() >= 0 && standing.getRevision() <= this.configuration.revision()) {
			extendTo(sentAtMs - standing.getConfirmedAgeMs());
		}
		renew();
	}

	private void renew() {
		settleRoll();
		long asOfMs = majorityAsOfMs(confirmingHosts());
		if (!isHostListSettled()) {
			asOfMs = Math.min(asOfMs, majorityAsOfMs(this.configuration.previousConfirmingHosts()));
		}
		if (asOfMs != NEVER) {
			extendTo(asOfMs);
		}
	}

	private void settleRoll() {
		long rollRevision = this.configuration.confirmingHostsRevision();
		if (this.settledRollRevision < rollRevision
				&& isHeldByMajority(this.configuration.confirmingHosts(), rollRevision)
				&& isHeldByMajority(this.configuration.previousConfirmingHosts(), rollRevision)) {
			this.settledRollRevision = rollRevision;
		}
	}

	private long majorityAsOfMs(List<String> hosts) {
		List<Long> instantsMs = new ArrayList<>();
		for (String host : hosts) {
			if (host.equals(this.self)) {
				if (this.readOwnJoin) {
					instantsMs.add(this.clock.monotonicMs());
				}
				continue;
			}
			PeerReply reply = this.replies.get(host);
			if (reply != null && reply.readOwnJoin() && reply.revision() <= this.configuration.revision()) {
				instantsMs.add(reply.sentAtMs());
			}
		}
		int majority = hosts.size() / 2 + 1;
		if (hosts.isEmpty() || instantsMs.size() < majority) {
			return NEVER;
		}
		instantsMs.sort(Collections.reverseOrder());
		return instantsMs.get(majority - 1);
	}

	private void extendTo(long asOfMs) {
		if (asOfMs > this.confirmedAtMs) {
			this.confirmedAtMs = asOfMs;
		}
	}

	/**
	 * Tells whether the confirmation allows new work now.
	 * @return true if it is not older than {@link #MAX_AGE_MS}
	 */
	public boolean isValid() {
		long confirmedMs = this.confirmedAtMs;
		return confirmedMs != NEVER && this.clock.monotonicMs() - confirmedMs <= MAX_AGE_MS;
	}

	/**
	 * Returns the age of the confirmation.
	 * @return milliseconds; -1 if it was never given
	 */
	public long ageMs() {
		long confirmedMs = this.confirmedAtMs;
		return (confirmedMs != NEVER) ? Math.max(0, this.clock.monotonicMs() - confirmedMs) : -1;
	}

	/**
	 * Returns the hosts whose majority confirms.
	 * @return names of hosts
	 */
	public List<String> confirmingHosts() {
		return this.configuration.bundle().isPresent() ? this.configuration.confirmingHosts() : this.initialHosts;
	}

	/**
	 * Tells whether the last roll that changed the confirming hosts is held by majorities
	 * of both lists.
	 * @return true if so, or if the last roll did not change them
	 */
	public boolean isHostListSettled() {
		return this.configuration.previousConfirmingHosts().isEmpty()
				|| this.settledRollRevision >= this.configuration.confirmingHostsRevision();
	}

	/**
	 * Tells whether a change is held by a majority of the confirming hosts, of both lists
	 * while a roll of them is not settled.
	 * @param revision offset of the change
	 * @return true if it is, as far as is known here
	 */
	public boolean isHeldByMajority(long revision) {
		return isHeldByMajority(confirmingHosts(), revision)
				&& (isHostListSettled() || isHeldByMajority(this.configuration.previousConfirmingHosts(), revision));
	}

	private boolean isHeldByMajority(List<String> hosts, long revision) {
		int holders = 0;
		for (String host : hosts) {
			PeerReply reply = this.replies.get(host);
			long heldRevision = host.equals(this.self) ? this.configuration.revision()
					: ((reply != null) ? reply.revision() : 0);
			if (heldRevision >= revision) {
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
	private record PeerReply(long sentAtMs, long revision, boolean readOwnJoin) {

	}

}
