package org.wigeontally.gateway;

import java.util.Map;

import io.netty.handler.codec.http.HttpHeaders;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;

import org.wigeontally.fleet.EventStreamSplitter;

/**
 * Writes complete events of a stream to the caller, each once and in order. Events that a
 * resumed stream repeats are dropped. Status and headers are those of the first backend
 * server, even if others resume the stream.
 */
final class EventStreamWriter {

	private final HttpServerResponse response;

	private long lastEventId = EventStreamSplitter.Event.NO_ID;

	EventStreamWriter(HttpServerResponse response, ResponseReader firstReader, boolean closeConnection) {
		this.response = response;
		copyHead(firstReader.status(), firstReader.headers(), response, closeConnection);
		response.setChunked(true);
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

	void writeEvents(ResponseReader reader) {
		EventStreamSplitter.Event event = reader.takeEvent();
		while (event != null) {
			boolean repeated = event.id() != EventStreamSplitter.Event.NO_ID && event.id() <= this.lastEventId;
			if (!repeated) {
				if (event.id() != EventStreamSplitter.Event.NO_ID) {
					this.lastEventId = event.id();
				}
				this.response.write(Buffer.buffer(event.bytes()));
			}
			event = reader.takeEvent();
		}
	}

	String lastEventId() {
		return (this.lastEventId == EventStreamSplitter.Event.NO_ID) ? null : Long.toString(this.lastEventId);
	}

	void end() {
		this.response.end();
	}

}
