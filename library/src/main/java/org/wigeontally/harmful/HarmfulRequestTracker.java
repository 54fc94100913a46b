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
 * Detects requests whose content brings backend servers down.
 *
 * <p>
 * A caller may resend such a request through another entry and with a new id, so entries
 * count losses per content and exchange them immediately. An entry that detects a loss
 * informs all entries before it responds to the caller or retries, so that a resent
 * request reaches an entry that knows of the loss. After {@link #MAX_BACKEND_LOSSES}
 * losses the content is refused.
 *
 * <p>
 * All contents that ran on a backend server when it was lost are suspected, including
 * harmless ones. Three rules separate them. A suspect that completes is cleared of its
 * losses. A suspect does not run concurrently with another suspect (enforced by the
 * agents), so a second loss makes only one content harmful. A loss that is explained by a
 * harmful content no longer makes other contents suspects.
 *
 * <p>
 * The state is a set of (content, loss) pairs, each of which is cleared or not. A merge
 * is a union in which "cleared" and the greater age take precedence, so it is idempotent
 * and commutative, and a loss expires {@link #LOSS_RETENTION_MS} after it happened,
 * however often entries exchange it. The number of contents and the number of losses per
 * content are bounded; the content with the fewest losses is evicted first, and among
 * these the one whose latest loss is oldest. Thread-safe.
 */
public final class HarmfulRequestTracker {

	/** Number of backend server losses after which a content is refused. */
	public static final int MAX_BACKEND_LOSSES = 2;

	/** Time after which a loss expires. */
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
	 * Creates an empty tracker.
	 * @param clock source of time
	 * @return the tracker
	 */
	public static HarmfulRequestTracker create(Clock clock) {
		return new HarmfulRequestTracker(clock);
	}

	/**
	 * Classifies a content before it is sent to a backend server.
	 * @param fingerprint fingerprint of the content
	 * @return the classification
	 */
	public synchronized Suspicion classify(Fingerprint fingerprint) {
		Map<String, Loss> losses = this.lossesByContent.get(fingerprint);
		if (losses == null) {
			return Suspicion.NONE;
		}
		removeExpired();
		int count = unclearedCount(losses);
		if (count >= MAX_BACKEND_LOSSES) {
			long expiresInMs = newestLossMs(losses) + LOSS_RETENTION_MS - this.clock.monotonicMs();
			return new Suspicion(Suspicion.Level.HARMFUL, count, expiresInMs);
		}
		boolean suspected = losses.entrySet()
			.stream()
			.anyMatch((entry) -> !entry.getValue().cleared && !this.explainedLossIds.contains(entry.getKey()));
		return suspected ? new Suspicion(Suspicion.Level.SUSPECT, count, 0) : Suspicion.NONE;
	}

	/**
	 * Records that a backend server was lost.
	 * @param lossId id of the loss, the same at all entries
	 * @param running fingerprints of the requests that were running there
	 */
	public synchronized void recordBackendLoss(String lossId, Collection<Fingerprint> running) {
		for (Fingerprint fingerprint : running) {
			addLoss(fingerprint, lossId, new Loss(this.clock.monotonicMs(), false));
		}
		enforceBoundsAndUpdateExplained();
	}

	/**
	 * Records that a request with a content completed.
	 * @param fingerprint fingerprint of the content
	 * @return true if this cleared the content of losses, in which case other entries are
	 * to be informed
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
	 * Returns all contents with losses, for exchange with other entries.
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
	 * Merges the summary of another entry.
	 * @param summary summary of the other entry
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
		long cutoffMs = this.clock.monotonicMs() - LOSS_RETENTION_MS;
		this.lossesByContent.values().forEach((losses) -> losses.values().removeIf((loss) -> loss.atMs <= cutoffMs));
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
