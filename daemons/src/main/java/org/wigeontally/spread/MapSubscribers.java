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
 * Streams the chunk map of one version to the peers that follow it: each message carries
 * the chunks verified since the one before, so its cost does not depend on the size of
 * the version. Messages are four bytes of length and a {@link ChunkMapDelta}. Used on the
 * control context.
 */
final class MapSubscribers {

	private static final long LEAST_INTERVAL_MS = 50;

	private final Vertx vertx;

	/** Verified chunks in the order in which they came. */
	private final List<Integer> verified = new ArrayList<>();

	private final Set<Subscriber> subscribers = new HashSet<>();

	private boolean scheduled;

	MapSubscribers(Vertx vertx) {
		this.vertx = vertx;
	}

	void add(HttpServerResponse response) {
		Subscriber subscriber = new Subscriber(response);
		this.subscribers.add(subscriber);
		response.exceptionHandler((cause) -> subscriber.closed = true);
		response.closeHandler((end) -> subscriber.closed = true);
		subscriber.send(this.verified);
	}

	void verified(int chunk) {
		this.verified.add(chunk);
		if (!this.scheduled) {
			this.scheduled = true;
			this.vertx.setTimer(LEAST_INTERVAL_MS, (id) -> flush());
		}
	}

	private void flush() {
		this.scheduled = false;
		this.subscribers.removeIf((subscriber) -> subscriber.closed);
		for (Subscriber subscriber : this.subscribers) {
			subscriber.send(this.verified);
		}
	}

	void close() {
		for (Subscriber subscriber : this.subscribers) {
			subscriber.response.end();
		}
		this.subscribers.clear();
	}

	/**
	 * One follower.
	 */
	private static final class Subscriber {

		private final HttpServerResponse response;

		private int sent;

		private volatile boolean closed;

		Subscriber(HttpServerResponse response) {
			this.response = response;
		}

		void send(List<Integer> verified) {
			if (this.closed || this.response.writeQueueFull()) {
				return;
			}
			ChunkMapDelta delta = ChunkMapDelta.newBuilder()
				.addAllVerified(verified.subList(this.sent, verified.size()))
				.build();
			this.sent = verified.size();
			byte[] bytes = delta.toByteArray();
			this.response.write(Buffer.buffer().appendInt(bytes.length).appendBytes(bytes));
		}

	}

}
