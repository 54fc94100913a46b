package org.wigeontally.weights;

import java.security.GeneralSecurityException;
import java.security.KeyPair;
import java.security.KeyPairGenerator;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import org.testng.annotations.Test;

import org.wigeontally.errors.ErrorType;
import org.wigeontally.schema.generated.Manifest;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

/**
 * The tests fail if {@code Manifests.verify} does not check the signature, or if
 * {@code ChunkStore.put} does not check the digest.
 */
public class ManifestsTests {

	private static final int CHUNK_BYTES = 1000;

	@Test
	public void rejectsAlteredBytesAndUnknownPublishers() throws GeneralSecurityException, WeightsException {
		KeyPair publisherKeys = newKeyPair();
		KeyPair unknownKeys = newKeyPair();
		Map<String, String> publishers = Map.of("lab", Digests.toHex(publisherKeys.getPublic().getEncoded()));
		Manifest unsigned = Manifests.build("assist", "v1", "", randomBytes(1, 5500), CHUNK_BYTES);
		Manifest signed = Manifests.sign(unsigned, "lab", publisherKeys.getPrivate());
		Manifest forged = Manifests.sign(unsigned, "lab", unknownKeys.getPrivate());
		assertThat(Manifests.verify(signed.toByteArray(), Manifests.digest(signed), publishers)).isEqualTo(signed);
		assertThat(signed.getChunksCount()).isEqualTo(6);
		assertRejected(forged, Manifests.digest(forged), publishers);
		assertRejected(signed, Manifests.digest(forged), publishers);
		assertRejected(signed, Manifests.digest(signed), Map.of("other", publishers.get("lab")));
		Manifest altered = signed.toBuilder().setVersion("v2").build();
		assertRejected(altered, Manifests.digest(altered), publishers);
	}

	@Test
	public void versionsShareUnchangedChunks() {
		byte[] first = randomBytes(1, 5500);
		byte[] second = first.clone();
		second[2500]++;
		Set<String> shared = Manifests.chunkDigests(Manifests.build("assist", "v1", "", first, CHUNK_BYTES));
		Set<String> changed = Manifests.chunkDigests(Manifests.build("assist", "v2", "", second, CHUNK_BYTES));
		changed.removeAll(shared);
		assertThat(changed).hasSize(1);
	}

	@Test
	public void storeRejectsCorruptChunksAndRespectsItsLimit() {
		ChunkStore store = ChunkStore.create(1);
		byte[] chunk = randomBytes(1, 700_000);
		byte[] second = randomBytes(2, 700_000);
		String digest = Digests.sha256Hex(chunk);
		byte[] corrupt = chunk.clone();
		corrupt[699_999] ^= 1;
		assertThat(store.put(digest, corrupt)).isEqualTo(ChunkStore.Outcome.CORRUPT);
		assertThat(store.holds(digest)).isFalse();
		assertThat(store.put(digest, chunk)).isEqualTo(ChunkStore.Outcome.STORED);
		assertThat(store.put(Digests.sha256Hex(second), second)).isEqualTo(ChunkStore.Outcome.FULL);
		store.retain(Set.of());
		assertThat(store.heldBytes()).isZero();
		assertThat(store.put(Digests.sha256Hex(second), second)).isEqualTo(ChunkStore.Outcome.STORED);
	}

	private static void assertRejected(Manifest manifest, String digest, Map<String, String> publishers) {
		WeightsException refused = catchThrowableOfType(WeightsException.class,
				() -> Manifests.verify(manifest.toByteArray(), digest, publishers));
		assertThat(refused.type()).isEqualTo(ErrorType.BAD_MANIFEST);
	}

	private static byte[] randomBytes(long seed, int size) {
		byte[] bytes = new byte[size];
		new Random(seed).nextBytes(bytes);
		return bytes;
	}

	private static KeyPair newKeyPair() throws GeneralSecurityException {
		return KeyPairGenerator.getInstance("Ed25519").generateKeyPair();
	}

}
