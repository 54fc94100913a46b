package org.wigeontally.gateway;

import java.util.List;
import java.util.Optional;

import io.vertx.core.buffer.Buffer;

import org.wigeontally.eventlog.LogEvent;
import org.wigeontally.fleet.EventStreamSplitter;
import org.wigeontally.streams.StreamSuccession;

/**
 * The event stream that the caller of one request receives. Takes the events of all
 * attempts and writes those of one after the other, as {@link StreamSuccession} decides.
 * Status and headers are those of the first backend server, even if others resume the
 * stream. Runs on the event loop.
 */
final class CallerEventStream {

	private final GatewayContext context;

	private final CallerRequest request;

	private final CallerWriter writer;

	private final StreamSuccession<BackendAttempt> succession;

	private final StreamTimes times = new StreamTimes();

	// Brought the last event that was written.
	private BackendAttempt lastWriter;

	private boolean begun;

	CallerEventStream(GatewayContext context, CallerRequest request, CallerWriter writer) {
		this.context = context;
		this.request = request;
		this.writer = writer;
		this.succession = StreamSuccession.create(resumedAfter(request));
	}

	// Only a stream that may be resumed goes on after the event that the caller names.
	private static long resumedAfter(CallerRequest request) {
		return request.route().isRetryable() ? EventStreamSplitter.parseId(request.lastEventId())
				: EventStreamSplitter.Event.NO_ID;
	}

	/**
	 * Records that the request is sent to a backend server.
	 * @param attempt the attempt
	 */
	void attemptSent(BackendAttempt attempt) {
		this.succession.begin(attempt);
	}

	/**
	 * Takes the events that an attempt has received, up to the first one that does not
	 * follow.
	 * @param attempt the attempt
	 * @param reader provides the events
	 * @return false if an event cannot follow those that the caller has
	 */
	boolean receive(BackendAttempt attempt, ResponseReader reader) {
		if (this.begun) {
			this.times.recordArrival(this.context.nowMs());
		}
		EventStreamSplitter.Event event = reader.takeEvent();
		while (event != null) {
			if (EventSyntax.isComment(event.bytes())) {
				writeComment(attempt, reader, event);
			}
			else {
				Optional<List<EventStreamSplitter.Event>> events = this.succession.receive(attempt, event);
				if (events.isEmpty()) {
					return false;
				}
				write(attempt, reader, events.get());
			}
			event = reader.takeEvent();
		}
		return true;
	}

	private void writeComment(BackendAttempt attempt, ResponseReader reader, EventStreamSplitter.Event comment) {
		if (this.succession.mayComment(attempt)) {
			begin(reader);
			this.writer.write(Buffer.buffer(comment.bytes()));
		}
	}

	private void write(BackendAttempt attempt, ResponseReader reader, List<EventStreamSplitter.Event> events) {
		if (events.isEmpty()) {
			return;
		}
		if (this.lastWriter != null && this.lastWriter != attempt) {
			logTakeover(attempt);
		}
		this.lastWriter = attempt;
		begin(reader);
		events.forEach((event) -> this.writer.write(Buffer.buffer(event.bytes())));
		this.times.recordProgress(this.context.nowMs());
	}

	private void logTakeover(BackendAttempt attempt) {
		this.context.log()
			.write(LogEvent.STREAM_TAKEN_OVER, "id", this.request.attemptId(), "backend", attempt.backendId(), "from",
					this.lastWriter.backendId(), "last-event", attempt.beganAfter(), "waited-ms",
					this.times.silentMs(this.context.nowMs()));
	}

	private void begin(ResponseReader reader) {
		if (this.begun) {
			return;
		}
		this.begun = true;
		this.writer.copyHead(reader.status(), reader.headers(), this.context.isDraining());
		this.writer.response().setChunked(true);
		long nowMs = this.context.nowMs();
		this.times.recordFirst(nowMs - this.request.receivedAtMs(), nowMs);
		this.context.metrics().recordFirstByteTime(this.request.service(), this.times.firstEventMs());
	}

	/**
	 * Records that the stream of an attempt ended normally.
	 * @param attempt the attempt
	 * @param reader reader of the stream
	 * @return true if the caller has all events now, and {@link #end()} is to be called
	 */
	boolean isCompletedBy(BackendAttempt attempt, ResponseReader reader) {
		Optional<List<EventStreamSplitter.Event>> rest = this.succession.complete(attempt);
		if (rest.isEmpty()) {
			return false;
		}
		write(attempt, reader, rest.get());
		begin(reader);
		return true;
	}

	/** Ends the stream of the caller. */
	void end() {
		this.writer.end();
	}

	/**
	 * Records that an attempt has ended before the stream was complete. If only one is
	 * left, nothing is gained by holding its events any longer.
	 * @param ended the attempt
	 */
	void attemptEnded(BackendAttempt ended) {
		this.succession.remove(ended);
		this.succession.successor().ifPresent((left) -> write(left, left.reader(), this.succession.succeed(left)));
	}

	/**
	 * Returns whether the response to the caller has begun.
	 * @return true if its head was written
	 */
	boolean hasBegun() {
		return this.begun;
	}

	/**
	 * Returns whether the response to the caller is a stream, or will be one when it is
	 * known which attempt goes on.
	 * @return true if events were written or are held
	 */
	boolean hasEvents() {
		return this.begun || this.succession.hasHeldEvents();
	}

	long writtenEvents() {
		return this.succession.writtenEvents();
	}

	/**
	 * Returns the size of the events that an attempt has received and that are held until
	 * it is known which attempt goes on.
	 * @param attempt the attempt
	 * @return bytes
	 */
	long heldBytes(BackendAttempt attempt) {
		return this.succession.heldBytes(attempt);
	}

	boolean isSound(BackendAttempt attempt) {
		return this.succession.isSound(attempt);
	}

	boolean isResumable() {
		return this.succession.isResumable();
	}

	/**
	 * Returns the last event that the caller has.
	 * @return its id, or null if the stream starts from its beginning
	 */
	String lastEventId() {
		if (this.succession.writtenEvents() == 0) {
			return this.request.lastEventId();
		}
		long lastEventId = this.succession.lastEventId();
		return (lastEventId != EventStreamSplitter.Event.NO_ID) ? Long.toString(lastEventId) : null;
	}

	StreamTimes times() {
		return this.times;
	}

}
