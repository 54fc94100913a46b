package org.wigeontally.emulator.experiment;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.util.List;

import com.google.common.hash.Hashing;

import org.wigeontally.configuration.Signatures;
import org.wigeontally.schema.generated.BackendKind;
import org.wigeontally.schema.generated.Bundle;
import org.wigeontally.schema.generated.Model;
import org.wigeontally.schema.generated.Organisation;
import org.wigeontally.schema.generated.Service;

/**
 * Bundles for experiments: one model service, one plain service, ten organisations.
 */
public final class Bundles {

	/** The model service. */
	public static final String MODEL_SERVICE = "assist-llm";

	/** The plain service. */
	public static final String PLAIN_SERVICE = "order-desk";

	private static final int ORGANISATIONS = 10;

	private Bundles() {
	}

	/**
	 * Returns the credential of an organisation.
	 * @param organisation its number, from 1 to 10
	 * @return the credential
	 */
	public static String credential(int organisation) {
		return "credential-" + organisation;
	}

	/**
	 * Builds a bundle.
	 * @param name name of the bundle
	 * @param buildsOn name of the bundle in force; empty for the first
	 * @param model the model and its version
	 * @param confirmingHosts entry hosts that confirm configuration
	 * @param operators operators; the first owns both services and approves every
	 * organisation
	 * @return the bundle
	 * @throws GeneralSecurityException if an approval cannot be signed
	 */
	public static Bundle bundle(String name, String buildsOn, Model model, List<String> confirmingHosts,
			List<Keys> operators) throws GeneralSecurityException {
		Keys owner = operators.get(0);
		Bundle.Builder bundle = Bundle.newBuilder()
			.setName(name)
			.setBuildsOn(buildsOn)
			.addAllConfirmingHosts(confirmingHosts)
			.addModels(model)
			.addAllOperators(operators.stream().map(Keys::operatorKey).toList())
			.addServices(Service.newBuilder()
				.setName(MODEL_SERVICE)
				.setKind(BackendKind.MODEL_ENGINE)
				.setModel(model.getName())
				.setOwner(owner.name()))
			.addServices(Service.newBuilder()
				.setName(PLAIN_SERVICE)
				.setKind(BackendKind.PLAIN_SERVICE)
				.addAtMostOncePaths("/bookings")
				.setOwner(owner.name()));
		for (int number = 1; number <= ORGANISATIONS; number++) {
			bundle.addOrganisations(organisation(number, owner));
		}
		return bundle.build();
	}

	private static Organisation organisation(int number, Keys owner) throws GeneralSecurityException {
		String name = "org-" + number;
		String digest = Hashing.sha256().hashString(credential(number), StandardCharsets.UTF_8).toString();
		return Organisation.newBuilder()
			.setName(name)
			.setCredential(digest)
			.setWeight(1)
			.addApprovals(Signatures.signApproval(name, MODEL_SERVICE, owner.name(), owner.privateKey()))
			.addApprovals(Signatures.signApproval(name, PLAIN_SERVICE, owner.name(), owner.privateKey()))
			.build();
	}

}
