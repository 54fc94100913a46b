package org.wigeontally.tool;

import com.beust.jcommander.Parameter;

import org.wigeontally.errors.WigeontallyException;
import org.wigeontally.schema.generated.Change;
import org.wigeontally.schema.generated.HostStatus;
import org.wigeontally.schema.generated.SetHost;
import org.wigeontally.schema.generated.StatusReport;

/**
 * Drains a host or returns it to service.
 */
final class HostDrainCommand implements Command {

	private final Console console;

	private final boolean draining;

	@Parameter(description = "NAME", required = true)
	private String hostName;

	HostDrainCommand(Console console, boolean draining) {
		this.console = console;
		this.draining = draining;
	}

	@Override
	public String name() {
		return this.draining ? "host drain" : "host back";
	}

	@Override
	public String description() {
		return this.draining ? "Give a host no new work and let it finish what it has" : "Take a host back into work";
	}

	@Override
	public int run() throws WigeontallyException {
		try (OperatorSession session = OperatorSession.open(this.console, true)) {
			long baseRevision = ruleRevision(session.client().status());
			return session.submitAndWait(Change.newBuilder()
				.setBuildsOn(baseRevision)
				.setHost(SetHost.newBuilder().setHost(this.hostName).setDraining(this.draining)));
		}
	}

	private long ruleRevision(StatusReport report) throws UsageException {
		for (HostStatus each : report.getHostsList()) {
			if (each.getHost().equals(this.hostName)) {
				return each.getRuleRevision();
			}
		}
		throw new UsageException("host \"" + this.hostName + "\" is not known; see wigeontally host list");
	}

}
