package org.wigeontally.harmful;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import org.wigeontally.misc.Clock;
import org.wigeontally.schema.generated.BackendLoss;
import org.wigeontally.schema.generated.SuspectContent;
import org.wigeontally.schema.generated.SuspectSummary;

/**
 * Recognises requests that bring backend servers down, by content.
 *
 * <p>
 * A caller sends such a request again, through another entry and with a new id, so
 * entries count losses for each content and tell each other at once: the entry that sees
 * a loss tells all entries and only then answers the caller or tries again, so that a
 * re-send meets an entry that knows. After {@link #MAX_BACKEND_LOSSES} losses the content
 * is refused.
 *
 * <p>
 * Everything that ran at the backend server when it was lost is suspected, the innocent
 * as well. They are told apart in three ways. A suspect that runs to its end is cleared
 * of its losses. A suspect runs beside no other suspect (the agents see to that), so a
 * second loss makes one content harmful and not its neighbours. And a loss that a harmful
 * content explains no longer counts against the others.
 *
 * <p>
 * What is held is a set of (content, loss) pairs, each cleared or not, and merging is a
 * union in which "cleared" wins and the greater age wins; so it is idempotent and
 * commutative, and a loss is forgotten {@link #LOSS_RETENTION_MS} after it happened,
 * however often it was told. Contents and losses of each are bounded; the content with
 * the fewest losses is dropped first, then the oldest. Safe for use by several threads.
 */
public final class HarmfulRequestTracker {

	/** Most backend servers that one content may bring down. */
	public static final int MAX_BACKEND_LOSSES = 2;

	/** Time for which a loss is remembered. */
	public static final long LOSS_RETENTION_MS = 600_000;

	private static final int MAX_CONTENTS = 4_096;

	private static final int MAX_LOSSES_PER_CONTENT = 8;

	private final Clock clock;

	private final Map<Fingerprint, Map<String, Loss>> lossesByContent = new HashMap<>();

	private final Set<String> explainedLossIds = new HashSet<>();

	private HarmfulRequestTracker(Clock clock) {
		this.clock = clock;
	}

	/**
	 * Creates an empty memory.
	 * @param clock source of time
	 * @return the memory
	 */
	public static HarmfulRequestTracker create(Clock clock) {
		return new HarmfulRequestTracker(clock);
	}

	/**
	 * Judges a content before it is sent to a backend server.
	 * @param fingerprint the content
	 * @return what to do with it
	 */
	public synchronized Suspicion classify(Fingerprint fingerprint) {
		Map<String, Loss> losses = this.lossesByContent.get(fingerprint);
		if (losses == null) {
			return Suspicion.NONE;
		}
		removeExpired();
		int count = unclearedCount(losses);
		if (count >= MAX_BACKEND_LOSSES) {
			long remainingMs = newestLossMs(losses) + LOSS_RETENTION_MS - this.clock.monotonicMs();
			return new Suspicion(Suspicion.Level.HARMFUL, count, remainingMs);
		}
		boolean suspected = losses.entrySet()
			.stream()
			.anyMatch((entry) -> !entry.getValue().cleared && !this.explainedLossIds.contains(entry.getKey()));
		return suspected ? new Suspicion(Suspicion.Level.SUSPECT, count, 0) : Suspicion.NONE;
	}

	/**
	 * Notes that a backend server was lost.
	 * @param lossId names the loss, the same at all entries
	 * @param running contents of the requests that ran there
	 */
	public synchronized void recordBackendLoss(String lossId, Collection<Fingerprint> running) {
		for (Fingerprint fingerprint : running) {
			addLoss(fingerprint, lossId, new Loss(this.clock.monotonicMs(), false));
		}
		enforceBoundsAndUpdateExplained();
	}

	/**
	 * Notes that a request of a content ran to its end.
	 * @param fingerprint the content
	 * @return true if this cleared it, which is worth telling
	 */
	public synchronized boolean recordSuccess(Fingerprint fingerprint) {
		Map<String, Loss> losses = this.lossesByContent.get(fingerprint);
		if (losses == null || unclearedCount(losses) == 0) {
			return false;
		}
		losses.replaceAll((id, loss) -> new Loss(loss.atMs, true));
		enforceBoundsAndUpdateExplained();
		return true;
	}

	/**
	 * Returns all that is suspected, for other entries.
	 * @return the summary
	 */
	public synchronized SuspectSummary summary() {
		removeExpired();
		long nowMs = this.clock.monotonicMs();
		SuspectSummary.Builder summary = SuspectSummary.newBuilder();
		this.lossesByContent.forEach((fingerprint, losses) -> {
			SuspectContent.Builder content = summary.addContentsBuilder().setFingerprint(fingerprint.bytes());
			losses.forEach((id, loss) -> content
				.addLosses(BackendLoss.newBuilder().setId(id).setAgeMs(nowMs - loss.atMs).setCleared(loss.cleared)));
		});
		return summary.build();
	}

	/**
	 * Merges what another entry suspects.
	 * @param summary the other entry's summary
	 */
	public synchronized void merge(SuspectSummary summary) {
		long nowMs = this.clock.monotonicMs();
		for (SuspectContent content : summary.getContentsList()) {
			for (BackendLoss loss : content.getLossesList()) {
				if (loss.getAgeMs() < LOSS_RETENTION_MS) {
					addLoss(new Fingerprint(content.getFingerprint()), loss.getId(),
							new Loss(nowMs - loss.getAgeMs(), loss.getCleared()));
				}
			}
		}
		enforceBoundsAndUpdateExplained();
	}

	private void addLoss(Fingerprint fingerprint, String lossId, Loss loss) {
		Map<String, Loss> losses = this.lossesByContent.computeIfAbsent(fingerprint, (key) -> new HashMap<>());
		if (losses.size() < MAX_LOSSES_PER_CONTENT || losses.containsKey(lossId)) {
			losses.merge(lossId, loss, Loss::merge);
		}
	}

	private void enforceBoundsAndUpdateExplained() {
		removeExpired();
		while (this.lossesByContent.size() > MAX_CONTENTS) {
			this.lossesByContent.remove(leastSuspected());
		}
		this.explainedLossIds.clear();
		for (Map<String, Loss> losses : this.lossesByContent.values()) {
			if (unclearedCount(losses) >= MAX_BACKEND_LOSSES) {
				this.explainedLossIds.addAll(losses.keySet());
			}
		}
	}

	private void removeExpired() {
		long expiryMs = this.clock.monotonicMs() - LOSS_RETENTION_MS;
		this.lossesByContent.values().forEach((losses) -> losses.values().removeIf((loss) -> loss.atMs <= expiryMs));
		this.lossesByContent.values().removeIf(Map::isEmpty);
	}

	private Fingerprint leastSuspected() {
		return this.lossesByContent.entrySet()
			.stream()
			.min(Comparator
				.comparingInt((Map.Entry<Fingerprint, Map<String, Loss>> entry) -> unclearedCount(entry.getValue()))
				.thenComparingLong((entry) -> newestLossMs(entry.getValue())))
			.orElseThrow()
			.getKey();
	}

	private static int unclearedCount(Map<String, Loss> losses) {
		return (int) losses.values().stream().filter((loss) -> !loss.cleared).count();
	}

	private static long newestLossMs(Map<String, Loss> losses) {
		return losses.values().stream().mapToLong((loss) -> loss.atMs).max().orElse(0);
	}

	private static final class Loss {

		private final long atMs;

		private final boolean cleared;

		private Loss(long atMs, boolean cleared) {
			this.atMs = atMs;
			this.cleared = cleared;
		}

		private Loss merge(Loss other) {
			return new Loss(Math.min(this.atMs, other.atMs), this.cleared || other.cleared);
		}

	}

}
