package org.wigeontally.settings;

import java.util.Optional;

import org.wigeontally.configuration.BundleValidator;
import org.wigeontally.configuration.KeyRing;
import org.wigeontally.errors.Findings;
import org.wigeontally.schema.generated.BackendKind;
import org.wigeontally.schema.generated.Bundle;
import org.wigeontally.schema.generated.Finding;
import org.wigeontally.schema.generated.Organisation;
import org.wigeontally.schema.generated.Service;

/**
 * Validates a bundle file as far as possible without contacting an entry host. Only an
 * entry host can check whether approvals verify and whether the bundle builds on the one
 * in force.
 */
public final class BundleFileValidator implements SettingsValidator<Bundle.Builder> {

	private static final int DIGEST_BYTES = 32;

	private static final int SIGNATURE_BYTES = 64;

	private static final int MAX_WEIGHT = 1000;

	private BundleFileValidator() {
	}

	/**
	 * Creates the validator.
	 * @return the validator
	 */
	public static BundleFileValidator create() {
		return new BundleFileValidator();
	}

	@Override
	public void validate(Bundle.Builder bundle, LocationMap locations, Findings findings) {
		FieldValidator fields = new FieldValidator(locations, findings);
		validateFields(bundle, fields);
		// Assumes that the bundle named in builds_on is in force.
		Optional<Bundle> previous = bundle.getBuildsOn().isEmpty() ? Optional.empty()
				: Optional.of(Bundle.newBuilder().setName(bundle.getBuildsOn()).build());
		Findings bundleFindings = Findings.create();
		BundleValidator.validate(bundle.build(), previous, KeyRing.acceptingAll(), bundleFindings);
		for (Finding finding : bundleFindings.list()) {
			fields.addFinding(finding);
		}
	}

	private static void validateFields(Bundle.Builder bundle, FieldValidator fields) {
		for (int i = 0; i < bundle.getModelsCount(); i++) {
			fields.requireHex("models[" + i + "].manifest", bundle.getModels(i).getManifest(), DIGEST_BYTES);
		}
		for (int i = 0; i < bundle.getServicesCount(); i++) {
			Service service = bundle.getServices(i);
			fields.requirePresent("services[" + i + "].kind",
					service.getKind() != BackendKind.BACKEND_KIND_UNSPECIFIED);
			fields.requireText("services[" + i + "].owner", service.getOwner());
		}
		for (int i = 0; i < bundle.getOrganisationsCount(); i++) {
			Organisation organisation = bundle.getOrganisations(i);
			String path = "organisations[" + i + "]";
			fields.requireHex(path + ".credential", organisation.getCredential(), DIGEST_BYTES);
			fields.checkRange(path + ".weight", organisation.getWeight(), 0, MAX_WEIGHT);
			for (int j = 0; j < organisation.getApprovalsCount(); j++) {
				fields.requireHex(path + ".approvals[" + j + "].signature", organisation.getApprovals(j).getSignature(),
						SIGNATURE_BYTES);
			}
		}
	}

}
