package org.wigeontally.tool;

import com.beust.jcommander.Parameter;

import org.wigeontally.errors.WigeontallyException;
import org.wigeontally.schema.generated.Change;
import org.wigeontally.schema.generated.ProposedBundle;
import org.wigeontally.schema.generated.RollBundle;

/**
 * Puts a signed-off bundle in force.
 */
final class BundleRollCommand implements Command {

	private final Console console;

	@Parameter(description = "NAME", required = true)
	private String bundleName;

	BundleRollCommand(Console console) {
		this.console = console;
	}

	@Override
	public String name() {
		return "bundle roll";
	}

	@Override
	public String description() {
		return "Put a signed-off bundle in force";
	}

	@Override
	public int run() throws WigeontallyException {
		try (OperatorSession session = OperatorSession.open(this.console, true)) {
			ProposedBundle proposed = ProposedBundles.find(session.client().bundles(), this.bundleName);
			return session.submitAndWait(Change.newBuilder()
				.setBuildsOn(proposed.getRevision())
				.setRoll(RollBundle.newBuilder().setBundle(this.bundleName)));
		}
	}

}
