package org.wigeontally.harmful;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

import com.google.protobuf.ByteString;

/**
 * Identifies the content of a request, independently of its id, its caller and the entry
 * that receives it. Immutable.
 *
 * @param bytes first 16 bytes of the SHA-256 of service, path and body
 */
public record Fingerprint(ByteString bytes) {

	private static final int LENGTH_BYTES = 16;

	/**
	 * Computes the fingerprint of a request.
	 * @param service service that is called
	 * @param path path of the request
	 * @param body body of the request
	 * @return the fingerprint
	 */
	public static Fingerprint of(String service, String path, byte[] body) {
		MessageDigest digest = sha256();
		update(digest, service);
		update(digest, path);
		digest.update(body);
		return new Fingerprint(ByteString.copyFrom(digest.digest(), 0, LENGTH_BYTES));
	}

	private static void update(MessageDigest digest, String text) {
		digest.update(text.getBytes(StandardCharsets.UTF_8));
		digest.update((byte) 0);
	}

	private static MessageDigest sha256() {
		try {
			return MessageDigest.getInstance("SHA-256");
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException(ex);
		}
	}

}
