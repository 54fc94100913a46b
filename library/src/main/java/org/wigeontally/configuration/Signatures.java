package org.wigeontally.configuration;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.KeyFactory;
import java.security.PrivateKey;
import java.security.PublicKey;
import java.security.Signature;
import java.security.spec.PKCS8EncodedKeySpec;
import java.security.spec.X509EncodedKeySpec;
import java.util.HexFormat;

import com.google.common.hash.Hashing;

import org.wigeontally.schema.generated.Approval;
import org.wigeontally.schema.generated.Bundle;
import org.wigeontally.schema.generated.Change;

/**
 * Creates and verifies Ed25519 signatures of operators and service owners, and computes
 * digests of bundles.
 */
public final class Signatures {

	private static final String ALGORITHM = "Ed25519";

	private Signatures() {
	}

	/**
	 * Parses a public key.
	 * @param hex the X.509 encoding in hexadecimal
	 * @return the key
	 * @throws GeneralSecurityException if the text is not an encoded Ed25519 public key
	 */
	public static PublicKey parsePublicKey(String hex) throws GeneralSecurityException {
		return KeyFactory.getInstance(ALGORITHM).generatePublic(new X509EncodedKeySpec(parseHex(hex)));
	}

	/**
	 * Parses a private key.
	 * @param hex the PKCS#8 encoding in hexadecimal
	 * @return the key
	 * @throws GeneralSecurityException if the text is not an encoded Ed25519 private key
	 */
	public static PrivateKey parsePrivateKey(String hex) throws GeneralSecurityException {
		return KeyFactory.getInstance(ALGORITHM).generatePrivate(new PKCS8EncodedKeySpec(parseHex(hex)));
	}

	/**
	 * Signs a change.
	 * @param change the change, complete except for its signature
	 * @param key the private key of the author
	 * @return the change with its signature
	 * @throws GeneralSecurityException if the key cannot sign
	 */
	public static Change sign(Change change, PrivateKey key) throws GeneralSecurityException {
		return change.toBuilder().setSignature(sign(signedContent(change), key)).build();
	}

	/**
	 * Creates the signed approval for an organisation to call a service.
	 * @param organisation name of the calling organisation
	 * @param service name of the service
	 * @param owner name of the owner of the service
	 * @param key the private key of the owner
	 * @return the approval with its signature
	 * @throws GeneralSecurityException if the key cannot sign
	 */
	public static Approval signApproval(String organisation, String service, String owner, PrivateKey key)
			throws GeneralSecurityException {
		String signature = sign(signedApprovalContent(organisation, service), key);
		return Approval.newBuilder().setService(service).setOwner(owner).setSignature(signature).build();
	}

	/**
	 * Returns the digest of a bundle, which a sign-off must contain.
	 * @param bundle the bundle
	 * @return the SHA-256 in hexadecimal
	 */
	public static String digest(Bundle bundle) {
		return Hashing.sha256().hashBytes(bundle.toByteArray()).toString();
	}

	static byte[] signedContent(Change change) {
		return change.toBuilder().clearSignature().build().toByteArray();
	}

	static byte[] signedApprovalContent(String organisation, String service) {
		return ("approve " + organisation + " " + service).getBytes(StandardCharsets.UTF_8);
	}

	static boolean verifies(PublicKey key, byte[] content, String signature) {
		try {
			Signature verifier = Signature.getInstance(ALGORITHM);
			verifier.initVerify(key);
			verifier.update(content);
			return verifier.verify(parseHex(signature));
		}
		catch (GeneralSecurityException ex) {
			return false;
		}
	}

	private static String sign(byte[] content, PrivateKey key) throws GeneralSecurityException {
		Signature signer = Signature.getInstance(ALGORITHM);
		signer.initSign(key);
		signer.update(content);
		return HexFormat.of().formatHex(signer.sign());
	}

	private static byte[] parseHex(String hex) throws GeneralSecurityException {
		try {
			return HexFormat.of().parseHex(hex);
		}
		catch (IllegalArgumentException ex) {
			throw new GeneralSecurityException("key or signature is not hexadecimal", ex);
		}
	}

}
