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
 * Public keys of operators and service owners by name. All entry hosts must have the same
 * keys, since verdicts on changes depend on them.
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
	 * @throws InputException with a finding for each invalid key or duplicate name
	 */
	public static KeyRing of(List<OperatorKey> operatorKeys) throws InputException {
		Findings findings = Findings.create();
		KeyRing keyRing = of(operatorKeys, "operator_keys", findings);
		findings.throwIfAny();
		return keyRing;
	}

	/**
	 * Creates a key ring from the valid keys and adds a finding for each invalid one.
	 * @param operatorKeys names and keys
	 * @param field path of the field that holds the keys
	 * @param findings receives the errors found
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
	 * Returns a key ring that accepts every signature. Agents use it, because they apply
	 * only records that an entry host has already verified.
	 * @return the key ring
	 */
	public static KeyRing acceptingAll() {
		return ACCEPTING_ALL;
	}

	/**
	 * Returns whether there is a key for a name.
	 * @param name name of an operator or service owner
	 * @return true if there is a key, or if this key ring accepts every signature
	 */
	public boolean hasKey(String name) {
		return this.acceptingAll || this.keys.containsKey(name);
	}

	/**
	 * Verifies a signature.
	 * @param name name of the signer
	 * @param content the signed bytes
	 * @param signature the signature in hexadecimal
	 * @return true if the signature was made with the key of the signer, or if this key
	 * ring accepts every signature
	 */
	public boolean verifies(String name, byte[] content, String signature) {
		if (this.acceptingAll) {
			return true;
		}
		PublicKey key = this.keys.get(name);
		return key != null && Signatures.verifies(key, content, signature);
	}

}
