package org.wigeontally.errors;

/**
 * All errors that wigeontally reports, each with a number that stays the same between
 * versions, a severity and a message with placeholders. Numbers below 100 belong to
 * settings and the command line, from 100 to configuration, from 200 to callers'
 * requests, from 300 to weights, from 400 to the platform.
 */
public enum ErrorType {

	/** The text is not YAML. */
	YAML_SYNTAX(1, Severity.ERROR, "not valid YAML: %s"),
	/** A key that the schema does not know. */
	UNKNOWN_KEY(2, Severity.ERROR, "unknown key \"%s\""),
	/** A value of the wrong type. */
	WRONG_TYPE(3, Severity.ERROR, "\"%s\" must be %s"),
	/** A value is missing. */
	MISSING_VALUE(4, Severity.ERROR, "\"%s\" is missing"),
	/** A value is outside its range. */
	OUT_OF_RANGE(5, Severity.ERROR, "\"%s\" must be %s"),
	/** A key stands twice in one mapping. */
	DUPLICATE_KEY(6, Severity.ERROR, "key \"%s\" stands twice"),
	/** A file cannot be read. */
	UNREADABLE_FILE(7, Severity.ERROR, "cannot read file: %s"),
	/** An address that is not an IP number and port. */
	BAD_ADDRESS(8, Severity.ERROR, "\"%s\" is not an IP number and port"),
	/** A value that is not hexadecimal or has the wrong length. */
	BAD_HEXADECIMAL(9, Severity.ERROR, "\"%s\" must be %s bytes in hexadecimal"),
	/** A name that another entry of the same list has. */
	REPEATED_VALUE(10, Severity.ERROR, "\"%s\" repeats \"%s\""),
	/** No entry host answered the command line. */
	NO_ENTRY_REACHED(20, Severity.ERROR, "no entry host answered; check the addresses in the settings: %s"),
	/** An entry host answered with something that the command line cannot use. */
	BAD_ANSWER(21, Severity.ERROR, "entry host %s answered with status %s: %s"),

	/** The change builds on a revision that is no longer the newest. */
	STALE_REVISION(100, Severity.ERROR, "builds on revision %s of %s, which is at revision %s"),
	/** The signature does not fit the author's key. */
	BAD_SIGNATURE(101, Severity.ERROR, "signature of \"%s\" does not verify"),
	/** The bundle is not known. */
	UNKNOWN_BUNDLE(102, Severity.ERROR, "bundle \"%s\" is not known"),
	/** The bundle was not signed off. */
	NOT_SIGNED_OFF(103, Severity.ERROR, "bundle \"%s\" is not signed off"),
	/** The author signed off a bundle of their own. */
	OWN_SIGN_OFF(104, Severity.ERROR, "\"%s\" may not sign off their own bundle"),
	/** The bundle builds on another than the one in force. */
	STALE_BUNDLE(105, Severity.ERROR, "bundle \"%s\" builds on \"%s\", but \"%s\" is in force"),
	/** A name used twice. */
	DUPLICATE_NAME(106, Severity.ERROR, "%s \"%s\" is named twice"),
	/** A reference to something not in the bundle. */
	DANGLING_REFERENCE(107, Severity.ERROR, "%s \"%s\" is not in the bundle"),
	/** The owner did not approve the calling team. */
	MISSING_APPROVAL(108, Severity.ERROR, "approval of \"%s\" for \"%s\" does not verify"),
	/** The bundle's bytes differ from what was signed off. */
	DIGEST_MISMATCH(109, Severity.ERROR, "bundle \"%s\" differs from what was signed off"),
	/** The operator is not known. */
	UNKNOWN_OPERATOR(110, Severity.ERROR, "operator \"%s\" is not known"),
	/** The change has no subject that this version knows. */
	UNKNOWN_SUBJECT(111, Severity.ERROR, "the change has no known subject"),
	/** The confirming hosts change again before the last change of them is settled. */
	LIST_UNSETTLED(112, Severity.ERROR, "the last change of the confirming hosts is not settled yet"),

	/** The caller's credential is missing or wrong. */
	BAD_CREDENTIAL(200, Severity.ERROR, "credential is missing or wrong"),
	/** The organisation is not approved for the service. */
	NOT_APPROVED(201, Severity.ERROR, "organisation \"%s\" is not approved for service \"%s\""),
	/** The service is not known. */
	UNKNOWN_SERVICE(202, Severity.ERROR, "service \"%s\" is not known"),
	/** The host takes no new work. */
	NOT_SERVING(203, Severity.ERROR, "this host takes no new work: %s"),
	/** No backend server can take the request now. */
	OVERLOADED(204, Severity.ERROR, "no backend server can take the request now"),
	/** The deadline has passed or cannot be met. */
	DEADLINE(205, Severity.ERROR, "the deadline cannot be met"),
	/** The claim of the request could not be settled. */
	CLAIM_UNSETTLED(206, Severity.ERROR, "the claim of the request could not be settled"),
	/** The key was used for another request. */
	KEY_REUSED(207, Severity.ERROR, "the idempotency key was used for another request"),
	/** The key is older than keys are remembered. */
	KEY_EXPIRED(208, Severity.ERROR, "the idempotency key is older than keys are remembered"),
	/** The request may have run. */
	OUTCOME_UNKNOWN(209, Severity.ERROR, "the request may have run: %s"),
	/** The request brought backend servers down. */
	HARMFUL_REQUEST(210, Severity.ERROR, "the request brought %s backend servers down and is refused"),
	/** A header or field of the request is malformed. */
	BAD_REQUEST(211, Severity.ERROR, "malformed request: %s"),
	/** The body is larger than allowed. */
	BODY_TOO_LARGE(212, Severity.ERROR, "the body is larger than %s bytes"),
	/** The organisation uses more than its share. */
	OVER_SHARE(213, Severity.ERROR, "organisation \"%s\" uses more than its share"),
	/** A stream ended before its last token. */
	STREAM_CUT(214, Severity.ERROR, "the stream ended early: %s"),
	/** The backend server failed the request. */
	BACKEND_FAILED(215, Severity.ERROR, "the backend server failed: %s"),
	/** The request ran before and its answer was too long to keep. */
	ANSWER_DROPPED(216, Severity.ERROR, "the request ran before and its answer was too long to keep"),

	/** A chunk does not fit its digest. */
	CORRUPT_CHUNK(300, Severity.WARNING, "chunk %s from %s is corrupt"),
	/** The manifest's signature does not verify. */
	BAD_MANIFEST(301, Severity.ERROR, "manifest of %s does not verify"),
	/** The engine refused or failed an order. */
	ORDER_FAILED(302, Severity.ERROR, "the engine failed the order: %s"),
	/** The engine has seen a higher fencing number. */
	ORDER_FENCED(303, Severity.ERROR, "the engine has seen a higher fencing number than %s"),

	/** The platform's log cannot be reached. */
	LOG_UNAVAILABLE(400, Severity.WARNING, "the log cannot be reached: %s"),
	/** The log's head is below what was read before. */
	LOG_SHORTENED(401, Severity.ERROR, "the log's head %s is below offset %s, read before"),
	/** A record of the log cannot be read. */
	BAD_RECORD(402, Severity.WARNING, "the record at offset %s cannot be read"),
	/** Records were dropped before they were read and no checkpoint covers them. */
	LOG_GAP(403, Severity.ERROR, "records from offset %s are gone and no checkpoint covers them");

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
	 * Returns how bad the error is.
	 * @return the severity
	 */
	public Severity severity() {
		return this.severity;
	}

	/**
	 * Fills the message's placeholders.
	 * @param arguments one for each placeholder
	 * @return the message
	 */
	public String message(Object... arguments) {
		return String.format(this.template, arguments);
	}

	/**
	 * How bad an error is.
	 */
	public enum Severity {

		/** Something was refused or failed. */
		ERROR,
		/** Something was put right or will be tried again. */
		WARNING

	}

}
