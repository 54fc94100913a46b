package org.wigeontally.weights;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * SHA-256 digests and their hexadecimal form.
 */
public final class Digests {

	private static final HexFormat HEX = HexFormat.of();

	private Digests() {
	}

	/**
	 * Computes the SHA-256 digest of some bytes.
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
	 * Computes the SHA-256 digest of some bytes in hexadecimal.
	 * @param bytes the bytes
	 * @return the digest
	 */
	public static String sha256Hex(byte[] bytes) {
		return HEX.formatHex(sha256(bytes));
	}

	/**
	 * Writes bytes in hexadecimal.
	 * @param bytes the bytes
	 * @return lower case digits
	 */
	public static String toHex(byte[] bytes) {
		return HEX.formatHex(bytes);
	}

	/**
	 * Reads hexadecimal digits.
	 * @param text the digits
	 * @return the bytes
	 */
	public static byte[] fromHex(String text) {
		return HEX.parseHex(text);
	}

}
