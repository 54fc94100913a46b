package org.wigeontally.replication;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import com.google.common.hash.Hashing;

import org.wigeontally.misc.Clock;
import org.wigeontally.schema.generated.HostIdentity;
import org.wigeontally.schema.generated.HostState;
import org.wigeontally.schema.generated.Role;
import org.wigeontally.settings.Addresses;

/**
 * Chooses whom a process exchanges with in each round, so that its traffic stays flat as
 * hosts are added.
 *
 * <p>
 * Confirming hosts ask each other in every round. Another entry host asks two of them in
 * every round, and every entry host asks the remaining ones in every fourth round, for
 * the rows of their agents. An agent asks one entry host at a time: the first in its
 * rendezvous order, its own availability zone first, that did not fail lately. Belongs to
 * the control thread.
 */
public final class ExchangePlan {

	private static final long SLOW_MS = 2000;

	private static final int CONFIRMING_PEERS = 1;

	private static final long AVOID_AFTER_FAILURE_MS = 3000;

	private final Clock clock;

	private final HostIdentity self;

	private final Map<String, PeerSession> sessions = new TreeMap<>();

	private final Map<String, String> zones = new HashMap<>();

	private final Map<String, Long> failedAtMs = new HashMap<>();

	private final Map<String, Long> askedAtMs = new HashMap<>();

	private ExchangePlan(Clock clock, HostIdentity self, Collection<String> firstPeers) {
		this.clock = clock;
		this.self = self;
		firstPeers.forEach(this::add);
	}

	/**
	 * Creates the plan of a process.
	 * @param clock the clock of this process
	 * @param self identity of this process
	 * @param firstPeers addresses of entry hosts from the settings
	 * @return the plan
	 */
	public static ExchangePlan create(Clock clock, HostIdentity self, Collection<String> firstPeers) {
		return new ExchangePlan(clock, self, firstPeers);
	}

	private void add(String address) {
		if (!address.equals(Addresses.format(this.self.getAddress()))) {
			this.sessions.computeIfAbsent(address, PeerSession::to);
		}
	}

	/**
	 * Adds the entry hosts of a table.
	 * @param hosts rows of the table
	 */
	public void learn(List<HostState> hosts) {
		for (HostState row : hosts) {
			if (row.getHost().getRole() == Role.ENTRY && row.getHost().hasAddress()) {
				String address = Addresses.format(row.getHost().getAddress());
				this.zones.put(address, row.getHost().getZone());
				add(address);
			}
		}
	}

	/**
	 * Adds entry hosts that somebody else knows of.
	 * @param addresses their addresses
	 */
	public void know(Collection<String> addresses) {
		addresses.forEach(this::add);
	}

	/**
	 * Takes note of an exchange that failed.
	 * @param peer the session
	 */
	public void failed(PeerSession peer) {
		this.failedAtMs.put(peer.address(), this.clock.monotonicMs());
	}

	/**
	 * Takes note of an exchange that succeeded.
	 * @param peer the session
	 */
	public void succeeded(PeerSession peer) {
		this.failedAtMs.remove(peer.address());
	}

	/**
	 * Chooses the peers of the next round.
	 * @param confirmingHosts names of the confirming hosts, or addresses before the first
	 * roll
	 * @return sessions with the peers to ask
	 */
	public List<PeerSession> nextRound(List<String> confirmingHosts) {
		long now = this.clock.monotonicMs();
		if (this.self.getRole() == Role.AGENT) {
			List<PeerSession> ordered = inRendezvousOrder();
			return ordered.isEmpty() ? List.of() : List.of(ordered.get(0));
		}
		boolean confirming = confirmingHosts.contains(this.self.getHost());
		int most = confirming ? Integer.MAX_VALUE : CONFIRMING_PEERS;
		List<PeerSession> chosen = new ArrayList<>();
		for (PeerSession peer : inRendezvousOrder()) {
			boolean fast = isConfirming(peer, confirmingHosts) && (confirming || !avoided(peer)) && most > 0;
			if (fast) {
				most--;
			}
			if (fast || now - this.askedAtMs.getOrDefault(peer.address(), now - SLOW_MS) >= SLOW_MS) {
				this.askedAtMs.put(peer.address(), now);
				chosen.add(peer);
			}
		}
		return chosen;
	}

	private static boolean isConfirming(PeerSession peer, List<String> confirmingHosts) {
		return confirmingHosts.contains(peer.host()) || confirmingHosts.contains(peer.address());
	}

	private boolean avoided(PeerSession peer) {
		Long failed = this.failedAtMs.get(peer.address());
		return failed != null && this.clock.monotonicMs() - failed < AVOID_AFTER_FAILURE_MS;
	}

	private List<PeerSession> inRendezvousOrder() {
		List<PeerSession> ordered = new ArrayList<>(this.sessions.values());
		ordered.sort(Comparator.comparing(this::avoided)
			.thenComparing((peer) -> !this.self.getZone().equals(this.zones.get(peer.address())))
			.thenComparing(this::rank));
		return ordered;
	}

	private long rank(PeerSession peer) {
		String pair = this.self.getHost() + " " + peer.address();
		return Hashing.murmur3_128().hashString(pair, StandardCharsets.UTF_8).asLong();
	}

}
