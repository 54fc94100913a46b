package org.wigeontally.replication;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.wigeontally.misc.Clock;
import org.wigeontally.misc.RendezvousHash;
import org.wigeontally.schema.generated.HostIdentity;
import org.wigeontally.schema.generated.HostState;
import org.wigeontally.schema.generated.Role;
import org.wigeontally.settings.Addresses;

/**
 * Selects the peers that a process exchanges with in each round, such that the traffic of
 * a process stays flat as hosts are added.
 *
 * <p>
 * Confirming hosts ask each other in every round. Any other entry host asks
 * {@code MAX_CONFIRMING_PEERS} of them in every round. Every entry host asks the
 * remaining entry hosts once per {@code FULL_EXCHANGE_INTERVAL_MS}, to learn the table
 * rows of their agents. An agent asks one entry host per round. It prefers hosts without
 * a recent failure, then hosts in its own availability zone, then the order given by
 * rendezvous hashing. Confined to the control thread.
 */
public final class ExchangePeerSelector {

	private static final long FULL_EXCHANGE_INTERVAL_MS = 2000;

	private static final int MAX_CONFIRMING_PEERS = 1;

	private static final long FAILURE_BACKOFF_MS = 3000;

	private final Clock clock;

	private final HostIdentity self;

	private final Map<String, PeerSession> sessions = new TreeMap<>();

	private final Map<String, String> zones = new HashMap<>();

	private final Map<String, Long> failedAtMs = new HashMap<>();

	private final Map<String, Long> lastSelectedAtMs = new HashMap<>();

	private ExchangePeerSelector(Clock clock, HostIdentity self, Collection<String> seedAddresses) {
		this.clock = clock;
		this.self = self;
		seedAddresses.forEach(this::addPeer);
	}

	/**
	 * Creates the selector of a process.
	 * @param clock the clock of this process
	 * @param self identity of this process
	 * @param seedAddresses addresses of entry hosts from the settings
	 * @return the selector
	 */
	public static ExchangePeerSelector create(Clock clock, HostIdentity self, Collection<String> seedAddresses) {
		return new ExchangePeerSelector(clock, self, seedAddresses);
	}

	private void addPeer(String address) {
		if (!address.equals(Addresses.format(this.self.getAddress()))) {
			this.sessions.computeIfAbsent(address, PeerSession::forAddress);
		}
	}

	/**
	 * Adds the entry hosts among the rows of a host table.
	 * @param hosts rows of the table
	 */
	public void addEntryHosts(List<HostState> hosts) {
		for (HostState row : hosts) {
			if (row.getHost().getRole() == Role.ENTRY && row.getHost().hasAddress()) {
				String address = Addresses.format(row.getHost().getAddress());
				this.zones.put(address, row.getHost().getZone());
				addPeer(address);
			}
		}
	}

	/**
	 * Adds entry hosts by address, such as those that the platform lists.
	 * @param addresses addresses of entry hosts
	 */
	public void addAddresses(Collection<String> addresses) {
		addresses.forEach(this::addPeer);
	}

	/**
	 * Records that an exchange failed.
	 * @param peer the session with the peer
	 */
	public void recordFailure(PeerSession peer) {
		this.failedAtMs.put(peer.address(), this.clock.monotonicMs());
	}

	/**
	 * Records that an exchange succeeded.
	 * @param peer the session with the peer
	 */
	public void recordSuccess(PeerSession peer) {
		this.failedAtMs.remove(peer.address());
	}

	/**
	 * Selects the peers of the next round.
	 * @param confirmingHosts names of the confirming hosts, or their addresses before the
	 * first rollout of a bundle
	 * @return sessions with the peers to ask
	 */
	public List<PeerSession> selectForNextRound(List<String> confirmingHosts) {
		long nowMs = this.clock.monotonicMs();
		if (this.self.getRole() == Role.AGENT) {
			List<PeerSession> ordered = inRendezvousOrder();
			return ordered.isEmpty() ? List.of() : List.of(ordered.get(0));
		}
		boolean selfConfirming = confirmingHosts.contains(this.self.getHost());
		int remainingConfirmingPeers = selfConfirming ? Integer.MAX_VALUE : MAX_CONFIRMING_PEERS;
		List<PeerSession> selected = new ArrayList<>();
		for (PeerSession peer : inRendezvousOrder()) {
			boolean selectedEveryRound = isConfirming(peer, confirmingHosts)
					&& (selfConfirming || !hasFailedRecently(peer)) && remainingConfirmingPeers > 0;
			if (selectedEveryRound) {
				remainingConfirmingPeers--;
			}
			if (selectedEveryRound || nowMs - this.lastSelectedAtMs.getOrDefault(peer.address(),
					nowMs - FULL_EXCHANGE_INTERVAL_MS) >= FULL_EXCHANGE_INTERVAL_MS) {
				this.lastSelectedAtMs.put(peer.address(), nowMs);
				selected.add(peer);
			}
		}
		return selected;
	}

	/**
	 * Selects a further peer for a process whose lease is about to expire.
	 * @param unanswered addresses of the peers that have not answered yet
	 * @return session with the first peer in order that is not being asked already
	 */
	public Optional<PeerSession> selectForRenewal(Collection<String> unanswered) {
		return inRendezvousOrder().stream().filter((peer) -> !unanswered.contains(peer.address())).findFirst();
	}

	private static boolean isConfirming(PeerSession peer, List<String> confirmingHosts) {
		return confirmingHosts.contains(peer.host()) || confirmingHosts.contains(peer.address());
	}

	private boolean hasFailedRecently(PeerSession peer) {
		Long lastFailureMs = this.failedAtMs.get(peer.address());
		return lastFailureMs != null && this.clock.monotonicMs() - lastFailureMs < FAILURE_BACKOFF_MS;
	}

	private List<PeerSession> inRendezvousOrder() {
		List<PeerSession> ordered = new ArrayList<>(this.sessions.values());
		ordered.sort(Comparator.comparing(this::hasFailedRecently)
			.thenComparing((peer) -> !this.self.getZone().equals(this.zones.get(peer.address())))
			.thenComparing(this::rendezvousHash));
		return ordered;
	}

	private long rendezvousHash(PeerSession peer) {
		return RendezvousHash.of(this.self.getHost() + " " + peer.address());
	}

}
