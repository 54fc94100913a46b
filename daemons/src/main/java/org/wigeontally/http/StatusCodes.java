package org.wigeontally.http;

import java.util.regex.Pattern;

/**
 * Checks the status of a response. HTTP libraries accept any number as a status, and a
 * caller that receives one outside the protocol cannot tell what it means.
 */
public final class StatusCodes {

	/** Three digits; the first one is the class of the status. */
	private static final Pattern STATUS = Pattern.compile("[1-5][0-9]{2}");

	/** Framing is the same in all minor versions of HTTP/1. */
	private static final Pattern VERSION = Pattern.compile("HTTP/1\\.[0-9]");

	private static final int MIN_FINAL_STATUS = 200;

	private static final int MAX_STATUS = 599;

	private StatusCodes() {
	}

	/**
	 * Checks the first two fields of a status line.
	 * @param version protocol version
	 * @param status status as it was received
	 * @return false if the line does not begin a response
	 */
	public static boolean isStatusLine(String version, String status) {
		return VERSION.matcher(version).matches() && STATUS.matcher(status).matches();
	}

	/**
	 * Returns whether a status can be that of a complete response.
	 * @param status the status
	 * @return false for interim responses and for numbers that are no status
	 */
	public static boolean isFinal(int status) {
		return status >= MIN_FINAL_STATUS && status <= MAX_STATUS;
	}

}
