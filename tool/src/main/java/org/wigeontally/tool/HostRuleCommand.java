package org.wigeontally.tool;

import com.beust.jcommander.Parameter;

import org.wigeontally.errors.WigeontallyException;
import org.wigeontally.schema.generated.Change;
import org.wigeontally.schema.generated.HostStatus;
import org.wigeontally.schema.generated.SetHost;
import org.wigeontally.schema.generated.StatusReport;

/**
 * Drains a host or takes it back.
 */
final class HostRuleCommand implements Command {

	private final Console console;

	private final boolean drain;

	@Parameter(description = "NAME", required = true)
	private String host;

	HostRuleCommand(Console console, boolean drain) {
		this.console = console;
		this.drain = drain;
	}

	@Override
	public String name() {
		return this.drain ? "host drain" : "host back";
	}

	@Override
	public String description() {
		return this.drain ? "Give a host no new work and let it finish what it has" : "Take a host back into work";
	}

	@Override
	public int run() throws WigeontallyException {
		try (OperatorSession session = OperatorSession.open(this.console, true)) {
			long newest = revision(session.client().status());
			return session.carryOut(Change.newBuilder()
				.setBuildsOn(newest)
				.setHost(SetHost.newBuilder().setHost(this.host).setDraining(this.drain)));
		}
	}

	private long revision(StatusReport report) throws UsageException {
		for (HostStatus each : report.getHostsList()) {
			if (each.getHost().equals(this.host)) {
				return each.getRuleRevision();
			}
		}
		throw new UsageException("host \"" + this.host + "\" is not known; see wigeontally host list");
	}

}
