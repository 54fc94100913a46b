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
 * Receives the chunk map of one peer as a stream of updates until the follower is closed
 * or the connection fails. Each message is a {@link ChunkMapDelta} after a length prefix;
 * an empty message has no body. Used on the control context.
 */
final class ChunkMapFollower {

	private static final int LENGTH_PREFIX_BYTES = 4;

	private static final int MAX_MESSAGE_BYTES = 1 << 20;

	private final NodeResources resources;

	private final Consumer<List<Integer>> onChunksAdded;

	private final Runnable onDisconnect;

	private HttpClientRequest request;

	private boolean closed;

	/** Length of the message body being read; 0 while a length prefix is read. */
	private int messageBytes;

	private ChunkMapFollower(NodeResources resources, Consumer<List<Integer>> onChunksAdded, Runnable onDisconnect) {
		this.resources = resources;
		this.onChunksAdded = onChunksAdded;
		this.onDisconnect = onDisconnect;
	}

	static ChunkMapFollower start(NodeResources resources, Address address, String manifestDigest,
			Consumer<List<Integer>> onChunksAdded, Runnable onDisconnect) {
		ChunkMapFollower follower = new ChunkMapFollower(resources, onChunksAdded, onDisconnect);
		resources.fetcher()
			.openRequest(address, "/weights/" + manifestDigest + "/map")
			.onSuccess((request) -> resources.controlContext()
				.runOnContext((now) -> follower.handleRequestOpened(request)))
			.onFailure((cause) -> follower.handleDisconnect());
		return follower;
	}

	private void handleRequestOpened(HttpClientRequest opened) {
		this.request = opened;
		if (this.closed) {
			opened.reset();
			return;
		}
		opened.exceptionHandler((cause) -> handleDisconnect());
		opened.send().onSuccess(this::handleResponse).onFailure((cause) -> handleDisconnect());
	}

	private void handleResponse(HttpClientResponse response) {
		if (response.statusCode() != 200) {
			handleDisconnect();
			return;
		}
		RecordParser parser = RecordParser.newFixed(LENGTH_PREFIX_BYTES);
		parser.handler((record) -> handleRecord(parser, record));
		response.handler((bytes) -> {
			this.resources.counters().recordMapBytes(bytes.length());
			parser.handle(bytes);
		});
		response.exceptionHandler((cause) -> handleDisconnect());
		response.endHandler((end) -> handleDisconnect());
	}

	private void handleRecord(RecordParser parser, Buffer record) {
		if (this.messageBytes == 0) {
			this.messageBytes = record.getInt(0);
			if (this.messageBytes < 0 || this.messageBytes > MAX_MESSAGE_BYTES) {
				this.request.reset();
				return;
			}
			if (this.messageBytes > 0) {
				parser.fixedSizeMode(this.messageBytes);
			}
			return;
		}
		this.messageBytes = 0;
		parser.fixedSizeMode(LENGTH_PREFIX_BYTES);
		handleMessage(record);
	}

	private void handleMessage(Buffer record) {
		try {
			List<Integer> chunks = ChunkMapDelta.parseFrom(record.getBytes()).getVerifiedList();
			this.resources.controlContext().runOnContext((now) -> {
				if (!this.closed) {
					this.onChunksAdded.accept(chunks);
				}
			});
		}
		catch (InvalidProtocolBufferException ex) {
			this.request.reset();
		}
	}

	private void handleDisconnect() {
		this.resources.controlContext().runOnContext((now) -> {
			if (!this.closed) {
				this.closed = true;
				this.onDisconnect.run();
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
