package org.wigeontally.spread;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;

import org.wigeontally.schema.generated.ChunkMapDelta;

/**
 * Streams the chunk map of one version to the peers that follow it. Each message carries
 * the chunks verified since the previous message, so its cost does not depend on the size
 * of the version. A message is a four-byte length followed by a {@link ChunkMapDelta}.
 * Used on the control context.
 */
final class ChunkMapPublisher {

	/**
	 * Less than the time in which a link of some Mbit/s carries a chunk, because a chunk
	 * that nobody knows of leaves links idle.
	 */
	private static final long MIN_FLUSH_INTERVAL_MS = 20;

	private final Vertx vertx;

	/** Indexes of verified chunks in the order of their verification. */
	private final List<Integer> verifiedChunks = new ArrayList<>();

	private final Set<Subscriber> subscribers = new HashSet<>();

	private boolean flushScheduled;

	ChunkMapPublisher(Vertx vertx) {
		this.vertx = vertx;
	}

	void addSubscriber(HttpServerResponse response) {
		Subscriber subscriber = new Subscriber(response);
		this.subscribers.add(subscriber);
		response.exceptionHandler((cause) -> subscriber.closed = true);
		response.closeHandler((end) -> subscriber.closed = true);
		subscriber.sendNewChunks(this.verifiedChunks);
	}

	void addVerifiedChunk(int chunk) {
		this.verifiedChunks.add(chunk);
		if (!this.flushScheduled) {
			this.flushScheduled = true;
			this.vertx.setTimer(MIN_FLUSH_INTERVAL_MS, (id) -> flush());
		}
	}

	private void flush() {
		this.flushScheduled = false;
		this.subscribers.removeIf((subscriber) -> subscriber.closed);
		for (Subscriber subscriber : this.subscribers) {
			subscriber.sendNewChunks(this.verifiedChunks);
		}
	}

	void close() {
		for (Subscriber subscriber : this.subscribers) {
			subscriber.response.end();
		}
		this.subscribers.clear();
	}

	/**
	 * A peer that follows the chunk map. An update is skipped while the write queue of
	 * the peer is full; the next update includes the skipped chunks.
	 */
	private static final class Subscriber {

		private final HttpServerResponse response;

		private int sentCount;

		private volatile boolean closed;

		Subscriber(HttpServerResponse response) {
			this.response = response;
		}

		void sendNewChunks(List<Integer> verifiedChunks) {
			if (this.closed || this.response.writeQueueFull()) {
				return;
			}
			ChunkMapDelta delta = ChunkMapDelta.newBuilder()
				.addAllVerified(verifiedChunks.subList(this.sentCount, verifiedChunks.size()))
				.build();
			this.sentCount = verifiedChunks.size();
			byte[] bytes = delta.toByteArray();
			this.response.write(Buffer.buffer().appendInt(bytes.length).appendBytes(bytes));
		}

	}

}
