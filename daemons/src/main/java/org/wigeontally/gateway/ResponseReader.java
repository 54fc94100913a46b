package org.wigeontally.gateway;

import java.io.ByteArrayOutputStream;

import io.netty.handler.codec.http.HttpHeaders;

import org.wigeontally.fleet.EventStreamSplitter;
import org.wigeontally.fleet.RequestKind;
import org.wigeontally.platform.wire.WireNames;

/**
 * Reads the answer of one attempt: whole events of a stream, or the whole body.
 */
final class ResponseReader {

	private static final int MISDIRECTED = 421;

	private final int status;

	private final HttpHeaders headers;

	private final boolean eventStream;

	private final EventStreamSplitter splitter = EventStreamSplitter.create();

	private final ByteArrayOutputStream body = new ByteArrayOutputStream();

	private EventStreamSplitter.Event nextEvent;

	ResponseReader(int status, HttpHeaders headers, RequestKind kind) {
		this.status = status;
		this.headers = headers;
		String type = headers.get("Content-Type", "");
		this.eventStream = kind == RequestKind.STREAM && status >= 200 && status < 300
				&& type.startsWith("text/event-stream");
	}

	/**
	 * Returns why the head shows that this is no answer of the backend server.
	 * @return the reason, or null if there is none
	 */
	String headError() {
		if (this.status >= 200 && this.status < 300 && !this.headers.contains(WireNames.SIGNATURE)) {
			return "success without signature";
		}
		String encoding = this.headers.get("Content-Encoding");
		if (encoding != null && !encoding.equalsIgnoreCase("identity")) {
			return "encoded body";
		}
		return null;
	}

	int status() {
		return this.status;
	}

	HttpHeaders headers() {
		return this.headers;
	}

	boolean isNotRun() {
		return this.status == MISDIRECTED || this.headers.contains(WireNames.NOT_RUN);
	}

	boolean isEventStream() {
		return this.eventStream;
	}

	void append(byte[] bytes) {
		if (this.eventStream) {
			this.splitter.add(bytes);
		}
		else {
			this.body.writeBytes(bytes);
		}
	}

	boolean hasEvent() {
		if (this.nextEvent == null) {
			this.nextEvent = this.splitter.next();
		}
		return this.nextEvent != null;
	}

	EventStreamSplitter.Event takeEvent() {
		EventStreamSplitter.Event taken = hasEvent() ? this.nextEvent : null;
		this.nextEvent = null;
		return taken;
	}

	boolean hasPartialEvent() {
		return this.splitter.hasPartialEvent();
	}

	BufferedResponse toBufferedResponse() {
		return new BufferedResponse(this.status, this.headers, this.body.toByteArray());
	}

}
