package org.wigeontally.fleet;

/**
 * What may be repeated of a route's requests.
 */
public enum RequestKind {

	/** May run any number of times. */
	IDEMPOTENT,
	/** May run at most once for each attempt of the caller. */
	AT_MOST_ONCE,
	/** Answered by a stream of events; may be resumed only where the route allows it. */
	STREAM

}
