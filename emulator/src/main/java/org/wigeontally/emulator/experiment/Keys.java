package org.wigeontally.emulator.experiment;

import java.security.KeyPair;
import java.security.KeyPairGenerator;
import java.security.NoSuchAlgorithmException;
import java.security.PrivateKey;
import java.util.HexFormat;

import org.wigeontally.schema.generated.OperatorKey;

/**
 * An operator's key pair for an experiment.
 *
 * @param name name of the operator
 * @param pair the Ed25519 pair
 */
public record Keys(String name, KeyPair pair) {

	/**
	 * Makes a new pair.
	 * @param name name of the operator
	 * @return the pair
	 */
	public static Keys create(String name) {
		try {
			return new Keys(name, KeyPairGenerator.getInstance("Ed25519").generateKeyPair());
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("the JDK has no Ed25519", ex);
		}
	}

	/**
	 * Returns the public part as settings carry it.
	 * @return name and public key
	 */
	public OperatorKey operatorKey() {
		String hex = HexFormat.of().formatHex(this.pair.getPublic().getEncoded());
		return OperatorKey.newBuilder().setName(this.name).setPublicKey(hex).build();
	}

	/**
	 * Returns the private key.
	 * @return the key
	 */
	public PrivateKey privateKey() {
		return this.pair.getPrivate();
	}

}
