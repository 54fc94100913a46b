package org.wigeontally.configuration;

import java.security.GeneralSecurityException;
import java.security.KeyPair;
import java.security.KeyPairGenerator;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.wigeontally.errors.InputException;
import org.wigeontally.schema.generated.BackendKind;
import org.wigeontally.schema.generated.Bundle;
import org.wigeontally.schema.generated.Change;
import org.wigeontally.schema.generated.OperatorKey;
import org.wigeontally.schema.generated.Organisation;
import org.wigeontally.schema.generated.ProposeBundle;
import org.wigeontally.schema.generated.RollBundle;
import org.wigeontally.schema.generated.Service;
import org.wigeontally.schema.generated.SetZone;
import org.wigeontally.schema.generated.SignOffBundle;

/**
 * Creates signed changes for tests, with keys of the operators "ann" and "ben" and of the
 * service owner "olga".
 */
public final class TestOperators {

	private final Map<String, KeyPair> keyPairs = new LinkedHashMap<>();

	private TestOperators() {
	}

	/**
	 * Creates the operators with newly generated keys.
	 * @return the operators
	 */
	public static TestOperators create() {
		TestOperators operators = new TestOperators();
		try {
			for (String name : List.of("ann", "ben", "olga")) {
				operators.keyPairs.put(name, KeyPairGenerator.getInstance("Ed25519").generateKeyPair());
			}
		}
		catch (GeneralSecurityException ex) {
			throw new IllegalStateException(ex);
		}
		return operators;
	}

	/**
	 * Returns the names and public keys of the operators.
	 * @return the keys in the form used in bundles
	 */
	public List<OperatorKey> operatorKeys() {
		List<OperatorKey> keys = new ArrayList<>();
		this.keyPairs.forEach((name,
				keyPair) -> keys.add(OperatorKey.newBuilder()
					.setName(name)
					.setPublicKey(HexFormat.of().formatHex(keyPair.getPublic().getEncoded()))
					.build()));
		return keys;
	}

	/**
	 * Returns the public keys of the operators as a key ring.
	 * @return the key ring
	 */
	public KeyRing keyRing() {
		try {
			return KeyRing.of(operatorKeys());
		}
		catch (InputException ex) {
			throw new IllegalStateException(ex);
		}
	}

	/**
	 * Signs a change.
	 * @param author name of the author
	 * @param id id of the change
	 * @param buildsOn revision that it builds on
	 * @param change the builder with the subject of the change
	 * @return the signed change
	 */
	public Change sign(String author, String id, long buildsOn, Change.Builder change) {
		try {
			Change unsigned = change.setAuthor(author).setId(id).setBuildsOn(buildsOn).build();
			return Signatures.sign(unsigned, this.keyPairs.get(author).getPrivate());
		}
		catch (GeneralSecurityException ex) {
			throw new IllegalStateException(ex);
		}
	}

	/**
	 * Takes an availability zone out of service or puts it back.
	 * @param author name of the author
	 * @param id id of the change
	 * @param buildsOn revision that it builds on
	 * @param zone name of the zone
	 * @param out true to take the zone out of service
	 * @return the signed change
	 */
	public Change setZone(String author, String id, long buildsOn, String zone, boolean out) {
		return sign(author, id, buildsOn, Change.newBuilder().setZone(SetZone.newBuilder().setZone(zone).setOut(out)));
	}

	/**
	 * Proposes a bundle.
	 * @param author name of the author
	 * @param id id of the change
	 * @param bundle the bundle
	 * @return the signed change
	 */
	public Change propose(String author, String id, Bundle bundle) {
		return sign(author, id, 0, Change.newBuilder().setPropose(ProposeBundle.newBuilder().setBundle(bundle)));
	}

	/**
	 * Signs a bundle off.
	 * @param author name of the author
	 * @param id id of the change
	 * @param buildsOn revision of the proposal
	 * @param bundle the bundle
	 * @return the signed change
	 */
	public Change signOff(String author, String id, long buildsOn, Bundle bundle) {
		return sign(author, id, buildsOn, Change.newBuilder()
			.setSignOff(SignOffBundle.newBuilder().setBundle(bundle.getName()).setDigest(Signatures.digest(bundle))));
	}

	/**
	 * Rolls a bundle out.
	 * @param author name of the author
	 * @param id id of the change
	 * @param buildsOn revision of the sign-off
	 * @param bundle name of the bundle
	 * @return the signed change
	 */
	public Change roll(String author, String id, long buildsOn, String bundle) {
		return sign(author, id, buildsOn, Change.newBuilder().setRoll(RollBundle.newBuilder().setBundle(bundle)));
	}

	/**
	 * Creates a bundle with one service and one approved organisation.
	 * @param name name of the bundle
	 * @param buildsOn name of the bundle that it builds on; empty for none
	 * @param confirmingHosts names of the confirming hosts
	 * @return the bundle
	 */
	public Bundle bundle(String name, String buildsOn, List<String> confirmingHosts) {
		try {
			return Bundle.newBuilder()
				.setName(name)
				.setBuildsOn(buildsOn)
				.addAllConfirmingHosts(confirmingHosts)
				.addServices(
						Service.newBuilder().setName("yard-ops").setKind(BackendKind.PLAIN_SERVICE).setOwner("olga"))
				.addOrganisations(Organisation.newBuilder()
					.setName("koro")
					.setCredential("c0")
					.addApprovals(Signatures.signApproval("koro", "yard-ops", "olga",
							this.keyPairs.get("olga").getPrivate())))
				.build();
		}
		catch (GeneralSecurityException ex) {
			throw new IllegalStateException(ex);
		}
	}

}
