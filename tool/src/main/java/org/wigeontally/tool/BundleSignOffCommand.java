package org.wigeontally.tool;

import com.beust.jcommander.Parameter;

import org.wigeontally.configuration.Signatures;
import org.wigeontally.errors.WigeontallyException;
import org.wigeontally.schema.generated.Change;
import org.wigeontally.schema.generated.ProposedBundle;
import org.wigeontally.schema.generated.SignOffBundle;

/**
 * Signs off a proposed bundle. With --digest, refuses if the proposal differs from the
 * one that was reviewed.
 */
final class BundleSignOffCommand implements Command {

	private final Console console;

	@Parameter(description = "NAME", required = true)
	private String bundleName;

	@Parameter(names = "--digest", description = "Digest that was reviewed, from bundle show")
	private String reviewedDigest;

	BundleSignOffCommand(Console console) {
		this.console = console;
	}

	@Override
	public String name() {
		return "bundle sign-off";
	}

	@Override
	public String description() {
		return "Sign off a bundle that somebody else proposed";
	}

	@Override
	public int run() throws WigeontallyException {
		try (OperatorSession session = OperatorSession.open(this.console, true)) {
			ProposedBundle proposed = ProposedBundles.find(session.client().bundles(), this.bundleName);
			String currentDigest = Signatures.digest(proposed.getBundle());
			if (this.reviewedDigest != null && !this.reviewedDigest.equals(currentDigest)) {
				throw new UsageException("the proposal has changed since the review; its digest is now " + currentDigest
						+ "; review it again with wigeontally bundle show " + this.bundleName);
			}
			SignOffBundle signOff = SignOffBundle.newBuilder()
				.setBundle(this.bundleName)
				.setDigest(currentDigest)
				.build();
			return session.submitAndWait(Change.newBuilder().setBuildsOn(proposed.getRevision()).setSignOff(signOff));
		}
	}

}
