package org.wigeontally.harmful;

import java.util.Collection;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import org.wigeontally.misc.Clock;
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
 * Losses are kept in a {@link LossTable}, whose merge is idempotent and commutative, and
 * a loss expires {@link #LOSS_RETENTION_MS} after it happened, however often entries
 * exchange it. Thread-safe.
 */
public final class HarmfulRequestTracker {

	/** Number of backend server losses after which a content is refused. */
	public static final int MAX_BACKEND_LOSSES = 2;

	/** Time after which a loss expires. */
	public static final long LOSS_RETENTION_MS = 600_000;

	private final Clock clock;

	private final LossTable<Fingerprint> table = new LossTable<>(new FingerprintCodec());

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
		if (this.table.losses(fingerprint).isEmpty()) {
			return Suspicion.NONE;
		}
		removeExpired();
		Map<String, Loss> losses = this.table.losses(fingerprint);
		int count = LossTable.unclearedCount(losses.values());
		if (count >= MAX_BACKEND_LOSSES) {
			long expiresInMs = LossTable.newestMs(losses.values()) + LOSS_RETENTION_MS - this.clock.monotonicMs();
			return new Suspicion(Suspicion.Level.HARMFUL, count, expiresInMs);
		}
		boolean suspected = losses.entrySet()
			.stream()
			.anyMatch((entry) -> !entry.getValue().cleared() && !this.explainedLossIds.contains(entry.getKey()));
		return suspected ? new Suspicion(Suspicion.Level.SUSPECT, count, 0) : Suspicion.NONE;
	}

	/**
	 * Records that a backend server was lost.
	 * @param lossId id of the loss, the same at all entries
	 * @param running fingerprints of the requests that were running there
	 */
	public synchronized void recordBackendLoss(String lossId, Collection<Fingerprint> running) {
		for (Fingerprint fingerprint : running) {
			this.table.add(fingerprint, lossId, Loss.of(this.clock.monotonicMs()));
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
		boolean cleared = this.table.clear(fingerprint, Long.MAX_VALUE, this.clock.monotonicMs());
		if (cleared) {
			enforceBoundsAndUpdateExplained();
		}
		return cleared;
	}

	/**
	 * Returns all contents with losses, for exchange with other entries.
	 * @return the summary
	 */
	public synchronized SuspectSummary summary() {
		removeExpired();
		return this.table.summary(this.clock.monotonicMs()).build();
	}

	/**
	 * Merges the summary of another entry.
	 * @param summary summary of the other entry
	 */
	public synchronized void merge(SuspectSummary summary) {
		this.table.merge(summary, this.clock.monotonicMs(), LOSS_RETENTION_MS, LOSS_RETENTION_MS);
		enforceBoundsAndUpdateExplained();
	}

	private void enforceBoundsAndUpdateExplained() {
		removeExpired();
		this.table.enforceBounds();
		this.explainedLossIds.clear();
		for (Map<String, Loss> losses : this.table.all().values()) {
			if (LossTable.unclearedCount(losses.values()) >= MAX_BACKEND_LOSSES) {
				this.explainedLossIds.addAll(losses.keySet());
			}
		}
	}

	private void removeExpired() {
		long cutoffMs = this.clock.monotonicMs() - LOSS_RETENTION_MS;
		this.table.removeIf((loss, uncleared) -> loss.atMs() <= cutoffMs);
	}

	private static final class FingerprintCodec implements LossTable.ContentCodec<Fingerprint> {

		@Override
		public void write(Fingerprint content, SuspectContent.Builder message) {
			message.setFingerprint(content.bytes());
		}

		@Override
		public Fingerprint read(SuspectContent message) {
			return new Fingerprint(message.getFingerprint());
		}

	}

}
