package org.wigeontally.tool;

import com.beust.jcommander.Parameter;

import org.wigeontally.configuration.Signatures;
import org.wigeontally.errors.InputException;
import org.wigeontally.errors.WigeontallyException;
import org.wigeontally.schema.generated.Bundle;
import org.wigeontally.schema.generated.BundleList;

/**
 * Prints a bundle as YAML that can be proposed again, with its digest.
 */
final class BundleShowCommand implements Command {

	private final Console console;

	@Parameter(description = "[NAME], by default the bundle in force")
	private String bundleName;

	BundleShowCommand(Console console) {
		this.console = console;
	}

	@Override
	public String name() {
		return "bundle show";
	}

	@Override
	public String description() {
		return "Print a bundle as a file, with its digest";
	}

	@Override
	public int run() throws WigeontallyException {
		try (OperatorSession session = OperatorSession.open(this.console, false)) {
			Bundle found = find(session.client().bundles());
			if (!this.console.printIfJson(found)) {
				this.console.out().println("# digest " + Signatures.digest(found));
				this.console.out().print(MessageToYaml.write(found));
			}
			return ExitCode.SUCCESS;
		}
	}

	private Bundle find(BundleList bundles) throws InputException, UsageException {
		if (this.bundleName == null && !bundles.hasInForce()) {
			throw new UsageException("no bundle is in force yet; see wigeontally bundle list");
		}
		if (this.bundleName == null || this.bundleName.equals(bundles.getInForce().getName())) {
			return bundles.getInForce();
		}
		return ProposedBundles.find(bundles, this.bundleName).getBundle();
	}

}
