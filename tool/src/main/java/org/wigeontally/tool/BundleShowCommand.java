package org.wigeontally.tool;

import com.beust.jcommander.Parameter;

import org.wigeontally.configuration.Signatures;
import org.wigeontally.errors.InputException;
import org.wigeontally.errors.WigeontallyException;
import org.wigeontally.schema.generated.Bundle;
import org.wigeontally.schema.generated.BundleList;

/**
 * Prints a bundle in the form of a file.
 */
final class BundleShowCommand implements Command {

	private final Console console;

	@Parameter(description = "[NAME], by default the bundle in force")
	private String bundle;

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
			if (!this.console.printedAsJson(found)) {
				this.console.out().println("# digest " + Signatures.digest(found));
				this.console.out().print(MessageToYaml.write(found));
			}
			return ExitCode.DONE;
		}
	}

	private Bundle find(BundleList bundles) throws InputException, UsageException {
		if (this.bundle == null && !bundles.hasInForce()) {
			throw new UsageException("no bundle is in force yet; see wigeontally bundle list");
		}
		if (this.bundle == null || this.bundle.equals(bundles.getInForce().getName())) {
			return bundles.getInForce();
		}
		return Proposals.find(bundles, this.bundle).getBundle();
	}

}
