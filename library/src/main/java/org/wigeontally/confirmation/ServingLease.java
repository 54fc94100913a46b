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
 * The serving lease of a process. It is valid while the process knows, as of an instant
 * at most {@value #MAX_AGE_MS} ms ago, that it holds every accepted configuration change.
 *
 * <p>
 * A process that receives no updates cannot distinguish an outage of the log, during
 * which it must keep serving, from its own isolation, during which it must stop.
 * Therefore a change counts as accepted only when a majority of the confirming hosts hold
 * it, and any of the following confirms that this process misses no accepted change:
 * <ul>
 * <li>A read of the log, sent at t, returned a head that directly follows the last record
 * applied here. The process must have read its own join record, and the head must be
 * beyond everything that peers have applied; otherwise the read could have returned an
 * old copy of the log. Confirmed as of t.</li>
 * <li>A majority of the confirming hosts, each asked at t or later, hold no newer
 * revision than this process. This majority has a host in common with the majority that
 * holds an accepted change. Confirmed as of t.</li>
 * <li>A single peer, asked at t, holds no newer revision and has itself a confirmation of
 * age a. Confirmed as of t - a.</li>
 * </ul>
 * Hosts lose their state at a restart. The host that both majorities have in common could
 * have held the change, restarted without state and been updated by peers that miss the
 * change. Therefore the majority includes only processes that have read the log past
 * their own join record, which follows everything that was accepted before they started.
 * After a rollout that changes the confirming hosts, majorities of both the old and the
 * new hosts are needed, until majorities of both are known to hold the rollout.
 *
 * <p>
 * A confirmation is dated by the time at which the request was sent. A reply that a
 * paused process handles late therefore extends the lease no further than what was true
 * at the time of the request. Each use compares the lease with the monotonic clock. All
 * methods must be called on the control thread, except {@link #isValid()} and
 * {@link #ageMs()}, which any thread may call.
 */
public final class ServingLease {

	/** Maximum age of a confirmation that allows new work, in milliseconds. */
	public static final long MAX_AGE_MS = 2000;

	private static final long NEVER = Long.MIN_VALUE;

	private final Clock clock;

	private final String self;

	private final List<String> initialHosts;

	private final Map<String, PeerReply> replies = new HashMap<>();

	private Configuration configuration = Configuration.empty();

	private boolean readOwnJoin;

	/** Highest offset that a peer reported as applied. */
	private long maxPeerOffset;

	/**
	 * Revision of the last rollout that changed the confirming hosts and that majorities
	 * of the old and the new hosts hold.
	 */
	private long settledRollRevision;

	private volatile long confirmedAtMs = NEVER;

	private ServingLease(Clock clock, String self, List<String> initialHosts) {
		this.clock = clock;
		this.self = self;
		this.initialHosts = List.copyOf(initialHosts);
	}

	/**
	 * Creates a lease that has not been confirmed yet.
	 * @param clock the clock of this process
	 * @param self name of this host
	 * @param initialHosts confirming hosts before the first rollout of a bundle
	 * @return the lease
	 */
	public static ServingLease create(Clock clock, String self, List<String> initialHosts) {
		return new ServingLease(clock, self, initialHosts);
	}

	/**
	 * Sets the configuration that this process holds.
	 * @param configuration the newest configuration
	 * @param hasReadOwnJoin true if this process has read the log past its own join
	 * record
	 */
	public void setConfiguration(Configuration configuration, boolean hasReadOwnJoin) {
		this.configuration = configuration;
		this.readOwnJoin = hasReadOwnJoin;
		renew();
	}

	/**
	 * Records a read of the log whose records have been applied.
	 * @param sentAtMs when the read was sent, on the monotonic clock
	 * @param head the head of the log that the read returned
	 * @return true if the read confirms the lease
	 */
	public boolean recordLogRead(long sentAtMs, long head) {
		if (!this.readOwnJoin || head != this.configuration.appliedOffset() + 1 || head <= this.maxPeerOffset) {
			return false;
		}
		extendTo(sentAtMs);
		return true;
	}

	/**
	 * Records the reply of a peer.
	 * @param host name of the peer
	 * @param sentAtMs when the request was sent, on the monotonic clock
	 * @param standing the configuration state that the peer reported
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
	 * Returns whether the lease allows new work now.
	 * @return true if the last confirmation is not older than {@link #MAX_AGE_MS}
	 */
	public boolean isValid() {
		long confirmedMs = this.confirmedAtMs;
		return confirmedMs != NEVER && this.clock.monotonicMs() - confirmedMs <= MAX_AGE_MS;
	}

	/**
	 * Returns the age of the last confirmation.
	 * @return the age in milliseconds; -1 if the lease was never confirmed
	 */
	public long ageMs() {
		long confirmedMs = this.confirmedAtMs;
		return (confirmedMs != NEVER) ? Math.max(0, this.clock.monotonicMs() - confirmedMs) : -1;
	}

	/**
	 * Returns the hosts whose majority confirms the lease.
	 * @return names of hosts
	 */
	public List<String> confirmingHosts() {
		return this.configuration.bundle().isPresent() ? this.configuration.confirmingHosts() : this.initialHosts;
	}

	/**
	 * Returns whether majorities of both the old and the new confirming hosts hold the
	 * last rollout that changed them.
	 * @return true if both majorities hold it, or if no such rollout is pending
	 */
	public boolean isHostListSettled() {
		return this.configuration.previousConfirmingHosts().isEmpty()
				|| this.settledRollRevision >= this.configuration.confirmingHostsRevision();
	}

	/**
	 * Returns whether a majority of the confirming hosts hold a change. While a rollout
	 * that changes the confirming hosts is not settled, majorities of both the old and
	 * the new hosts are required.
	 * @param revision offset of the change
	 * @return true if the replies received so far show it
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
	 * Newest reply of a peer.
	 *
	 * @param sentAtMs when the request was sent
	 * @param revision the revision that the peer held
	 * @param readOwnJoin true if the peer had read the log past its own join record
	 */
	private record PeerReply(long sentAtMs, long revision, boolean readOwnJoin) {

	}

}
