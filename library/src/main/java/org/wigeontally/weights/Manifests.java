package org.wigeontally.weights;

import java.security.GeneralSecurityException;
import java.security.KeyFactory;
import java.security.PrivateKey;
import java.security.Signature;
import java.security.spec.X509EncodedKeySpec;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;

import org.wigeontally.errors.ErrorType;
import org.wigeontally.schema.generated.ChunkEntry;
import org.wigeontally.schema.generated.Manifest;

/**
 * Builds, signs and verifies manifests. A bundle refers to a manifest by the SHA-256
 * digest of the signed manifest's bytes, so the bytes are verified before they are
 * parsed.
 */
public final class Manifests {

	private static final String ALGORITHM = "Ed25519";

	private Manifests() {
	}

	/**
	 * Builds the manifest of a version.
	 * @param model name of the model
	 * @param version the version
	 * @param base base version of an adapter; empty for a model
	 * @param bytes all bytes of the version
	 * @param chunkBytes size of every chunk but the last
	 * @return the unsigned manifest
	 */
	public static Manifest build(String model, String version, String base, byte[] bytes, int chunkBytes) {
		Manifest.Builder manifest = Manifest.newBuilder()
			.setModel(model)
			.setVersion(version)
			.setBase(base)
			.setChunkBytes(chunkBytes);
		for (byte[] chunk : split(bytes, chunkBytes)) {
			manifest.addChunks(ChunkEntry.newBuilder()
				.setDigest(ByteString.copyFrom(Digests.sha256(chunk)))
				.setSize(chunk.length));
		}
		return manifest.build();
	}

	/**
	 * Splits bytes into chunks.
	 * @param bytes the bytes
	 * @param chunkBytes size of every chunk but the last
	 * @return the chunks in order
	 */
	public static List<byte[]> split(byte[] bytes, int chunkBytes) {
		List<byte[]> chunks = new ArrayList<>();
		for (int from = 0; from < bytes.length; from += chunkBytes) {
			chunks.add(java.util.Arrays.copyOfRange(bytes, from, Math.min(bytes.length, from + chunkBytes)));
		}
		return chunks;
	}

	/**
	 * Signs a manifest.
	 * @param manifest the manifest
	 * @param publisher name of the publisher
	 * @param key the publisher's Ed25519 key
	 * @return the signed manifest
	 * @throws GeneralSecurityException if the key cannot be used for Ed25519
	 */
	public static Manifest sign(Manifest manifest, String publisher, PrivateKey key) throws GeneralSecurityException {
		Manifest unsigned = manifest.toBuilder().setPublisher(publisher).clearSignature().build();
		Signature signature = Signature.getInstance(ALGORITHM);
		signature.initSign(key);
		signature.update(unsigned.toByteArray());
		return unsigned.toBuilder().setSignature(Digests.toHex(signature.sign())).build();
	}

	/**
	 * Returns the digest by which a bundle refers to a manifest.
	 * @param manifest the signed manifest
	 * @return the digest in hexadecimal
	 */
	public static String digest(Manifest manifest) {
		return Digests.sha256Hex(manifest.toByteArray());
	}

	/**
	 * Verifies the digest of a manifest and, if publishers are configured, its signature.
	 * @param bytes bytes of the signed manifest
	 * @param digest digest given in the bundle
	 * @param publishers hexadecimal X.509 public keys by publisher name; if empty, the
	 * signature is not checked and the digest in the bundle is trusted
	 * @return the manifest
	 * @throws WeightsException if the verification fails
	 */
	public static Manifest verify(byte[] bytes, String digest, Map<String, String> publishers) throws WeightsException {
		if (!Digests.sha256Hex(bytes).equals(digest)) {
			throw WeightsException.of(ErrorType.BAD_MANIFEST, digest);
		}
		try {
			Manifest manifest = Manifest.parseFrom(bytes);
			if (!isWellFormed(manifest) || !(publishers.isEmpty() || hasValidSignature(manifest, publishers))) {
				throw WeightsException.of(ErrorType.BAD_MANIFEST, digest);
			}
			return manifest;
		}
		catch (InvalidProtocolBufferException ex) {
			throw WeightsException.of(ErrorType.BAD_MANIFEST, digest);
		}
	}

	private static boolean isWellFormed(Manifest manifest) {
		for (ChunkEntry chunk : manifest.getChunksList()) {
			if (chunk.getDigest().size() != 32 || chunk.getSize() <= 0 || chunk.getSize() > manifest.getChunkBytes()) {
				return false;
			}
		}
		return manifest.getChunksCount() > 0;
	}

	private static boolean hasValidSignature(Manifest manifest, Map<String, String> publishers) {
		String key = publishers.get(manifest.getPublisher());
		if (key == null) {
			return false;
		}
		try {
			Signature signature = Signature.getInstance(ALGORITHM);
			signature.initVerify(
					KeyFactory.getInstance(ALGORITHM).generatePublic(new X509EncodedKeySpec(Digests.fromHex(key))));
			signature.update(manifest.toBuilder().clearSignature().build().toByteArray());
			return signature.verify(Digests.fromHex(manifest.getSignature()));
		}
		catch (GeneralSecurityException | IllegalArgumentException ex) {
			return false;
		}
	}

	/**
	 * Returns the digests of all chunks.
	 * @param manifest the manifest
	 * @return hexadecimal digests, unordered
	 */
	public static Set<String> chunkDigests(Manifest manifest) {
		Set<String> digests = new HashSet<>();
		for (ChunkEntry chunk : manifest.getChunksList()) {
			digests.add(Digests.toHex(chunk.getDigest().toByteArray()));
		}
		return digests;
	}

	/**
	 * Returns the total size of the chunks.
	 * @param manifest the manifest
	 * @return size of the version in bytes
	 */
	public static long totalBytes(Manifest manifest) {
		long bytes = 0;
		for (ChunkEntry chunk : manifest.getChunksList()) {
			bytes += chunk.getSize();
		}
		return bytes;
	}

}
