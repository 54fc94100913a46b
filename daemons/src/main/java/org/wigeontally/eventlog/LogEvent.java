package org.wigeontally.eventlog;

/**
 * All events that are logged. The name of an event on a line is its name here in lower
 * case with hyphens; names stay the same between versions.
 */
public enum LogEvent {

	/** The process takes up work. */
	START(RateLimit.RARE),
	/** The process was asked to end, or has ended its work. */
	STOP(RateLimit.RARE),
	/** The settings were read again. */
	RELOAD(RateLimit.RARE),
	/** The store does not answer any more. */
	STORE_LOST(RateLimit.RARE),
	/** The store answers again. */
	STORE_REGAINED(RateLimit.RARE),
	/** A record of the store cannot be read. */
	RECORD_UNREADABLE(RateLimit.SOME),
	/** A version of the configuration came into force. */
	CONFIGURATION(RateLimit.MANY),
	/** An availability zone was taken out or taken back. */
	ZONE(RateLimit.SOME),
	/** A version of weights was named, or requests are bound to it from now on. */
	VERSION(RateLimit.SOME),
	/** A backend server joined, changed its state or left. */
	BACKEND(RateLimit.MANY),
	/** An entry or agent was heard of again, leaves, or fell silent. */
	PEER(RateLimit.SOME),
	/** A backend server crashed while requests ran there. */
	BACKEND_CRASH(RateLimit.SOME),
	/** A request was sent to a backend server. */
	REQUEST_PLACED(RateLimit.REQUESTS),
	/** No backend server was found for a request; what the decision was made on. */
	REQUEST_NOT_PLACED(RateLimit.REQUESTS),
	/** An attempt at a backend server did not lead to an answer. */
	ATTEMPT_FAILED(RateLimit.REQUESTS),
	/** A request was answered by a backend server. */
	REQUEST_DONE(RateLimit.REQUESTS),
	/** A request was answered by this process without a result. */
	REQUEST_REFUSED(RateLimit.REQUESTS),
	/** The caller left before its answer was complete. */
	CALLER_LEFT(RateLimit.REQUESTS),
	/** A stream goes on at another backend server. */
	STREAM_RESUMED(RateLimit.REQUESTS),
	/** Progress of weights on this host. */
	WEIGHTS(RateLimit.SOME),
	/** A piece of weights did not arrive or did not verify. */
	PIECE_FAILED(RateLimit.SOME),
	/** An order to the engine and its outcome. */
	ORDER(RateLimit.SOME),
	/** The engine on this host answers again, or does not answer. */
	ENGINE(RateLimit.SOME),
	/** A fault inside the process. */
	FAULT(RateLimit.SOME);

	private final int linesPerSecond;

	private final String label;

	LogEvent(int linesPerSecond) {
		this.linesPerSecond = linesPerSecond;
		this.label = name().toLowerCase().replace('_', '-');
	}

	int linesPerSecond() {
		return this.linesPerSecond;
	}

	String label() {
		return this.label;
	}

	/**
	 * Most lines of one event in a second. They bound the volume at any load; what is
	 * left out is counted on the event's next line.
	 */
	private static final class RateLimit {

		private static final int RARE = 5;

		private static final int SOME = 20;

		private static final int MANY = 40;

		private static final int REQUESTS = 100;

	}

}
