package org.wigeontally.http;

/**
 * Names of the headers that callers, entries and agents exchange.
 */
public final class Headers {

	/** Outcome of a request: done, not-run or unknown. */
	public static final String OUTCOME = "Wigeontally-Outcome";

	/** Delay before the caller may retry, in milliseconds. */
	public static final String RETRY_AFTER_MS = "Wigeontally-Retry-After-Ms";

	/** Number of the error in the error enumeration. */
	public static final String ERROR = "Wigeontally-Error";

	/** Id of one dispatch of a request to an agent; the answer repeats it. */
	public static final String DISPATCH = "Wigeontally-Dispatch";

	/** Time left for the request, in milliseconds. */
	public static final String DEADLINE_MS = "Wigeontally-Deadline-Ms";

	/** Priority of the request: high, normal or low. */
	public static final String PRIORITY = "Wigeontally-Priority";

	/** Organisation of the caller, set by the entry. */
	public static final String ORGANISATION = "Wigeontally-Organisation";

	/** Version of the model that the request is pinned to. */
	public static final String VERSION = "Wigeontally-Version";

	/** Revision of the configuration that the entry used for the dispatch. */
	public static final String REVISION = "Wigeontally-Revision";

	/** Id of the claim under which the request runs at most once. */
	public static final String CLAIM = "Wigeontally-Claim";

	/** Load of the backend server after the answer: running, queued, limit. */
	public static final String LOAD = "Wigeontally-Load";

	/** Fingerprint of the request's content, hexadecimal. */
	public static final String FINGERPRINT = "Wigeontally-Fingerprint";

	/** True if the request's content is suspected of crashing backend servers. */
	public static final String SUSPECT = "Wigeontally-Suspect";

	/** Key under which a request runs at most once. */
	public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

	/** Time at which the caller first sent the request with its key, in ms since 1970. */
	public static final String KEY_TIME = "Wigeontally-Key-Time";

	private Headers() {
	}

}
