package org.wigeontally.emulator.platform;

import java.nio.charset.StandardCharsets;
import java.util.Random;

import com.google.common.hash.Hashing;

import org.wigeontally.schema.generated.Manifest;
import org.wigeontally.schema.generated.Model;
import org.wigeontally.weights.Manifests;

/**
 * Weights made from the name of a version, so that whoever knows the name knows the bytes
 * and the manifest.
 *
 * @param model name of the model
 * @param version the version
 * @param size size in bytes
 */
public record SyntheticWeights(String model, String version, int size) {

	private static final int CHUNK_BYTES = 64 * 1024;

	/**
	 * Makes the bytes.
	 * @return all bytes of the version
	 */
	public byte[] bytes() {
		long seed = Hashing.sha256().hashString(this.model + "/" + this.version, StandardCharsets.UTF_8).asLong();
		byte[] bytes = new byte[this.size];
		new Random(seed).nextBytes(bytes);
		return bytes;
	}

	/**
	 * Makes the manifest; it is not signed, its digest stands in the signed-off bundle.
	 * @return the manifest
	 */
	public Manifest manifest() {
		return Manifests.build(this.model, this.version, "", bytes(), CHUNK_BYTES);
	}

	/**
	 * Returns the model as a bundle names it.
	 * @return name, version and digest of the manifest
	 */
	public Model modelInBundle() {
		return Model.newBuilder()
			.setName(this.model)
			.setVersion(this.version)
			.setManifest(Manifests.digest(manifest()))
			.build();
	}

}
