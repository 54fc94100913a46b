package org.wigeontally.harmful;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

import org.wigeontally.misc.Clock;
import org.wigeontally.schema.generated.SuspectContent;
import org.wigeontally.schema.generated.SuspectContentOrBuilder;
import org.wigeontally.schema.generated.SuspectSummary;

/**
 * Detects parts of prompts that crash the backend server that begins to answer them.
 *
 * <p>
 * The requests with such a part differ in everything else and arrive at any entry, so no
 * request is ever seen twice, and each entry sees few of the losses. What they have in
 * common has to be found from all losses together. This is group testing: every loss is a
 * test of the requests that waited for the first events of their answers, and the other
 * parts of these requests, which sound requests share, must not be blamed.
 *
 * <p>
 * Three kinds of evidence are used. A loss counts against each part of the requests whose
 * answers had not begun; a request with events is no suspect, since its answer had begun
 * without a crash. An answer that begins after a loss clears the parts of its prompt, so
 * a part that is in most prompts is cleared within milliseconds. Parts with
 * {@link #LOSSES_BEFORE_TRIAL} losses or more are on trial: one request at a time is sent
 * to find out, and the others with that part are refused meanwhile. Its answer clears the
 * part; a further loss makes it harmful, and its requests are refused.
 *
 * <p>
 * Counting alone would not do: a disruption that takes down several backend servers at
 * once counts several times against a part that many prompts have. A trial that ends in a
 * loss is therefore not conclusive if other backend servers are lost at the same time, or
 * if several parts of its request were on trial. Two such trials are needed, and parts
 * that were only tried together are refused only together. A loss that is explained by a
 * harmful part does not count against others.
 *
 * <p>
 * Entries exchange losses, answers that cleared them and trials under way as a
 * {@link LossTable}, which is idempotent and commutative. The entry that sees an answer
 * begin may not have heard of the loss yet, so it keeps the time of the last answer of
 * each part and clears the loss when it arrives. Used by one thread.
 */
public final class HarmfulPartTracker {

	/** Losses from which on one request at a time is sent. */
	public static final int LOSSES_BEFORE_TRIAL = 2;

	/** Losses, with that of a trial among them, from which on a part is refused. */
	public static final int MAX_BACKEND_LOSSES = 3;

	/** Trials without a conclusive result after which a part is refused all the same. */
	private static final int MAX_INCONCLUSIVE_TRIALS = 2;

	/** Time after which a part with several losses is forgotten. */
	public static final long LOSS_RETENTION_MS = 600_000;

	/** Time after which a part with one loss is forgotten. */
	static final long SINGLE_LOSS_RETENTION_MS = 60_000;

	/**
	 * Time for which a cleared loss is kept after it was cleared, so that every entry
	 * hears of it.
	 */
	private static final long CLEARED_RETENTION_MS = 10_000;

	/**
	 * Longest time for which a trial keeps other requests back. A loaded engine takes
	 * about a second to begin an answer.
	 */
	static final long TRIAL_MS = 1_500;

	/** Losses that are closer to each other may have one cause, such as a lost zone. */
	private static final long SIMULTANEOUS_MS = 1_000;

	private static final long EXPIRY_INTERVAL_MS = 1_000;

	/** Number of losses and of answered parts whose times are kept. */
	private static final int MAX_TIMES = 4_096;

	/**
	 * An answer that begins up to this long before a loss clears it too. Entries compare
	 * their clocks by ages, to which the time on the way is added.
	 */
	static final long AGE_TOLERANCE_MS = 50;

	private final Clock clock;

	private final RandomGenerator random = RandomGenerator.of("L64X128MixRandom");

	private final LossTable<PromptPart> table = new LossTable<>(new PartCodec());

	private final Map<PromptPart, PartTrial> trials = new HashMap<>();

	private final Map<PromptPart, Long> lastAnswersMs = boundedMap();

	private final Map<String, Long> lossTimesMs = boundedMap();

	private final Set<PromptPart> harmfulParts = new HashSet<>();

	private final Set<String> explainedLossIds = new HashSet<>();

	private long lastExpiryMs;

	private HarmfulPartTracker(Clock clock) {
		this.clock = clock;
		this.lastExpiryMs = clock.monotonicMs();
	}

	/**
	 * Creates an empty tracker.
	 * @param clock source of time
	 * @return the tracker
	 */
	public static HarmfulPartTracker create(Clock clock) {
		return new HarmfulPartTracker(clock);
	}

	// Keeps the entries that were used last.
	private static <K> Map<K, Long> boundedMap() {
		return new LinkedHashMap<>(16, 0.75f, true) {

			@Override
			protected boolean removeEldestEntry(Map.Entry<K, Long> eldest) {
				return size() > MAX_TIMES;
			}

		};
	}

	/**
	 * Decides whether a request may be sent.
	 * @param parts shared parts of its prompt
	 * @return the decision
	 */
	public PartAdmission admit(Collection<PromptPart> parts) {
		removeExpiredIfDue();
		Set<PromptPart> tried = new HashSet<>();
		int mostLosses = 0;
		boolean refusedTogether = true;
		for (PromptPart part : parts) {
			if (this.harmfulParts.contains(part)) {
				return refusal(Set.of(part));
			}
			int losses = openLosses(part);
			if (losses >= LOSSES_BEFORE_TRIAL) {
				tried.add(part);
				mostLosses = Math.max(mostLosses, losses);
				refusedTogether &= trials(part, Loss.Trial.WITH_OTHERS) >= MAX_INCONCLUSIVE_TRIALS;
			}
		}
		if (tried.isEmpty()) {
			return PartAdmission.SEND;
		}
		if (tried.size() > 1 && refusedTogether) {
			return refusal(Set.copyOf(tried));
		}
		long waitMs = 0;
		for (PromptPart part : tried) {
			waitMs = Math.max(waitMs, remainingTrialMs(part));
		}
		return (waitMs > 0) ? new PartAdmission(PartAdmission.Action.WAIT, Set.copyOf(tried), mostLosses, waitMs)
				: new PartAdmission(PartAdmission.Action.TRY, Set.copyOf(tried), mostLosses, 0);
	}

	private PartAdmission refusal(Set<PromptPart> parts) {
		int losses = 0;
		long newestMs = this.clock.monotonicMs();
		for (PromptPart part : parts) {
			Collection<Loss> partLosses = this.table.losses(part).values();
			losses = Math.max(losses, LossTable.unclearedCount(partLosses));
			newestMs = Math.min(newestMs, LossTable.newestMs(partLosses));
		}
		long expiresInMs = newestMs + LOSS_RETENTION_MS - this.clock.monotonicMs();
		return new PartAdmission(PartAdmission.Action.REFUSE, parts, losses, expiresInMs);
	}

	/**
	 * Records that a request on trial is sent.
	 * @param parts parts for which it is on trial
	 */
	public void trialStarted(Collection<PromptPart> parts) {
		for (PromptPart part : parts) {
			this.trials.put(part, new PartTrial(1 + this.random.nextLong(Long.MAX_VALUE), this.clock.monotonicMs()));
		}
	}

	/**
	 * Records that a request on trial ended without a result, so that another one can be
	 * tried.
	 * @param parts parts for which it was on trial
	 */
	public void trialEnded(Collection<PromptPart> parts) {
		parts.forEach(this.trials::remove);
	}

	/**
	 * Records that a backend server was lost.
	 * @param lossId id of the loss, the same at all entries
	 * @param lostAtMs when it was lost, on the monotonic clock
	 * @param suspects requests whose answers it had not begun
	 */
	public void recordBackendLoss(String lossId, long lostAtMs, Collection<SuspectRequest> suspects) {
		this.lossTimesMs.merge(lossId, lostAtMs, Math::min);
		for (SuspectRequest suspect : suspects) {
			for (PromptPart part : suspect.parts()) {
				this.table.add(part, lossId, loss(lostAtMs, suspect, part));
				clearAnswered(part);
			}
		}
		update();
	}

	private Loss loss(long lostAtMs, SuspectRequest suspect, PromptPart part) {
		if (!suspect.triedParts().contains(part)) {
			return Loss.of(lostAtMs);
		}
		Loss.Trial kind = (suspect.triedParts().size() == 1) ? Loss.Trial.ALONE : Loss.Trial.WITH_OTHERS;
		PartTrial trial = this.trials.get(part);
		return Loss.of(lostAtMs, kind, (trial != null) ? trial.id() : Loss.NO_TRIAL);
	}

	/**
	 * Records that the answer to a request has begun and its backend server lives.
	 * @param parts shared parts of its prompt
	 * @return true if requests with a part need no longer be kept back, in which case
	 * other entries are to be informed at once
	 */
	public boolean recordAnswerBegun(Collection<PromptPart> parts) {
		boolean cleared = false;
		boolean released = false;
		for (PromptPart part : parts) {
			this.lastAnswersMs.put(part, this.clock.monotonicMs());
			boolean wasKeptBack = isKeptBack(part);
			if (clearAnswered(part)) {
				cleared = true;
				released |= wasKeptBack;
			}
		}
		if (cleared) {
			update();
		}
		return released;
	}

	private boolean isKeptBack(PromptPart part) {
		return this.harmfulParts.contains(part) || openLosses(part) >= LOSSES_BEFORE_TRIAL;
	}

	private boolean clearAnswered(PromptPart part) {
		Long lastAnswerMs = this.lastAnswersMs.get(part);
		return lastAnswerMs != null
				&& this.table.clear(part, lastAnswerMs + AGE_TOLERANCE_MS, this.clock.monotonicMs());
	}

	/**
	 * Clears a part of all losses, because an operator says that it is harmless.
	 * @param part the part
	 * @return true if it had losses
	 */
	public boolean lift(PromptPart part) {
		boolean lifted = this.table.clear(part, Long.MAX_VALUE, this.clock.monotonicMs());
		update();
		return lifted;
	}

	/**
	 * Returns the parts whose requests are refused.
	 * @return the parts
	 */
	public Set<PromptPart> harmfulParts() {
		removeExpiredIfDue();
		return Set.copyOf(this.harmfulParts);
	}

	/**
	 * Returns all parts with losses, for exchange with other entries.
	 * @return the summary
	 */
	public SuspectSummary summary() {
		removeExpiredIfDue();
		long nowMs = this.clock.monotonicMs();
		SuspectSummary.Builder summary = this.table.summary(nowMs);
		for (SuspectContent.Builder content : summary.getContentsBuilderList()) {
			PartTrial trial = this.trials.get(PartCodec.part(content));
			if (trial != null && nowMs - trial.startMs() < TRIAL_MS) {
				content.setTrialId(trial.id()).setTrialAgeMs(nowMs - trial.startMs());
			}
		}
		return summary.build();
	}

	/**
	 * Merges the summary of another entry.
	 * @param summary summary of the other entry
	 * @return true if this entry knows of an answer that began since and that releases a
	 * part, in which case other entries are to be informed at once
	 */
	public boolean merge(SuspectSummary summary) {
		long nowMs = this.clock.monotonicMs();
		boolean changed = this.table.merge(summary, nowMs, LOSS_RETENTION_MS, CLEARED_RETENTION_MS);
		boolean released = false;
		for (SuspectContent content : summary.getContentsList()) {
			PromptPart part = PartCodec.part(content);
			boolean wasKeptBack = isKeptBack(part);
			if (clearAnswered(part)) {
				changed = true;
				released |= wasKeptBack;
			}
			if (content.hasTrialAgeMs()) {
				this.trials.merge(part,
						new PartTrial(content.getTrialId(), nowMs - Math.max(0, content.getTrialAgeMs())),
						PartTrial::merge);
			}
		}
		if (changed) {
			update();
		}
		return released;
	}

	private int openLosses(PromptPart part) {
		int count = 0;
		for (Map.Entry<String, Loss> entry : this.table.losses(part).entrySet()) {
			count += (!entry.getValue().cleared() && !this.explainedLossIds.contains(entry.getKey())) ? 1 : 0;
		}
		return count;
	}

	private int trials(PromptPart part, Loss.Trial kind) {
		int count = 0;
		for (Loss loss : this.table.losses(part).values()) {
			count += (!loss.cleared() && loss.trial() == kind) ? 1 : 0;
		}
		return count;
	}

	private long remainingTrialMs(PromptPart part) {
		PartTrial trial = this.trials.get(part);
		if (trial == null) {
			return 0;
		}
		for (Loss loss : this.table.losses(part).values()) {
			if (loss.trialId() == trial.id()) {
				return 0;
			}
		}
		return Math.max(0, trial.startMs() + TRIAL_MS - this.clock.monotonicMs());
	}

	private void update() {
		removeExpired();
		this.table.enforceBounds();
		this.table.all()
			.values()
			.forEach((losses) -> losses.forEach((id, loss) -> this.lossTimesMs.merge(id, loss.atMs(), Math::min)));
		this.harmfulParts.clear();
		this.explainedLossIds.clear();
		TreeMap<Long, Set<String>> lossesByTime = new TreeMap<>();
		this.lossTimesMs.forEach((id, atMs) -> lossesByTime.computeIfAbsent(atMs, (key) -> new HashSet<>()).add(id));
		for (Map.Entry<PromptPart, Map<String, Loss>> entry : this.table.all().entrySet()) {
			if (isHarmful(entry.getValue(), lossesByTime)) {
				this.harmfulParts.add(entry.getKey());
				this.explainedLossIds.addAll(entry.getValue().keySet());
			}
		}
	}

	private static boolean isHarmful(Map<String, Loss> losses, TreeMap<Long, Set<String>> lossesByTime) {
		if (LossTable.unclearedCount(losses.values()) < MAX_BACKEND_LOSSES) {
			return false;
		}
		int inconclusive = 0;
		for (Loss loss : losses.values()) {
			if (loss.cleared() || loss.trial() != Loss.Trial.ALONE) {
				continue;
			}
			if (!hasUnrelatedLoss(losses, loss, lossesByTime)) {
				return true;
			}
			inconclusive++;
		}
		return inconclusive >= MAX_INCONCLUSIVE_TRIALS;
	}

	private static boolean hasUnrelatedLoss(Map<String, Loss> losses, Loss loss,
			TreeMap<Long, Set<String>> lossesByTime) {
		if (LossTable.isFull(losses)) {
			// Those that are not kept would be taken for unrelated ones.
			return false;
		}
		return lossesByTime.subMap(loss.atMs() - SIMULTANEOUS_MS, true, loss.atMs() + SIMULTANEOUS_MS, true)
			.values()
			.stream()
			.anyMatch((ids) -> !losses.keySet().containsAll(ids));
	}

	private void removeExpiredIfDue() {
		if (this.clock.monotonicMs() - this.lastExpiryMs >= EXPIRY_INTERVAL_MS) {
			update();
		}
	}

	private void removeExpired() {
		long nowMs = this.clock.monotonicMs();
		this.lastExpiryMs = nowMs;
		this.table.removeIf((loss, uncleared) -> isExpired(loss, uncleared, nowMs));
		this.lossTimesMs.values().removeIf((atMs) -> nowMs - atMs >= LOSS_RETENTION_MS);
		this.trials.values().removeIf((trial) -> nowMs - trial.startMs() >= TRIAL_MS);
	}

	private static boolean isExpired(Loss loss, int uncleared, long nowMs) {
		if (loss.cleared()) {
			return nowMs - loss.clearedAtMs() >= CLEARED_RETENTION_MS;
		}
		long retentionMs = (uncleared >= LOSSES_BEFORE_TRIAL) ? LOSS_RETENTION_MS : SINGLE_LOSS_RETENTION_MS;
		return nowMs - loss.atMs() >= retentionMs;
	}

	/**
	 * A trial under way, here or at another entry.
	 *
	 * @param id identifies it at all entries
	 * @param startMs when its request was sent
	 */
	private record PartTrial(long id, long startMs) {

		private PartTrial merge(PartTrial other) {
			if (this.id == other.id) {
				return new PartTrial(this.id, Math.min(this.startMs, other.startMs));
			}
			return (this.startMs >= other.startMs) ? this : other;
		}

	}

	private static final class PartCodec implements LossTable.ContentCodec<PromptPart> {

		@Override
		public void write(PromptPart content, SuspectContent.Builder message) {
			message.setService(content.service()).setPartId(content.id());
		}

		@Override
		public PromptPart read(SuspectContent message) {
			return part(message);
		}

		private static PromptPart part(SuspectContentOrBuilder message) {
			return new PromptPart(message.getService(), message.getPartId());
		}

	}

}
