package org.wigeontally.harmful;

import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;

import org.wigeontally.schema.generated.BackendLoss;
import org.wigeontally.schema.generated.LossTrial;
import org.wigeontally.schema.generated.SuspectContent;
import org.wigeontally.schema.generated.SuspectSummary;

/**
 * The losses of backend servers by the contents that ran there when they happened.
 *
 * <p>
 * It is a set of (content, loss) pairs. A merge is a union in which "cleared", the
 * greater age and the stronger trial take precedence, so it is idempotent and
 * commutative. The number of contents and the number of losses per content are bounded;
 * the content with the fewest losses is evicted first, and among these the one whose
 * latest loss is oldest. Of one content, cleared losses are evicted before others, and
 * those of trials last. Not thread-safe.
 *
 * @param <C> type of the contents
 */
final class LossTable<C> {

	private static final int MAX_CONTENTS = 4_096;

	private static final int MAX_LOSSES_PER_CONTENT = 16;

	/**
	 * Age below the maximum from which a loss that is not known here is left out. It may
	 * have been forgotten here, and would become younger by the time on the way whenever
	 * entries tell it each other.
	 */
	private static final long FORGOTTEN_MARGIN_MS = 10_000;

	/** Orders the losses of a content by what they say about it. */
	private static final Comparator<Loss> BY_EVIDENCE = Comparator.comparing(Loss::cleared)
		.reversed()
		.thenComparing(Loss::trial)
		.thenComparingLong(Loss::atMs);

	private final Map<C, Map<String, Loss>> lossesByContent = new HashMap<>();

	private final ContentCodec<C> codec;

	LossTable(ContentCodec<C> codec) {
		this.codec = codec;
	}

	/**
	 * Returns the losses of a content.
	 * @param content the content
	 * @return losses by id, unmodifiable; empty if there are none
	 */
	Map<String, Loss> losses(C content) {
		Map<String, Loss> losses = this.lossesByContent.get(content);
		return (losses != null) ? Collections.unmodifiableMap(losses) : Map.of();
	}

	Map<C, Map<String, Loss>> all() {
		return Collections.unmodifiableMap(this.lossesByContent);
	}

	/**
	 * Adds a loss, or what else is known about one.
	 * @param content the content that ran when it happened
	 * @param lossId id of the loss
	 * @param loss the loss
	 * @return true if the table has changed
	 */
	boolean add(C content, String lossId, Loss loss) {
		Map<String, Loss> losses = this.lossesByContent.computeIfAbsent(content, (key) -> new HashMap<>());
		Loss before = losses.get(lossId);
		Loss merged = losses.merge(lossId, loss, Loss::merge);
		if (losses.size() > MAX_LOSSES_PER_CONTENT) {
			losses.values().remove(Collections.min(losses.values(), BY_EVIDENCE));
		}
		return !merged.equals(before);
	}

	/**
	 * Returns whether losses of a content may have been evicted.
	 * @param losses losses of the content
	 * @return true if there are as many as are kept
	 */
	static boolean isFull(Map<String, Loss> losses) {
		return losses.size() >= MAX_LOSSES_PER_CONTENT;
	}

	/**
	 * Clears a content of the losses that happened before a time.
	 * @param content the content
	 * @param beforeMs the time
	 * @param nowMs the current time
	 * @return true if one of them was not cleared
	 */
	boolean clear(C content, long beforeMs, long nowMs) {
		Map<String, Loss> losses = this.lossesByContent.get(content);
		if (losses == null) {
			return false;
		}
		boolean changed = false;
		for (Map.Entry<String, Loss> entry : losses.entrySet()) {
			Loss loss = entry.getValue();
			if (!loss.cleared() && loss.atMs() < beforeMs) {
				entry.setValue(loss.clear(nowMs));
				changed = true;
			}
		}
		return changed;
	}

	/**
	 * Removes losses.
	 * @param expiry decides which ones
	 */
	void removeIf(Expiry expiry) {
		for (Map<String, Loss> losses : this.lossesByContent.values()) {
			int uncleared = unclearedCount(losses.values());
			losses.values().removeIf((loss) -> expiry.isExpired(loss, uncleared));
		}
		this.lossesByContent.values().removeIf(Map::isEmpty);
	}

	void enforceBounds() {
		while (this.lossesByContent.size() > MAX_CONTENTS) {
			this.lossesByContent.remove(leastSuspected());
		}
	}

	private C leastSuspected() {
		return this.lossesByContent.entrySet()
			.stream()
			.min(Comparator
				.comparingInt((Map.Entry<C, Map<String, Loss>> entry) -> unclearedCount(entry.getValue().values()))
				.thenComparingLong((entry) -> newestMs(entry.getValue().values())))
			.orElseThrow()
			.getKey();
	}

	static int unclearedCount(Collection<Loss> losses) {
		int count = 0;
		for (Loss loss : losses) {
			count += loss.cleared() ? 0 : 1;
		}
		return count;
	}

	static long newestMs(Collection<Loss> losses) {
		long newestMs = Long.MIN_VALUE;
		for (Loss loss : losses) {
			newestMs = Math.max(newestMs, loss.atMs());
		}
		return newestMs;
	}

	/**
	 * Returns the table for exchange with other entries.
	 * @param nowMs the current time
	 * @return the summary
	 */
	SuspectSummary.Builder summary(long nowMs) {
		SuspectSummary.Builder summary = SuspectSummary.newBuilder();
		this.lossesByContent.forEach((content, losses) -> {
			SuspectContent.Builder contentSummary = summary.addContentsBuilder();
			this.codec.write(content, contentSummary);
			losses.forEach((id,
					loss) -> contentSummary.addLosses(BackendLoss.newBuilder()
						.setId(id)
						.setAgeMs(nowMs - loss.atMs())
						.setCleared(loss.cleared())
						.setTrial(LossTrial.forNumber(loss.trial().ordinal()))
						.setTrialId(loss.trialId())));
		});
		return summary;
	}

	/**
	 * Adds the losses of another table.
	 * @param summary summary of the other table
	 * @param nowMs the current time
	 * @param maxAgeMs age from which losses are left out
	 * @param clearedRetentionMs age from which cleared losses that are not known here are
	 * left out
	 * @return true if the table has changed
	 */
	boolean merge(SuspectSummary summary, long nowMs, long maxAgeMs, long clearedRetentionMs) {
		boolean changed = false;
		for (SuspectContent contentSummary : summary.getContentsList()) {
			C content = this.codec.read(contentSummary);
			for (BackendLoss loss : contentSummary.getLossesList()) {
				if (loss.getAgeMs() < maxAgeMs && !isForgotten(content, loss, maxAgeMs, clearedRetentionMs)) {
					Loss merged = Loss.of(nowMs - Math.max(0, loss.getAgeMs()), trial(loss), loss.getTrialId());
					changed |= add(content, loss.getId(), loss.getCleared() ? merged.clear(nowMs) : merged);
				}
			}
		}
		return changed;
	}

	// Would otherwise be kept alive by entries that tell it each other in turn.
	private boolean isForgotten(C content, BackendLoss loss, long maxAgeMs, long clearedRetentionMs) {
		if (losses(content).containsKey(loss.getId())) {
			return false;
		}
		return loss.getAgeMs() >= maxAgeMs - FORGOTTEN_MARGIN_MS
				|| (loss.getCleared() && loss.getAgeMs() >= clearedRetentionMs);
	}

	private static Loss.Trial trial(BackendLoss loss) {
		return switch (loss.getTrial()) {
			case LOSS_TRIAL_ALONE -> Loss.Trial.ALONE;
			case LOSS_TRIAL_WITH_OTHERS -> Loss.Trial.WITH_OTHERS;
			default -> Loss.Trial.NONE;
		};
	}

	/**
	 * Decides which losses are forgotten.
	 */
	@FunctionalInterface
	interface Expiry {

		/**
		 * Returns whether a loss is forgotten.
		 * @param loss the loss
		 * @param uncleared number of losses of which its content is not cleared
		 * @return true if it is
		 */
		boolean isExpired(Loss loss, int uncleared);

	}

	/**
	 * Reads and writes contents in messages between entries.
	 *
	 * @param <C> type of the contents
	 */
	interface ContentCodec<C> {

		/**
		 * Writes a content.
		 * @param content the content
		 * @param message message to write it to
		 */
		void write(C content, SuspectContent.Builder message);

		/**
		 * Reads a content.
		 * @param message message that describes it
		 * @return the content
		 */
		C read(SuspectContent message);

	}

}
