package org.wigeontally.claims;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

import com.google.common.primitives.Longs;
import com.google.protobuf.ByteString;

/**
 * Identifies a request that must run at most once: a hash of organisation, service and
 * idempotency key.
 *
 * @param bytes first 16 bytes of the SHA-256 hash
 */
public record ClaimKey(ByteString bytes) {

	/** Number of log streams that claims are distributed over. */
	public static final int PARTITIONS = 8;

	private static final int LENGTH_BYTES = 16;

	/**
	 * Creates the key of a request.
	 * @param organisation organisation of the caller
	 * @param service name of the called service
	 * @param idempotencyKey idempotency key that the caller sent
	 * @return the key
	 */
	public static ClaimKey of(String organisation, String service, String idempotencyKey) {
		MessageDigest digest = sha256();
		for (String part : new String[] { organisation, service, idempotencyKey }) {
			byte[] bytes = part.getBytes(StandardCharsets.UTF_8);
			digest.update(Longs.toByteArray(bytes.length));
			digest.update(bytes);
		}
		return new ClaimKey(ByteString.copyFrom(digest.digest(), 0, LENGTH_BYTES));
	}

	/**
	 * Hashes a request body, to detect the reuse of a key with a different body.
	 * @param body the request body
	 * @return first 8 bytes of its SHA-256 hash
	 */
	public static long contentHash(byte[] body) {
		return Longs.fromByteArray(sha256().digest(body));
	}

	/**
	 * Returns the partition of this key.
	 * @return a number from 0 to {@link #PARTITIONS} - 1
	 */
	public int partition() {
		return Math.floorMod(this.bytes.byteAt(0), PARTITIONS);
	}

	/**
	 * Returns the name of a partition's stream in the log.
	 * @param partition number of the partition
	 * @return the stream name
	 */
	public static String streamName(int partition) {
		return "claims-" + partition;
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
