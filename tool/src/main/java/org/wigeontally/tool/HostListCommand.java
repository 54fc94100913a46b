package org.wigeontally.tool;

import org.wigeontally.errors.WigeontallyException;
import org.wigeontally.schema.generated.StatusReport;

/**
 * Lists the hosts with their state and held revision.
 */
final class HostListCommand implements Command {

	private final Console console;

	HostListCommand(Console console) {
		this.console = console;
	}

	@Override
	public String name() {
		return "host list";
	}

	@Override
	public String description() {
		return "List the hosts and what each has in force";
	}

	@Override
	public int run() throws WigeontallyException {
		try (OperatorSession session = OperatorSession.open(this.console, false)) {
			StatusReport report = session.client().status();
			if (!this.console.printIfJson(report)) {
				this.console.out().print(StatusTables.hostTable(report));
			}
			return ExitCode.SUCCESS;
		}
	}

}
