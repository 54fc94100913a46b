package org.wigeontally.fleet;

/**
 * Decides what follows from the silence of a backend server while requests run there.
 *
 * <p>
 * A sound backend server can be silent for a second or two and then go on, and nothing
 * tells it from one that will never answer. So silence alone ends no request. It is a
 * reason to try a second backend server beside the first one, and to prefer others for
 * new requests until the silent one sends something again. The successor of a stream goes
 * only to an engine that is not silent itself: if all are silent, second attempts would
 * double their load when they go on, and bring no answer sooner. Other backend servers
 * send nothing while they work on a request, so their silence says less.
 */
public final class SilencePolicy {

	/**
	 * Silence after which a second backend server is tried on an idempotent route, as a
	 * multiple of the route's target time.
	 */
	private static final double TARGET_FACTOR = 2.5;

	/**
	 * Silence after which a second engine is tried, if the stream has begun or the
	 * engine's agent has stopped reporting too.
	 */
	private static final long STREAM_MS = 1_200;

	/** Time to wait for the first event before a second engine is tried. */
	private static final long FIRST_EVENT_MS = 2_200;

	/**
	 * Silence from which an engine gets no successors. A sound one that runs streams
	 * sends something several times in this time.
	 */
	private static final long SUCCESSOR_MS = 600;

	private SilencePolicy() {
	}

	/**
	 * Returns the silence after which a request is sent to a second backend server.
	 * @param kind kind of the request
	 * @param targetMs target time of its route
	 * @param suspected true if the stream has begun or the agent is silent too
	 * @return milliseconds
	 */
	public static long successorAfterMs(RequestKind kind, long targetMs, boolean suspected) {
		if (kind == RequestKind.IDEMPOTENT) {
			return (long) (targetMs * TARGET_FACTOR);
		}
		return suspected ? STREAM_MS : FIRST_EVENT_MS;
	}

	/**
	 * Returns whether new requests prefer other backend servers.
	 * @param silentMs time since the backend server has sent anything while requests ran
	 * @param kind kind of the new request
	 * @param targetMs target time of its route
	 * @return true if others are preferred
	 */
	public static boolean isAvoided(long silentMs, RequestKind kind, long targetMs) {
		return silentMs > successorAfterMs(kind, targetMs, true);
	}

	/**
	 * Returns whether a backend server can be the second one of a request.
	 * @param kind kind of the request
	 * @param silentMs time since the backend server has sent anything while requests ran
	 * @return true if it can
	 */
	public static boolean isFitAsSuccessor(RequestKind kind, long silentMs) {
		return kind != RequestKind.STREAM || silentMs <= SUCCESSOR_MS;
	}

}
