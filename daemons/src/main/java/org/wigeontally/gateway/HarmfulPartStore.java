package org.wigeontally.gateway;

import java.nio.charset.StandardCharsets;
import java.util.Collection;

import com.google.protobuf.InvalidProtocolBufferException;
import io.vertx.core.Future;

import org.wigeontally.eventlog.LogEvent;
import org.wigeontally.fleet.CompactedTopic;
import org.wigeontally.fleet.StorePosition;
import org.wigeontally.harmful.HarmfulPartTracker;
import org.wigeontally.harmful.PromptPart;
import org.wigeontally.misc.Clock;
import org.wigeontally.platform.wire.StoreClient;
import org.wigeontally.platform.wire.StoreTopic;
import org.wigeontally.schema.generated.BackendLoss;
import org.wigeontally.schema.generated.HarmfulPartRecord;
import org.wigeontally.schema.generated.SuspectContent;
import org.wigeontally.schema.generated.SuspectSummary;

/**
 * Keeps harmful parts of prompts in the store, so that they need not be found again, at
 * the cost of further crashes, when all entries have lost power. Runs on the event loop.
 */
final class HarmfulPartStore {

	/** Pause after the first call that failed; it doubles with each further one. */
	private static final long INITIAL_RETRY_MS = 1_000;

	private static final long MAX_RETRY_MS = 30_000;

	/** A greater difference between the clocks of two hosts is an error. */
	private static final long MAX_CLOCK_DIFFERENCE_MS = 600_000;

	/** Longest key that the store accepts. */
	private static final int MAX_KEY_BYTES = 255;

	private final GatewayContext context;

	private final Clock clock;

	private final StoreClient store;

	HarmfulPartStore(GatewayContext context, Clock clock, StoreClient store) {
		this.context = context;
		this.clock = clock;
		this.store = store;
	}

	/**
	 * Reads what entries have found earlier, as soon as the store answers.
	 */
	void restore() {
		restore(INITIAL_RETRY_MS);
	}

	private void restore(long retryMs) {
		this.store.readSnapshot(StoreTopic.HARMFUL_PARTS)
			.onSuccess((page) -> page.records().forEach(this::apply))
			.onFailure((failure) -> {
				logFailure(failure);
				this.context.vertx().setTimer(retryMs, (id) -> restore(Math.min(MAX_RETRY_MS, retryMs * 2)));
			});
	}

	private void apply(CompactedTopic.TopicRecord topicRecord) {
		if (topicRecord.removed() || topicRecord.value().length == 0) {
			return;
		}
		try {
			HarmfulPartRecord part = HarmfulPartRecord.parseFrom(topicRecord.value());
			String fault = describeFault(topicRecord.key(), part);
			if (fault != null) {
				logUnreadable(topicRecord, fault);
				return;
			}
			long elapsedMs = Math.max(0, this.clock.wallMs() - part.getWrittenAtMs());
			SuspectContent.Builder content = part.getContent().toBuilder().clearTrialAgeMs();
			for (BackendLoss.Builder loss : content.getLossesBuilderList()) {
				loss.setAgeMs(loss.getAgeMs() + elapsedMs);
			}
			this.context.harmfulParts().merge(SuspectSummary.newBuilder().addContents(content).build(), "store");
		}
		catch (InvalidProtocolBufferException ex) {
			logUnreadable(topicRecord, ex.getMessage());
		}
	}

	// Requests are refused because of these records, so they must be plausible. Returns
	// null if they are.
	private String describeFault(String key, HarmfulPartRecord part) {
		if (!key.equals(key(new PromptPart(part.getContent().getService(), part.getContent().getPartId())))) {
			return "it is about another part than its key";
		}
		if (part.getWrittenAtMs() < 0 || part.getWrittenAtMs() > this.clock.wallMs() + MAX_CLOCK_DIFFERENCE_MS) {
			return "it was written at " + part.getWrittenAtMs();
		}
		for (BackendLoss loss : part.getContent().getLossesList()) {
			if (loss.getAgeMs() < 0 || loss.getAgeMs() > HarmfulPartTracker.LOSS_RETENTION_MS) {
				return "a loss is " + loss.getAgeMs() + " ms old";
			}
		}
		return null;
	}

	private void logUnreadable(CompactedTopic.TopicRecord topicRecord, String reason) {
		this.context.log()
			.write(LogEvent.RECORD_UNREADABLE, "key", topicRecord.key(), "position",
					StorePosition.format(topicRecord.position()), "reason", reason);
	}

	private static String key(PromptPart part) {
		return part.service() + "/" + part.id();
	}

	/**
	 * Writes the harmful parts again, because the store has lost what was written lately.
	 */
	void writeAll() {
		write(this.context.harmfulParts().harmfulParts());
	}

	/**
	 * Writes harmful parts.
	 * @param parts the parts
	 */
	void write(Collection<PromptPart> parts) {
		for (SuspectContent content : this.context.harmfulParts().summary().getContentsList()) {
			PromptPart part = new PromptPart(content.getService(), content.getPartId());
			if (parts.contains(part)) {
				write(part, content, this.clock.wallMs(), INITIAL_RETRY_MS);
			}
		}
	}

	private void write(PromptPart part, SuspectContent content, long writtenAtMs, long retryMs) {
		byte[] value = HarmfulPartRecord.newBuilder()
			.setContent(content)
			.setWrittenAtMs(writtenAtMs)
			.build()
			.toByteArray();
		write(part, value).onFailure((failure) -> {
			logFailure(failure);
			this.context.vertx().setTimer(retryMs, (id) -> {
				if (this.context.harmfulParts().harmfulParts().contains(part)) {
					write(part, content, writtenAtMs, Math.min(MAX_RETRY_MS, retryMs * 2));
				}
			});
		});
	}

	/**
	 * Removes a part that an operator has allowed again. If the store is away, the record
	 * stays until its losses expire.
	 * @param part the part
	 */
	void remove(PromptPart part) {
		write(part, new byte[0]).onFailure(this::logFailure);
	}

	private Future<Void> write(PromptPart part, byte[] value) {
		String key = key(part);
		if (key.getBytes(StandardCharsets.UTF_8).length > MAX_KEY_BYTES) {
			this.context.log()
				.write(LogEvent.PROMPT_PART, "service", part.service(), "part", part.id(), "reason",
						"not kept in the store, its name is too long");
			return Future.succeededFuture();
		}
		return this.store.write(StoreTopic.HARMFUL_PARTS, key, value);
	}

	private void logFailure(Throwable failure) {
		this.context.log()
			.write(LogEvent.STORE_LOST, "topic", StoreTopic.HARMFUL_PARTS, "reason", failure.getMessage());
	}

}
