package org.wigeontally.gateway;

import java.util.Map;

import io.netty.handler.codec.http.HttpHeaders;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;

import org.wigeontally.fleet.EventStreamSplitter;

/**
 * Passes whole events of a stream on to the caller, each once and in order. The head is
 * that of the first backend server, also if others go on with the stream.
 */
final class EventStreamWriter {

	private final HttpServerResponse response;

	private long lastId = EventStreamSplitter.Event.NO_ID;

	EventStreamWriter(HttpServerResponse response, ResponseReader first, boolean leaving) {
		this.response = response;
		copyHead(first.status(), first.headers(), response, leaving);
		response.setChunked(true);
	}

	static void copyHead(int status, HttpHeaders headers, HttpServerResponse response, boolean leaving) {
		response.setStatusCode(status);
		for (Map.Entry<String, String> header : headers) {
			if (!ConnectionHeaders.contains(header.getKey())) {
				response.headers().add(header.getKey(), header.getValue());
			}
		}
		if (leaving) {
			response.putHeader("Connection", "close");
		}
	}

	void writeEvents(ResponseReader reader) {
		EventStreamSplitter.Event event = reader.takeEvent();
		while (event != null) {
			boolean repeated = event.id() != EventStreamSplitter.Event.NO_ID && event.id() <= this.lastId;
			if (!repeated) {
				if (event.id() != EventStreamSplitter.Event.NO_ID) {
					this.lastId = event.id();
				}
				this.response.write(Buffer.buffer(event.bytes()));
			}
			event = reader.takeEvent();
		}
	}

	String lastEventId() {
		return (this.lastId == EventStreamSplitter.Event.NO_ID) ? null : Long.toString(this.lastId);
	}

	void end() {
		this.response.end();
	}

}
