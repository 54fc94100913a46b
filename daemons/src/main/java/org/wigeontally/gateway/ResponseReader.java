package org.wigeontally.gateway;

import java.util.Set;

import io.netty.handler.codec.http.HttpHeaders;

import org.wigeontally.fleet.EventStreamSplitter;
import org.wigeontally.fleet.RequestKind;
import org.wigeontally.platform.wire.WireNames;

/**
 * Reads the response to one attempt, either as complete events of a stream or as a
 * complete body.
 */
final class ResponseReader {

	private static final int MISDIRECTED = 421;

	/** Statuses of responses that can say that the request did not run. */
	private static final Set<Integer> REFUSALS = Set.of(400, MISDIRECTED, 429, 503);

	/** Maximum size of a response that is not a stream. */
	static final int MAX_BODY_BYTES = 8 * 1024 * 1024;

	/** Maximum size of an event, without the events before it. */
	static final int MAX_EVENT_BYTES = 256 * 1024;

	private final int status;

	private final HttpHeaders headers;

	private final boolean eventStream;

	private final EventStreamSplitter splitter = EventStreamSplitter.create();

	private final ByteBlocks body = new ByteBlocks();

	private EventStreamSplitter.Event nextEvent;

	private int takenEvents;

	private boolean malformed;

	ResponseReader(int status, HttpHeaders headers, RequestKind kind) {
		this.status = status;
		this.headers = headers;
		String type = headers.get("Content-Type", "");
		this.eventStream = kind == RequestKind.STREAM && isSuccess() && type.startsWith("text/event-stream");
	}

	/**
	 * Checks that the status and headers are those of a valid response of a backend
	 * server: a success is signed and does not say that the request did not run, and the
	 * body has no content encoding.
	 * @return a description of the error, or null if there is none
	 */
	String headError() {
		if (isSuccess() && !this.headers.contains(WireNames.SIGNATURE)) {
			return "successful response without a signature";
		}
		if (isSuccess() && this.headers.contains(WireNames.NOT_RUN)) {
			return "successful response that says that the request did not run";
		}
		String encoding = this.headers.get("Content-Encoding");
		if (encoding != null && !encoding.equalsIgnoreCase("identity")) {
			return "response has an unsupported content encoding";
		}
		return null;
	}

	int status() {
		return this.status;
	}

	HttpHeaders headers() {
		return this.headers;
	}

	boolean isSuccess() {
		return this.status >= 200 && this.status < 300;
	}

	/**
	 * Returns whether the response is a refusal that says that the request did not run.
	 * Beside any other status the header proves nothing.
	 * @return true if the request certainly did not run
	 */
	boolean isNotRun() {
		return this.status == MISDIRECTED
				|| (REFUSALS.contains(this.status) && this.headers.contains(WireNames.NOT_RUN));
	}

	boolean isEventStream() {
		return this.eventStream;
	}

	void append(byte[] bytes) {
		if (this.eventStream) {
			this.splitter.add(bytes);
		}
		else {
			this.body.append(bytes);
		}
	}

	/**
	 * Returns whether the response is larger than this entry keeps in memory. An event is
	 * measured after the complete ones were taken.
	 * @return true if the response is to be given up
	 */
	boolean isTooLarge() {
		return this.eventStream ? this.splitter.partialEventBytes() > MAX_EVENT_BYTES
				: this.body.length() > MAX_BODY_BYTES;
	}

	/**
	 * Returns the memory that the response takes at this entry.
	 * @return bytes
	 */
	long heldBytes() {
		return this.eventStream ? this.splitter.partialEventBytes() : this.body.allocatedBytes();
	}

	boolean hasEvent() {
		if (this.nextEvent == null && !this.malformed) {
			EventStreamSplitter.Event event = this.splitter.next();
			this.malformed = event != null && !EventSyntax.isEvent(event.bytes());
			this.nextEvent = this.malformed ? null : event;
		}
		return this.nextEvent != null;
	}

	/**
	 * Returns whether the events that were taken are followed by text that is no event.
	 * @return true if the rest of the stream cannot be used
	 */
	boolean isMalformed() {
		return this.malformed;
	}

	EventStreamSplitter.Event takeEvent() {
		EventStreamSplitter.Event taken = hasEvent() ? this.nextEvent : null;
		this.takenEvents += (taken != null && !EventSyntax.isComment(taken.bytes())) ? 1 : 0;
		this.nextEvent = null;
		return taken;
	}

	/**
	 * Returns how many events were taken so far, without comments.
	 * @return the number
	 */
	int takenEvents() {
		return this.takenEvents;
	}

	/**
	 * Returns whether a stream that has ended was broken off: within an event, or before
	 * the first one if only the end of its connection says that it is complete.
	 * @param delimitedByClose true if only the end of the connection says so
	 * @return true if the stream is not complete
	 */
	boolean isBrokenOff(boolean delimitedByClose) {
		return this.eventStream
				&& (this.splitter.hasPartialEvent() || (delimitedByClose && this.takenEvents == 0 && !hasEvent()));
	}

	BufferedResponse toBufferedResponse() {
		return new BufferedResponse(this.status, this.headers, this.body);
	}

}
