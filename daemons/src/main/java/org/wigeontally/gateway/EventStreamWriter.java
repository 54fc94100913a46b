package org.wigeontally.gateway;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import io.netty.handler.codec.http.HttpHeaders;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;

import org.wigeontally.fleet.EventStreamSplitter;

/**
 * Writes complete events of a stream to the caller, each once and in order. Events that a
 * resumed stream repeats are dropped. A stream that resumes too late is not joined, since
 * events would be missing: its first new event may be no further from the last one than
 * any two events before. Status and headers are those of the first backend server, even
 * if others resume the stream.
 */
final class EventStreamWriter {

	private final CallerWriter writer;

	// Readers of streams that have had the last event and go on after it.
	private final Set<ResponseReader> connectedReaders = new HashSet<>();

	private long lastEventId = EventStreamSplitter.Event.NO_ID;

	private long longestStep;

	private long writtenEvents;

	private boolean hasEventsWithoutId;

	EventStreamWriter(CallerWriter writer, ResponseReader firstReader, boolean closeConnection) {
		this.writer = writer;
		copyHead(firstReader.status(), firstReader.headers(), writer.response(), closeConnection);
		writer.response().setChunked(true);
	}

	static void copyHead(int status, HttpHeaders headers, HttpServerResponse response, boolean closeConnection) {
		response.setStatusCode(status);
		for (Map.Entry<String, String> header : headers) {
			if (!ConnectionHeaders.contains(header.getKey())) {
				response.headers().add(header.getKey(), header.getValue());
			}
		}
		if (closeConnection) {
			response.putHeader("Connection", "close");
		}
	}

	/**
	 * Writes the events that are available, up to the first one that does not follow.
	 * @param reader provides the events
	 * @return false if an event does not follow those that were written before
	 */
	boolean writeEvents(ResponseReader reader) {
		EventStreamSplitter.Event event = reader.takeEvent();
		while (event != null) {
			boolean follows = (event.id() != EventStreamSplitter.Event.NO_ID) ? writeNumbered(reader, event)
					: writeWithoutId(reader, event);
			if (!follows) {
				return false;
			}
			event = reader.takeEvent();
		}
		return true;
	}

	private boolean writeNumbered(ResponseReader reader, EventStreamSplitter.Event event) {
		if (event.id() <= this.lastEventId) {
			if (event.id() == this.lastEventId) {
				this.connectedReaders.add(reader);
			}
			return true;
		}
		if (hasLastEvent()) {
			long step = event.id() - this.lastEventId;
			if (!isConnected(reader) && this.longestStep > 0 && step > this.longestStep) {
				return false;
			}
			this.longestStep = Math.max(this.longestStep, step);
		}
		this.lastEventId = event.id();
		recordWritten(reader);
		this.writer.write(Buffer.buffer(event.bytes()));
		return true;
	}

	// The place of an event without an id is known only among the events of one stream.
	private boolean writeWithoutId(ResponseReader reader, EventStreamSplitter.Event event) {
		if (!EventSyntax.isComment(event.bytes())) {
			if (!isConnected(reader)) {
				return false;
			}
			this.hasEventsWithoutId = true;
			recordWritten(reader);
		}
		this.writer.write(Buffer.buffer(event.bytes()));
		return true;
	}

	private void recordWritten(ResponseReader reader) {
		this.writtenEvents++;
		this.connectedReaders.clear();
		this.connectedReaders.add(reader);
	}

	private boolean isConnected(ResponseReader reader) {
		return this.writtenEvents == 0 || this.connectedReaders.contains(reader);
	}

	private boolean hasLastEvent() {
		return this.lastEventId != EventStreamSplitter.Event.NO_ID;
	}

	/**
	 * Returns whether a stream that has ended normally is the end of this one too. One
	 * that had neither a new event nor the last one says nothing of events after it.
	 * @param reader reader of the stream
	 * @return true if this stream is complete
	 */
	boolean isEndedBy(ResponseReader reader) {
		return isConnected(reader);
	}

	/**
	 * Returns whether another stream can continue this one.
	 * @return true if all events that were written have an id
	 */
	boolean isResumable() {
		return !this.hasEventsWithoutId;
	}

	long writtenEvents() {
		return this.writtenEvents;
	}

	String lastEventId() {
		return hasLastEvent() ? Long.toString(this.lastEventId) : null;
	}

	void end() {
		this.writer.end();
	}

}
