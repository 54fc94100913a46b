package org.wigeontally.fleet;

/** The kind of a route's requests, which decides whether they may be repeated. */
public enum RequestKind {

	/** May be executed any number of times. */
	IDEMPOTENT,
	/** May be executed at most once for each attempt of the caller. */
	AT_MOST_ONCE,
	/** Answered by a stream of events; may be resumed only if the route allows it. */
	STREAM

}
