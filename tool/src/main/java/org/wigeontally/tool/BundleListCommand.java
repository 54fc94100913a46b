package org.wigeontally.tool;

import org.wigeontally.errors.WigeontallyException;
import org.wigeontally.schema.generated.Bundle;
import org.wigeontally.schema.generated.BundleList;
import org.wigeontally.schema.generated.ProposedBundle;

/**
 * Lists the bundle in force and the proposed bundles.
 */
final class BundleListCommand implements Command {

	private final Console console;

	BundleListCommand(Console console) {
		this.console = console;
	}

	@Override
	public String name() {
		return "bundle list";
	}

	@Override
	public String description() {
		return "List the bundle in force and the proposed ones";
	}

	@Override
	public int run() throws WigeontallyException {
		try (OperatorSession session = OperatorSession.open(this.console, false)) {
			BundleList bundles = session.client().bundles();
			if (!this.console.printIfJson(bundles)) {
				this.console.out().print(table(bundles));
			}
			return ExitCode.SUCCESS;
		}
	}

	private static String table(BundleList bundles) {
		Table table = Table.of("BUNDLE", "STATE", "BUILDS ON", "AUTHOR", "SIGNED OFF BY", "REVISION");
		if (bundles.hasInForce()) {
			Bundle bundle = bundles.getInForce();
			table.addRow(bundle.getName(), "in force", bundle.getBuildsOn(), "", "", bundles.getRolledAt());
		}
		for (ProposedBundle each : bundles.getProposedList()) {
			String state = each.getSignedOffBy().isEmpty() ? "proposed" : "signed off";
			table.addRow(each.getBundle().getName(), state, each.getBundle().getBuildsOn(), each.getAuthor(),
					each.getSignedOffBy(), each.getRevision());
		}
		return table.format();
	}

}
