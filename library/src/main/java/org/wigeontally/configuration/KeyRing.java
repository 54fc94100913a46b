package org.wigeontally.configuration;

import java.security.GeneralSecurityException;
import java.security.PublicKey;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.wigeontally.errors.ErrorType;
import org.wigeontally.errors.Findings;
import org.wigeontally.errors.InputException;
import org.wigeontally.schema.generated.OperatorKey;

/**
 * Public keys of operators and owners by name. All entry hosts must have the same keys,
 * since verdicts depend on them.
 */
public final class KeyRing {

	private static final KeyRing ACCEPTING_ALL = new KeyRing(Map.of(), true);

	private final Map<String, PublicKey> keys;

	private final boolean acceptingAll;

	private KeyRing(Map<String, PublicKey> keys, boolean acceptingAll) {
		this.keys = Map.copyOf(keys);
		this.acceptingAll = acceptingAll;
	}

	/**
	 * Creates a key ring from settings.
	 * @param operatorKeys names and keys
	 * @return the key ring
	 * @throws InputException with all keys that cannot be read
	 */
	public static KeyRing of(List<OperatorKey> operatorKeys) throws InputException {
		Findings findings = Findings.create();
		KeyRing keyRing = of(operatorKeys, "operator_keys", findings);
		findings.throwIfAny();
		return keyRing;
	}

	/**
	 * Creates a key ring from keys that can be read; the others are findings.
	 * @param operatorKeys names and keys
	 * @param field field path of the keys
	 * @param findings receives what is found
	 * @return the key ring
	 */
	static KeyRing of(List<OperatorKey> operatorKeys, String field, Findings findings) {
		Map<String, PublicKey> keys = new LinkedHashMap<>();
		for (int i = 0; i < operatorKeys.size(); i++) {
			OperatorKey each = operatorKeys.get(i);
			String path = field + "[" + i + "]";
			try {
				if (keys.put(each.getName(), Signatures.parsePublicKey(each.getPublicKey())) != null) {
					findings.add(path, ErrorType.DUPLICATE_NAME, "operator", each.getName());
				}
			}
			catch (GeneralSecurityException ex) {
				findings.add(path, ErrorType.WRONG_TYPE, "public_key", "an Ed25519 public key in hexadecimal");
			}
		}
		return new KeyRing(keys, false);
	}

	/**
	 * Returns the key ring of agents, which takes every signature as verified. Agents
	 * fold only records that an entry host has judged.
	 * @return the key ring
	 */
	public static KeyRing acceptingAll() {
		return ACCEPTING_ALL;
	}

	/**
	 * Tells whether a name has a key.
	 * @param name name of an operator or owner
	 * @return true if it has
	 */
	public boolean hasKey(String name) {
		return this.acceptingAll || this.keys.containsKey(name);
	}

	/**
	 * Verifies a signature.
	 * @param name name of the signer
	 * @param content what was signed
	 * @param signature the signature in hexadecimal
	 * @return true if the signer's key made it
	 */
	public boolean verifies(String name, byte[] content, String signature) {
		if (this.acceptingAll) {
			return true;
		}
		PublicKey key = this.keys.get(name);
		return key != null && Signatures.verifies(key, content, signature);
	}

}
