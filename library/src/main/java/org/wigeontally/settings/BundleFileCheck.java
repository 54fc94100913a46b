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
 * Checks a bundle file as far as that can be done without an entry host: whether
 * approvals verify and whether the bundle builds on the one in force is judged there.
 */
public final class BundleFileCheck implements SettingsCheck<Bundle.Builder> {

	private static final int DIGEST_BYTES = 32;

	private static final int SIGNATURE_BYTES = 64;

	private static final int MAX_WEIGHT = 1000;

	private BundleFileCheck() {
	}

	/**
	 * Creates the check.
	 * @return the check
	 */
	public static BundleFileCheck create() {
		return new BundleFileCheck();
	}

	@Override
	public void check(Bundle.Builder bundle, PlaceMap places, Findings findings) {
		ValueCheck values = new ValueCheck(places, findings);
		checkValues(bundle, values);
		Optional<Bundle> before = bundle.getBuildsOn().isEmpty() ? Optional.empty()
				: Optional.of(Bundle.newBuilder().setName(bundle.getBuildsOn()).build());
		Findings whole = Findings.create();
		BundleValidator.validate(bundle.build(), before, KeyRing.acceptingAll(), whole);
		for (Finding each : whole.list()) {
			values.add(each);
		}
	}

	private static void checkValues(Bundle.Builder bundle, ValueCheck values) {
		for (int i = 0; i < bundle.getModelsCount(); i++) {
			values.hexadecimal("models[" + i + "].manifest", bundle.getModels(i).getManifest(), DIGEST_BYTES);
		}
		for (int i = 0; i < bundle.getServicesCount(); i++) {
			Service service = bundle.getServices(i);
			values.requiredMessage("services[" + i + "].kind",
					service.getKind() != BackendKind.BACKEND_KIND_UNSPECIFIED);
			values.required("services[" + i + "].owner", service.getOwner());
		}
		for (int i = 0; i < bundle.getOrganisationsCount(); i++) {
			Organisation organisation = bundle.getOrganisations(i);
			String path = "organisations[" + i + "]";
			values.hexadecimal(path + ".credential", organisation.getCredential(), DIGEST_BYTES);
			values.range(path + ".weight", organisation.getWeight(), 0, MAX_WEIGHT);
			for (int j = 0; j < organisation.getApprovalsCount(); j++) {
				values.hexadecimal(path + ".approvals[" + j + "].signature",
						organisation.getApprovals(j).getSignature(), SIGNATURE_BYTES);
			}
		}
	}

}
