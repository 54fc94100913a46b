package org.wigeontally.configuration;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.wigeontally.errors.ErrorType;
import org.wigeontally.errors.Findings;
import org.wigeontally.schema.generated.Approval;
import org.wigeontally.schema.generated.BackendKind;
import org.wigeontally.schema.generated.Bundle;
import org.wigeontally.schema.generated.Model;
import org.wigeontally.schema.generated.Organisation;
import org.wigeontally.schema.generated.Service;

/**
 * Validates a configuration bundle. Validation continues after an error, so that the
 * operator sees all errors of the bundle at once. Each finding carries the path of the
 * field in the bundle.
 */
public final class BundleValidator {

	private final Bundle bundle;

	private final KeyRing keys;

	private final Findings findings;

	private final Map<String, Service> services = new HashMap<>();

	private BundleValidator(Bundle bundle, KeyRing keys, Findings findings) {
		this.bundle = bundle;
		this.keys = keys;
		this.findings = findings;
	}

	/**
	 * Validates a bundle.
	 * @param bundle the bundle
	 * @param inForce the bundle in force, or empty if there is none
	 * @param keys the keys of the service owners, used if the bundle lists no operators
	 * @param findings receives the errors found
	 */
	public static void validate(Bundle bundle, Optional<Bundle> inForce, KeyRing keys, Findings findings) {
		KeyRing keyRing = bundle.getOperatorsList().isEmpty() ? keys
				: KeyRing.of(bundle.getOperatorsList(), "operators", findings);
		BundleValidator validator = new BundleValidator(bundle, keyRing, findings);
		validator.validateNameAndHosts(inForce);
		validator.validateOperators(inForce);
		validator.validateModels();
		validator.validateServices();
		validator.validateOrganisations();
	}

	private void validateNameAndHosts(Optional<Bundle> inForce) {
		requireName("name", this.bundle.getName());
		validateBuildsOn(this.bundle, inForce, this.findings);
		List<String> hosts = this.bundle.getConfirmingHostsList();
		if (hosts.isEmpty()) {
			this.findings.add("confirming_hosts", ErrorType.MISSING_VALUE, "confirming_hosts");
		}
		Set<String> seen = new HashSet<>();
		for (int i = 0; i < hosts.size(); i++) {
			requireUniqueName(seen, "confirming_hosts[" + i + "]", "entry host", hosts.get(i));
		}
	}

	private void validateOperators(Optional<Bundle> inForce) {
		boolean hadOperators = inForce.map((previous) -> previous.getOperatorsCount() > 0).orElse(false);
		if (hadOperators && this.bundle.getOperatorsCount() == 0) {
			this.findings.add("operators", ErrorType.MISSING_VALUE, "operators");
		}
	}

	static void validateBuildsOn(Bundle bundle, Optional<Bundle> inForce, Findings findings) {
		String nameInForce = inForce.map(Bundle::getName).orElse("");
		if (!bundle.getBuildsOn().equals(nameInForce)) {
			findings.add("builds_on", ErrorType.STALE_BUNDLE, bundle.getName(), bundle.getBuildsOn(), nameInForce);
		}
		if (!nameInForce.isEmpty() && bundle.getName().equals(nameInForce)) {
			findings.add("name", ErrorType.DUPLICATE_NAME, "bundle", nameInForce);
		}
	}

	private void validateModels() {
		Set<String> seen = new HashSet<>();
		for (int i = 0; i < this.bundle.getModelsCount(); i++) {
			Model model = this.bundle.getModels(i);
			requireUniqueName(seen, "models[" + i + "].name", "model", model.getName());
			requireName("models[" + i + "].version", model.getVersion());
		}
	}

	private void validateServices() {
		Set<String> models = new HashSet<>();
		this.bundle.getModelsList().forEach((each) -> models.add(each.getName()));
		Set<String> seen = new HashSet<>();
		for (int i = 0; i < this.bundle.getServicesCount(); i++) {
			Service service = this.bundle.getServices(i);
			String path = "services[" + i + "]";
			this.services.put(service.getName(), service);
			requireUniqueName(seen, path + ".name", "service", service.getName());
			if (!this.keys.hasKey(service.getOwner())) {
				this.findings.add(path + ".owner", ErrorType.UNKNOWN_OPERATOR, service.getOwner());
			}
			if (service.getKind() == BackendKind.MODEL_ENGINE && !models.contains(service.getModel())) {
				this.findings.add(path + ".model", ErrorType.DANGLING_REFERENCE, "model", service.getModel());
			}
		}
	}

	private void validateOrganisations() {
		Set<String> names = new HashSet<>();
		Set<String> credentials = new HashSet<>();
		for (int i = 0; i < this.bundle.getOrganisationsCount(); i++) {
			Organisation organisation = this.bundle.getOrganisations(i);
			String path = "organisations[" + i + "]";
			requireUniqueName(names, path + ".name", "organisation", organisation.getName());
			requireUniqueName(credentials, path + ".credential", "credential", organisation.getCredential());
			for (int j = 0; j < organisation.getApprovalsCount(); j++) {
				validateApproval(organisation, organisation.getApprovals(j), path + ".approvals[" + j + "]");
			}
		}
	}

	private void validateApproval(Organisation organisation, Approval approval, String path) {
		Service service = this.services.get(approval.getService());
		if (service == null) {
			this.findings.add(path, ErrorType.DANGLING_REFERENCE, "service", approval.getService());
			return;
		}
		byte[] content = Signatures.signedApprovalContent(organisation.getName(), approval.getService());
		if (!service.getOwner().equals(approval.getOwner())
				|| !this.keys.verifies(service.getOwner(), content, approval.getSignature())) {
			this.findings.add(path, ErrorType.MISSING_APPROVAL, organisation.getName(), approval.getService());
		}
	}

	private void requireUniqueName(Set<String> seen, String path, String kind, String name) {
		requireName(path, name);
		if (!seen.add(name)) {
			this.findings.add(path, ErrorType.DUPLICATE_NAME, kind, name);
		}
	}

	private void requireName(String path, String name) {
		if (name.isEmpty()) {
			this.findings.add(path, ErrorType.MISSING_VALUE, path);
		}
	}

}
