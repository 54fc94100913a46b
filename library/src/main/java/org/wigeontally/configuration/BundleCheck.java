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
 * Checks a bundle as a whole and goes on after a finding, so that the operator sees all
 * of them together. Places are field paths in the bundle.
 */
public final class BundleCheck {

	private final Bundle bundle;

	private final KeyRing keys;

	private final Findings findings;

	private final Map<String, Service> services = new HashMap<>();

	private BundleCheck(Bundle bundle, KeyRing keys, Findings findings) {
		this.bundle = bundle;
		this.keys = keys;
		this.findings = findings;
	}

	/**
	 * Checks a bundle.
	 * @param bundle the bundle
	 * @param inForce the bundle in force
	 * @param keys keys of the services' owners, if the bundle names no operators
	 * @param findings receives what is found
	 */
	public static void check(Bundle bundle, Optional<Bundle> inForce, KeyRing keys, Findings findings) {
		KeyRing ring = bundle.getOperatorsList().isEmpty() ? keys
				: KeyRing.of(bundle.getOperatorsList(), "operators", findings);
		BundleCheck check = new BundleCheck(bundle, ring, findings);
		check.checkNames(inForce);
		check.checkOperators(inForce);
		check.checkModels();
		check.checkServices();
		check.checkOrganisations();
	}

	private void checkNames(Optional<Bundle> inForce) {
		requireName("name", this.bundle.getName());
		checkBuildsOn(this.bundle, inForce, this.findings);
		List<String> hosts = this.bundle.getConfirmingHostsList();
		if (hosts.isEmpty()) {
			this.findings.add("confirming_hosts", ErrorType.MISSING_VALUE, "confirming_hosts");
		}
		Set<String> seen = new HashSet<>();
		for (int i = 0; i < hosts.size(); i++) {
			unique(seen, "confirming_hosts[" + i + "]", "entry host", hosts.get(i));
		}
	}

	private void checkOperators(Optional<Bundle> inForce) {
		boolean hadOperators = inForce.map((before) -> before.getOperatorsCount() > 0).orElse(false);
		if (hadOperators && this.bundle.getOperatorsCount() == 0) {
			this.findings.add("operators", ErrorType.MISSING_VALUE, "operators");
		}
	}

	static void checkBuildsOn(Bundle bundle, Optional<Bundle> inForce, Findings findings) {
		String newest = inForce.map(Bundle::getName).orElse("");
		if (!bundle.getBuildsOn().equals(newest)) {
			findings.add("builds_on", ErrorType.STALE_BUNDLE, bundle.getName(), bundle.getBuildsOn(), newest);
		}
		if (!newest.isEmpty() && bundle.getName().equals(newest)) {
			findings.add("name", ErrorType.DUPLICATE_NAME, "bundle", newest);
		}
	}

	private void checkModels() {
		Set<String> seen = new HashSet<>();
		for (int i = 0; i < this.bundle.getModelsCount(); i++) {
			Model model = this.bundle.getModels(i);
			unique(seen, "models[" + i + "].name", "model", model.getName());
			requireName("models[" + i + "].version", model.getVersion());
		}
	}

	private void checkServices() {
		Set<String> models = new HashSet<>();
		this.bundle.getModelsList().forEach((each) -> models.add(each.getName()));
		Set<String> seen = new HashSet<>();
		for (int i = 0; i < this.bundle.getServicesCount(); i++) {
			Service service = this.bundle.getServices(i);
			String place = "services[" + i + "]";
			this.services.put(service.getName(), service);
			unique(seen, place + ".name", "service", service.getName());
			if (!this.keys.knows(service.getOwner())) {
				this.findings.add(place + ".owner", ErrorType.UNKNOWN_OPERATOR, service.getOwner());
			}
			if (service.getKind() == BackendKind.MODEL_ENGINE && !models.contains(service.getModel())) {
				this.findings.add(place + ".model", ErrorType.DANGLING_REFERENCE, "model", service.getModel());
			}
		}
	}

	private void checkOrganisations() {
		Set<String> names = new HashSet<>();
		Set<String> credentials = new HashSet<>();
		for (int i = 0; i < this.bundle.getOrganisationsCount(); i++) {
			Organisation organisation = this.bundle.getOrganisations(i);
			String place = "organisations[" + i + "]";
			unique(names, place + ".name", "organisation", organisation.getName());
			unique(credentials, place + ".credential", "credential", organisation.getCredential());
			for (int j = 0; j < organisation.getApprovalsCount(); j++) {
				checkApproval(organisation, organisation.getApprovals(j), place + ".approvals[" + j + "]");
			}
		}
	}

	private void checkApproval(Organisation organisation, Approval approval, String place) {
		Service service = this.services.get(approval.getService());
		if (service == null) {
			this.findings.add(place, ErrorType.DANGLING_REFERENCE, "service", approval.getService());
			return;
		}
		byte[] content = Signatures.approvalContent(organisation.getName(), approval.getService());
		if (!service.getOwner().equals(approval.getOwner())
				|| !this.keys.verifies(service.getOwner(), content, approval.getSignature())) {
			this.findings.add(place, ErrorType.MISSING_APPROVAL, organisation.getName(), approval.getService());
		}
	}

	private void unique(Set<String> seen, String place, String kind, String name) {
		requireName(place, name);
		if (!seen.add(name)) {
			this.findings.add(place, ErrorType.DUPLICATE_NAME, kind, name);
		}
	}

	private void requireName(String place, String name) {
		if (name.isEmpty()) {
			this.findings.add(place, ErrorType.MISSING_VALUE, place);
		}
	}

}
