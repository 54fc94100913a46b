package org.wigeontally.tool;

import org.wigeontally.errors.ErrorType;
import org.wigeontally.errors.Findings;
import org.wigeontally.errors.InputException;
import org.wigeontally.schema.generated.BundleList;
import org.wigeontally.schema.generated.ProposedBundle;

/**
 * Finds proposed bundles by name.
 */
final class ProposedBundles {

	private ProposedBundles() {
	}

	static ProposedBundle find(BundleList bundles, String name) throws InputException {
		for (ProposedBundle each : bundles.getProposedList()) {
			if (each.getBundle().getName().equals(name)) {
				return each;
			}
		}
		Findings findings = Findings.create();
		findings.add("see wigeontally bundle list", ErrorType.UNKNOWN_BUNDLE, name);
		throw InputException.of(findings.list());
	}

}
