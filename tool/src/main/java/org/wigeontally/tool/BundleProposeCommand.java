package org.wigeontally.tool;

import java.nio.file.Path;

import com.beust.jcommander.Parameter;

import org.wigeontally.errors.WigeontallyException;
import org.wigeontally.schema.generated.Bundle;
import org.wigeontally.schema.generated.Change;
import org.wigeontally.schema.generated.ProposeBundle;
import org.wigeontally.schema.generated.ProposedBundle;

/**
 * Proposes the bundle in a file. A proposal of the same name is replaced.
 */
final class BundleProposeCommand implements Command {

	private final Console console;

	@Parameter(description = "FILE", required = true)
	private String file;

	BundleProposeCommand(Console console) {
		this.console = console;
	}

	@Override
	public String name() {
		return "bundle propose";
	}

	@Override
	public String description() {
		return "Propose the bundle in a file";
	}

	@Override
	public int run() throws WigeontallyException {
		Bundle bundle = BundleFile.read(Path.of(this.file));
		try (OperatorSession session = OperatorSession.open(this.console, true)) {
			long baseRevision = session.client()
				.bundles()
				.getProposedList()
				.stream()
				.filter((each) -> each.getBundle().getName().equals(bundle.getName()))
				.mapToLong(ProposedBundle::getRevision)
				.findFirst()
				.orElse(0);
			return session.submitAndWait(Change.newBuilder()
				.setBuildsOn(baseRevision)
				.setPropose(ProposeBundle.newBuilder().setBundle(bundle)));
		}
	}

}
