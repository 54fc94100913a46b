package org.wigeontally.tool;

import com.beust.jcommander.Parameter;

import org.wigeontally.errors.WigeontallyException;
import org.wigeontally.schema.generated.Change;
import org.wigeontally.schema.generated.SetZone;
import org.wigeontally.schema.generated.StatusReport;
import org.wigeontally.schema.generated.ZoneStatus;

/**
 * Takes an availability zone out of service or returns it. Rejects a zone that the status
 * report does not list, because a misspelt name would otherwise appear to succeed.
 */
final class ZoneCommand implements Command {

	private final Console console;

	private final boolean takesOut;

	@Parameter(description = "NAME", required = true)
	private String zoneName;

	ZoneCommand(Console console, boolean takesOut) {
		this.console = console;
		this.takesOut = takesOut;
	}

	@Override
	public String name() {
		return this.takesOut ? "zone out" : "zone back";
	}

	@Override
	public String description() {
		return this.takesOut ? "Take an availability zone out of work" : "Take an availability zone back into work";
	}

	@Override
	public int run() throws WigeontallyException {
		try (OperatorSession session = OperatorSession.open(this.console, true)) {
			long baseRevision = zoneRevision(session.client().status());
			return session.submitAndWait(Change.newBuilder()
				.setBuildsOn(baseRevision)
				.setZone(SetZone.newBuilder().setZone(this.zoneName).setOut(this.takesOut)));
		}
	}

	private long zoneRevision(StatusReport report) throws UsageException {
		for (ZoneStatus each : report.getZonesList()) {
			if (each.getZone().equals(this.zoneName)) {
				return each.getRevision();
			}
		}
		throw new UsageException("zone \"" + this.zoneName + "\" is not known; known: "
				+ String.join(", ", report.getZonesList().stream().map(ZoneStatus::getZone).toList()));
	}

}
