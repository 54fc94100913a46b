package org.wigeontally.tool;

import com.beust.jcommander.Parameter;

import org.wigeontally.errors.WigeontallyException;
import org.wigeontally.schema.generated.Change;
import org.wigeontally.schema.generated.SetZone;
import org.wigeontally.schema.generated.StatusReport;
import org.wigeontally.schema.generated.ZoneStatus;

/**
 * Takes an availability zone out of work or back. A zone that no host names is refused,
 * since a misspelt name would otherwise pass for done.
 */
final class ZoneCommand implements Command {

	private final Console console;

	private final boolean out;

	@Parameter(description = "NAME", required = true)
	private String zone;

	ZoneCommand(Console console, boolean out) {
		this.console = console;
		this.out = out;
	}

	@Override
	public String name() {
		return this.out ? "zone out" : "zone back";
	}

	@Override
	public String description() {
		return this.out ? "Take an availability zone out of work" : "Take an availability zone back into work";
	}

	@Override
	public int run() throws WigeontallyException {
		try (OperatorSession session = OperatorSession.open(this.console, true)) {
			long newest = revision(session.client().status());
			return session.carryOut(Change.newBuilder()
				.setBuildsOn(newest)
				.setZone(SetZone.newBuilder().setZone(this.zone).setOut(this.out)));
		}
	}

	private long revision(StatusReport report) throws UsageException {
		for (ZoneStatus each : report.getZonesList()) {
			if (each.getZone().equals(this.zone)) {
				return each.getRevision();
			}
		}
		throw new UsageException("zone \"" + this.zone + "\" is not known; known: "
				+ String.join(", ", report.getZonesList().stream().map(ZoneStatus::getZone).toList()));
	}

}
