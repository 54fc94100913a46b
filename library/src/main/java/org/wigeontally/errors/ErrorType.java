package org.wigeontally.errors;

/**
 * All errors that wigeontally reports. Each has a number that is stable across versions,
 * a severity and a message with placeholders. Numbers below 100 are for settings and the
 * command line, 100 to 199 for the configuration, 200 to 299 for callers' requests, 300
 * to 399 for weights, and from 400 for the platform.
 */
public enum ErrorType {

	/** The text is not valid YAML. */
	YAML_SYNTAX(1, Severity.ERROR, "not valid YAML: %s"),
	/** A key is not defined in the schema. */
	UNKNOWN_KEY(2, Severity.ERROR, "unknown key \"%s\""),
	/** A value has the wrong type. */
	WRONG_TYPE(3, Severity.ERROR, "\"%s\" must be %s"),
	/** A value is missing. */
	MISSING_VALUE(4, Severity.ERROR, "\"%s\" is missing"),
	/** A value is outside its range. */
	OUT_OF_RANGE(5, Severity.ERROR, "\"%s\" must be %s"),
	/** A key occurs twice in one mapping. */
	DUPLICATE_KEY(6, Severity.ERROR, "duplicate key \"%s\""),
	/** A file cannot be read. */
	UNREADABLE_FILE(7, Severity.ERROR, "cannot read file: %s"),
	/** An address is not an IP address and port. Host names are not resolved. */
	BAD_ADDRESS(8, Severity.ERROR, "\"%s\" is not an IP number and port"),
	/** A value is not hexadecimal or has the wrong length. */
	BAD_HEXADECIMAL(9, Severity.ERROR, "\"%s\" must be %s bytes in hexadecimal"),
	/** An element of a list has the same value as an earlier one. */
	REPEATED_VALUE(10, Severity.ERROR, "\"%s\" repeats \"%s\""),
	/** No entry host answered the command line. */
	NO_ENTRY_REACHED(20, Severity.ERROR, "no entry host answered; check the addresses in the settings: %s"),
	/** An entry host returned a response that the command line cannot process. */
	BAD_ANSWER(21, Severity.ERROR, "entry host %s answered with status %s: %s"),

	/** The change builds on a revision that is no longer the newest. */
	STALE_REVISION(100, Severity.ERROR, "builds on revision %s of %s, which is at revision %s"),
	/** The signature does not verify with the author's key. */
	BAD_SIGNATURE(101, Severity.ERROR, "signature of \"%s\" does not verify"),
	/** The bundle is not known. */
	UNKNOWN_BUNDLE(102, Severity.ERROR, "bundle \"%s\" is not known"),
	/** The bundle was not signed off. */
	NOT_SIGNED_OFF(103, Severity.ERROR, "bundle \"%s\" is not signed off"),
	/** The author signed off a bundle of their own. */
	OWN_SIGN_OFF(104, Severity.ERROR, "\"%s\" may not sign off their own bundle"),
	/** The bundle builds on a bundle other than the one in force. */
	STALE_BUNDLE(105, Severity.ERROR, "bundle \"%s\" builds on \"%s\", but \"%s\" is in force"),
	/** A name is used twice in a bundle. */
	DUPLICATE_NAME(106, Severity.ERROR, "%s \"%s\" is named twice"),
	/** A reference names an object that is not in the bundle. */
	DANGLING_REFERENCE(107, Severity.ERROR, "%s \"%s\" is not in the bundle"),
	/** The service owner's approval of the calling organisation does not verify. */
	MISSING_APPROVAL(108, Severity.ERROR, "approval of \"%s\" for \"%s\" does not verify"),
	/** The digest of the bundle differs from the one that was signed off. */
	DIGEST_MISMATCH(109, Severity.ERROR, "bundle \"%s\" differs from what was signed off"),
	/** The operator is not known. */
	UNKNOWN_OPERATOR(110, Severity.ERROR, "operator \"%s\" is not known"),
	/** The subject of the change is missing or not known to this version. */
	UNKNOWN_SUBJECT(111, Severity.ERROR, "the change has no known subject"),
	/** The list of confirming hosts changes again before its last change is settled. */
	LIST_UNSETTLED(112, Severity.ERROR, "the last change of the confirming hosts is not settled yet"),
	/** A configuration of the platform cannot be decoded. */
	MALFORMED_CONFIGURATION(120, Severity.ERROR, "%s"),
	/** An earlier route has the same host and path prefix. */
	HIDDEN_ROUTE(121, Severity.ERROR,
			"route \"%s\" never matches: route \"%s\" before it has the same host and path prefix"),
	/** Hosts of requests are compared in lower case. */
	UNMATCHED_HOST(122, Severity.ERROR, "route \"%s\" never matches: host \"%s\" has upper-case letters"),
	/** Every path of a request begins with a slash. */
	UNMATCHED_PREFIX(123, Severity.ERROR, "route \"%s\" never matches: path prefix \"%s\" does not begin with a slash"),
	/** A path prefix matches within a segment of a path. */
	OPEN_PREFIX(124, Severity.WARNING,
			"path prefix of route \"%s\" does not end with a slash, so it also matches \"%sx\""),
	/** A route has no service with a weight above zero. */
	NO_WEIGHT(125, Severity.ERROR, "route \"%s\" refuses all requests: its weights are zero"),
	/** A route leads to a service that does not exist. */
	MISSING_SERVICE(126, Severity.ERROR, "route \"%s\" leads to service \"%s\", which does not exist"),
	/** No route leads to a service. */
	UNUSED_SERVICE(127, Severity.WARNING, "no route leads to service \"%s\""),
	/** An organisation has no API key. */
	NO_API_KEY(128, Severity.WARNING, "organisation \"%s\" has no key, so it has no requests"),
	/** Two organisations have the same API key; the later one gets the requests. */
	SHARED_API_KEY(129, Severity.ERROR, "organisation \"%s\" has a key that organisation \"%s\" also has"),
	/** No region may serve requests of an organisation on a route. */
	NO_COMMON_REGION(130, Severity.WARNING, "route \"%s\" has no allowed region in common with: %s"),
	/** The target of a route is over its timeout. */
	TARGET_OVER_TIMEOUT(131, Severity.ERROR, "target of route \"%s\" (%s ms) is over its timeout (%s ms)"),
	/** A route permits attempts that its kind of requests seldom uses. */
	UNUSED_ATTEMPTS(132, Severity.WARNING,
			"route \"%s\" permits %s attempts, but repeats a request only if it certainly did not run"),
	/** A limit on callers is zero. */
	ZERO_LIMIT(133, Severity.ERROR, "%s is zero"),
	/** The engines of a service have no slots. */
	NO_SLOTS(134, Severity.ERROR, "engines of service \"%s\" have no slots"),
	/** Entries ignore a configuration that is not newer than theirs. */
	VERSION_NOT_NEWER(135, Severity.ERROR, "version %s is ignored: version %s is in force"),

	/** The caller's credential is missing or wrong. */
	BAD_CREDENTIAL(200, Severity.ERROR, "credential is missing or wrong"),
	/** The organisation is not approved for the service. */
	NOT_APPROVED(201, Severity.ERROR, "organisation \"%s\" is not approved for service \"%s\""),
	/** The service is not known. */
	UNKNOWN_SERVICE(202, Severity.ERROR, "service \"%s\" is not known"),
	/** The host accepts no new requests. */
	NOT_SERVING(203, Severity.ERROR, "this host takes no new work: %s"),
	/** No backend server has capacity for the request. */
	OVERLOADED(204, Severity.ERROR, "no backend server can take the request now"),
	/** The deadline has passed or cannot be met. */
	DEADLINE(205, Severity.ERROR, "the deadline cannot be met"),
	/** The outcome of the request's claim could not be determined. */
	CLAIM_UNSETTLED(206, Severity.ERROR, "the claim of the request could not be settled"),
	/** The idempotency key was already used for a different request. */
	KEY_REUSED(207, Severity.ERROR, "the idempotency key was used for another request"),
	/** The idempotency key is older than the retention time of keys. */
	KEY_EXPIRED(208, Severity.ERROR, "the idempotency key is older than keys are remembered"),
	/** It is not known whether the request ran. */
	OUTCOME_UNKNOWN(209, Severity.ERROR, "the request may have run: %s"),
	/** The request crashed backend servers and is rejected. */
	HARMFUL_REQUEST(210, Severity.ERROR, "the request brought %s backend servers down and is refused"),
	/** A header or field of the request is malformed. */
	BAD_REQUEST(211, Severity.ERROR, "malformed request: %s"),
	/** The request body exceeds the size limit. */
	BODY_TOO_LARGE(212, Severity.ERROR, "the body is larger than %s bytes"),
	/** The organisation exceeds its share of the capacity. */
	OVER_SHARE(213, Severity.ERROR, "organisation \"%s\" uses more than its share"),
	/** A stream ended before its last token. */
	STREAM_CUT(214, Severity.ERROR, "the stream ended early: %s"),
	/** The backend server failed the request. */
	BACKEND_FAILED(215, Severity.ERROR, "the backend server failed: %s"),
	/** The request already ran and its response was too long to store. */
	ANSWER_DROPPED(216, Severity.ERROR, "the request ran before and its answer was too long to keep"),

	/** A chunk does not match its digest. */
	CORRUPT_CHUNK(300, Severity.WARNING, "chunk %s from %s is corrupt"),
	/** The manifest's signature does not verify. */
	BAD_MANIFEST(301, Severity.ERROR, "manifest of %s does not verify"),
	/** The engine rejected or failed an order. */
	ORDER_FAILED(302, Severity.ERROR, "the engine failed the order: %s"),
	/** The engine has seen a higher fencing number. */
	ORDER_FENCED(303, Severity.ERROR, "the engine has seen a higher fencing number than %s"),

	/** The platform's log cannot be reached. */
	LOG_UNAVAILABLE(400, Severity.WARNING, "the log cannot be reached: %s"),
	/** The log's head is below an offset that was read before. */
	LOG_SHORTENED(401, Severity.ERROR, "the log's head %s is below offset %s, read before"),
	/** A record of the log cannot be read. */
	BAD_RECORD(402, Severity.WARNING, "the record at offset %s cannot be read"),
	/** Records were dropped before they were read and no checkpoint covers them. */
	LOG_GAP(403, Severity.ERROR, "records from offset %s are gone and no checkpoint covers them"),
	/**
	 * The content of a large record that another entry sent is not the one that was
	 * named.
	 */
	CORRUPT_CONTENT(404, Severity.WARNING, "content of a large record is corrupt: %s");

	private final int number;

	private final Severity severity;

	private final String template;

	ErrorType(int number, Severity severity, String template) {
		this.number = number;
		this.severity = severity;
		this.template = template;
	}

	/**
	 * Returns the number of the error.
	 * @return the number
	 */
	public int number() {
		return this.number;
	}

	/**
	 * Returns the severity of the error.
	 * @return the severity
	 */
	public Severity severity() {
		return this.severity;
	}

	/**
	 * Returns the severity of the error with a number.
	 * @param number the number
	 * @return the severity; that of an error if the number is not known to this version
	 */
	public static Severity severity(int number) {
		for (ErrorType type : values()) {
			if (type.number == number) {
				return type.severity;
			}
		}
		return Severity.ERROR;
	}

	/**
	 * Formats the message.
	 * @param arguments one value for each placeholder
	 * @return the message
	 */
	public String message(Object... arguments) {
		return String.format(this.template, arguments);
	}

	/**
	 * Severity of an error.
	 */
	public enum Severity {

		/** An operation was rejected or failed. */
		ERROR,
		/** The problem was corrected or the operation will be retried. */
		WARNING

	}

}
