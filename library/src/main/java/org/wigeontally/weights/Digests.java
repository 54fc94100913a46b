package org.wigeontally.weights;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * Computes SHA-256 digests and converts bytes to and from hexadecimal.
 */
public final class Digests {

	private static final HexFormat HEX = HexFormat.of();

	private Digests() {
	}

	/**
	 * Computes the SHA-256 digest of a byte array.
	 * @param bytes the bytes
	 * @return the digest
	 */
	public static byte[] sha256(byte[] bytes) {
		try {
			return MessageDigest.getInstance("SHA-256").digest(bytes);
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException(ex);
		}
	}

	/**
	 * Computes the SHA-256 digest of a byte array as hexadecimal digits.
	 * @param bytes the bytes
	 * @return the digest in lower-case digits
	 */
	public static String sha256Hex(byte[] bytes) {
		return HEX.formatHex(sha256(bytes));
	}

	/**
	 * Converts bytes to hexadecimal digits.
	 * @param bytes the bytes
	 * @return the digits in lower case
	 */
	public static String toHex(byte[] bytes) {
		return HEX.formatHex(bytes);
	}

	/**
	 * Parses hexadecimal digits.
	 * @param text the digits
	 * @return the bytes
	 */
	public static byte[] fromHex(String text) {
		return HEX.parseHex(text);
	}

}
