package org.wigeontally.tool;

import org.wigeontally.errors.WigeontallyException;
import org.wigeontally.schema.generated.StatusReport;

/**
 * Prints the status of the deployment: zones, model versions, hosts and alarms.
 */
final class StatusCommand implements Command {

	private final Console console;

	StatusCommand(Console console) {
		this.console = console;
	}

	@Override
	public String name() {
		return "status";
	}

	@Override
	public String description() {
		return "Show zones, versions, hosts, what is in force where, and alarms";
	}

	@Override
	public int run() throws WigeontallyException {
		try (OperatorSession session = OperatorSession.open(this.console, false)) {
			StatusReport report = session.client().status();
			if (!this.console.printIfJson(report)) {
				this.console.out().print(StatusTables.fullReport(report));
			}
			return ExitCode.SUCCESS;
		}
	}

}
