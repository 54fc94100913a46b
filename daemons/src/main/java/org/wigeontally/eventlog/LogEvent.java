package org.wigeontally.eventlog;

/**
 * The events that are logged. On a log line, an event has the name of its constant in
 * lower case with hyphens. Names do not change between versions.
 */
public enum LogEvent {

	/** The process starts work. */
	START(RateLimit.RARE),
	/** The process was told to stop, or has stopped. */
	STOP(RateLimit.RARE),
	/** The process received a signal. */
	SIGNAL(RateLimit.RARE),
	/** The settings were reloaded. */
	RELOAD(RateLimit.RARE),
	/** The store no longer responds. */
	STORE_LOST(RateLimit.RARE),
	/** The store responds again. */
	STORE_REGAINED(RateLimit.RARE),
	/** The store was restored from an older copy of its data. */
	STORE_RESTORED(RateLimit.RARE),
	/** Responses of the store have no usable era. */
	STORE_ERA_UNREADABLE(RateLimit.RARE),
	/** A record of the store is malformed. */
	RECORD_UNREADABLE(RateLimit.SOME),
	/** Another entry did not answer. */
	EXCHANGE_FAILED(RateLimit.SOME),
	/** The content of a large record was received from another entry. */
	CONTENT(RateLimit.SOME),
	/** A part of the content of a large record was not received, or it is corrupt. */
	CONTENT_FAILED(RateLimit.SOME),
	/** A new version of the configuration is in force. */
	CONFIGURATION(RateLimit.MANY),
	/** An availability zone was evacuated or restored. */
	ZONE(RateLimit.SOME),
	/** A version of weights was announced, or is required for requests from now on. */
	VERSION(RateLimit.SOME),
	/** A backend server was registered, changed its state or was removed. */
	BACKEND(RateLimit.MANY),
	/**
	 * The end of the period changed in which removed registrations are kept after an
	 * outage of the store.
	 */
	LAPSE_GRACE(RateLimit.SOME),
	/** An entry or agent is reachable again, is leaving, or no longer sends messages. */
	PEER(RateLimit.SOME),
	/** The directory names no entry to a caller. */
	DIRECTORY_EMPTY(RateLimit.SOME),
	/** A header of a request or of a backend server's response has an unusable value. */
	HEADER_UNREADABLE(RateLimit.SOME),
	/** A backend server crashed while it ran requests. */
	BACKEND_CRASH(RateLimit.SOME),
	/** A part of prompts is refused from now on, or is allowed again. */
	PROMPT_PART(RateLimit.SOME),
	/** A backend server names a limit, a different one, or none any more. */
	BACKEND_LIMIT(RateLimit.SOME),
	/** Permits for a limited backend server could not be acquired. */
	PERMITS_FAILED(RateLimit.SOME),
	/** Another number of slots is kept from the requests of a rank. */
	RANK_RESERVATION(RateLimit.SOME),
	/** A request was sent to a backend server. */
	REQUEST_PLACED(RateLimit.REQUESTS),
	/** No backend server was found for a request; the fields show why. */
	REQUEST_NOT_PLACED(RateLimit.REQUESTS),
	/** A request found no slot and waits for one. */
	REQUEST_WAITS(RateLimit.REQUESTS),
	/** A request no longer waits for a slot; the fields show how that ended. */
	REQUEST_WOKEN(RateLimit.REQUESTS),
	/** An attempt at a backend server failed to return a usable response. */
	ATTEMPT_FAILED(RateLimit.REQUESTS),
	/**
	 * A backend server has sent nothing on a request for some time. The attempt goes on.
	 */
	ATTEMPT_SILENT(RateLimit.REQUESTS),
	/** An attempt was cancelled because a second one of its request made progress. */
	ATTEMPT_OVERTAKEN(RateLimit.REQUESTS),
	/** A request was answered by a backend server. */
	REQUEST_DONE(RateLimit.REQUESTS),
	/** This process refused a request or answered it with an error. */
	REQUEST_REFUSED(RateLimit.REQUESTS),
	/** The caller disconnected before its response was complete. */
	CALLER_LEFT(RateLimit.REQUESTS),
	/** This process closes the connection of a caller. */
	CALLER_CONNECTION_CLOSED(RateLimit.SOME),
	/** A request has no answer although its caller's timeout is over. */
	REQUEST_OVERDUE(RateLimit.SOME),
	/** An answer that its caller reads too slowly was given up for lack of memory. */
	ANSWER_GIVEN_UP(RateLimit.SOME),
	/** A stream was resumed on another backend server. */
	STREAM_RESUMED(RateLimit.REQUESTS),
	/** The events of a stream come from another attempt than those before. */
	STREAM_TAKEN_OVER(RateLimit.REQUESTS),
	/** Progress of downloading weights to this host. */
	WEIGHTS(RateLimit.SOME),
	/** A piece of weights was not received or failed verification. */
	PIECE_FAILED(RateLimit.SOME),
	/** A command to the engine and its outcome. */
	ORDER(RateLimit.SOME),
	/** The engine on this host responds again, or no longer responds. */
	ENGINE(RateLimit.SOME),
	/** An internal error of the process. */
	FAULT(RateLimit.SOME),
	/** A library logged a line; the limit applies to each of its loggers. */
	LIBRARY_FAULT(RateLimit.RARE);

	private final int linesPerSecond;

	private final String label;

	LogEvent(int linesPerSecond) {
		this.linesPerSecond = linesPerSecond;
		this.label = name().toLowerCase().replace('_', '-');
	}

	/**
	 * Returns the limit on the lines of this event.
	 * @return maximum number of lines per second
	 */
	public int linesPerSecond() {
		return this.linesPerSecond;
	}

	String label() {
		return this.label;
	}

	/**
	 * Maximum lines per second of one event. They bound the log volume at any load; the
	 * next line of the event states how many lines were dropped.
	 */
	private static final class RateLimit {

		private static final int RARE = 5;

		private static final int SOME = 20;

		private static final int MANY = 40;

		private static final int REQUESTS = 100;

	}

}
