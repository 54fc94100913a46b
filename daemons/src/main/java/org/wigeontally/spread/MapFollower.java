package org.wigeontally.spread;

import java.util.List;
import java.util.function.Consumer;

import com.google.protobuf.InvalidProtocolBufferException;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.parsetools.RecordParser;

import org.wigeontally.schema.generated.Address;
import org.wigeontally.schema.generated.ChunkMapDelta;

/**
 * Follows the chunk map of one peer until it is closed or breaks off. Used on the control
 * context.
 */
final class MapFollower {

	private static final int LENGTH_BYTES = 4;

	private static final int MOST_MESSAGE_BYTES = 1 << 20;

	private final NodeParts parts;

	private final Consumer<List<Integer>> added;

	private final Runnable broken;

	private HttpClientRequest request;

	private boolean closed;

	private int expected;

	private MapFollower(NodeParts parts, Consumer<List<Integer>> added, Runnable broken) {
		this.parts = parts;
		this.added = added;
		this.broken = broken;
	}

	static MapFollower start(NodeParts parts, Address address, String manifest, Consumer<List<Integer>> added,
			Runnable broken) {
		MapFollower follower = new MapFollower(parts, added, broken);
		parts.fetcher()
			.open(address, "/weights/" + manifest + "/map")
			.onSuccess((request) -> parts.control().runOnContext((now) -> follower.opened(request)))
			.onFailure((cause) -> follower.end());
		return follower;
	}

	private void opened(HttpClientRequest opened) {
		this.request = opened;
		if (this.closed) {
			opened.reset();
			return;
		}
		opened.exceptionHandler((cause) -> end());
		opened.send().onSuccess(this::receive).onFailure((cause) -> end());
	}

	private void receive(HttpClientResponse response) {
		if (response.statusCode() != 200) {
			end();
			return;
		}
		RecordParser parser = RecordParser.newFixed(LENGTH_BYTES);
		parser.handler((record) -> parts(parser, record));
		response.handler((bytes) -> {
			this.parts.counters().map(bytes.length());
			parser.handle(bytes);
		});
		response.exceptionHandler((cause) -> end());
		response.endHandler((end) -> end());
	}

	private void parts(RecordParser parser, Buffer record) {
		if (this.expected == 0) {
			this.expected = record.getInt(0);
			if (this.expected < 0 || this.expected > MOST_MESSAGE_BYTES) {
				this.request.reset();
				return;
			}
			if (this.expected > 0) {
				parser.fixedSizeMode(this.expected);
			}
			return;
		}
		this.expected = 0;
		parser.fixedSizeMode(LENGTH_BYTES);
		message(record);
	}

	private void message(Buffer record) {
		try {
			List<Integer> chunks = ChunkMapDelta.parseFrom(record.getBytes()).getVerifiedList();
			this.parts.control().runOnContext((now) -> {
				if (!this.closed) {
					this.added.accept(chunks);
				}
			});
		}
		catch (InvalidProtocolBufferException ex) {
			this.request.reset();
		}
	}

	private void end() {
		this.parts.control().runOnContext((now) -> {
			if (!this.closed) {
				this.closed = true;
				this.broken.run();
			}
		});
	}

	void close() {
		this.closed = true;
		if (this.request != null) {
			this.request.reset();
		}
	}

}
