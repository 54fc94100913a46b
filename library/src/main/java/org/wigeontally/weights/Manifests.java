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
 * Builds, signs and checks manifests. The digest that a bundle names is the SHA-256 of
 * the signed manifest's bytes, so that the bytes are checked before they are parsed.
 */
public final class Manifests {

	private static final String ALGORITHM = "Ed25519";

	private Manifests() {
	}

	/**
	 * Cuts the bytes of a version into chunks.
	 * @param model name of the model
	 * @param version the version
	 * @param base version that an adapter belongs to; empty for a model
	 * @param bytes all bytes of the version
	 * @param chunkBytes size of every chunk but the last
	 * @return the manifest, unsigned
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
	 * Cuts bytes into chunks.
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
	 * @throws GeneralSecurityException if the key does not fit
	 */
	public static Manifest sign(Manifest manifest, String publisher, PrivateKey key) throws GeneralSecurityException {
		Manifest unsigned = manifest.toBuilder().setPublisher(publisher).clearSignature().build();
		Signature signature = Signature.getInstance(ALGORITHM);
		signature.initSign(key);
		signature.update(unsigned.toByteArray());
		return unsigned.toBuilder().setSignature(Digests.toHex(signature.sign())).build();
	}

	/**
	 * Returns the digest by which a bundle names a manifest.
	 * @param manifest the signed manifest
	 * @return the digest in hexadecimal
	 */
	public static String digest(Manifest manifest) {
		return Digests.sha256Hex(manifest.toByteArray());
	}

	/**
	 * Checks the bytes of a manifest against the digest and, if publishers are known,
	 * against the signature.
	 * @param bytes bytes of the signed manifest
	 * @param digest digest that the bundle names
	 * @param publishers hexadecimal X.509 public keys by name; empty to trust the bundle
	 * @return the manifest
	 * @throws WeightsException if the manifest does not verify
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
	 * @return hexadecimal digests, without order
	 */
	public static Set<String> chunkDigests(Manifest manifest) {
		Set<String> digests = new HashSet<>();
		for (ChunkEntry chunk : manifest.getChunksList()) {
			digests.add(Digests.toHex(chunk.getDigest().toByteArray()));
		}
		return digests;
	}

	/**
	 * Adds up the sizes of the chunks.
	 * @param manifest the manifest
	 * @return bytes of the version
	 */
	public static long totalBytes(Manifest manifest) {
		long bytes = 0;
		for (ChunkEntry chunk : manifest.getChunksList()) {
			bytes += chunk.getSize();
		}
		return bytes;
	}

}
