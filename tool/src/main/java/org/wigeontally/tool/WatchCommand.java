package org.wigeontally.tool;

import java.util.List;

import com.beust.jcommander.Parameter;

import org.wigeontally.errors.WigeontallyException;
import org.wigeontally.schema.generated.HostStatus;
import org.wigeontally.schema.generated.StatusReport;

/**
 * Prints the progress of a revision until every live host holds it or the command times
 * out.
 */
final class WatchCommand implements Command {

	private static final int MAX_LISTED_HOSTS = 5;

	private final Console console;

	@Parameter(names = "--revision", description = "Revision to wait for; by default the newest one")
	private long revision;

	WatchCommand(Console console) {
		this.console = console;
	}

	@Override
	public String name() {
		return "watch";
	}

	@Override
	public String description() {
		return "Follow what is in force where until it is in force everywhere";
	}

	@Override
	public int run() throws WigeontallyException {
		try (OperatorSession session = OperatorSession.open(this.console, false)) {
			String lastLine = "";
			while (true) {
				StatusReport report = session.client().status();
				long targetRevision = (this.revision > 0) ? this.revision : report.getStanding().getRevision();
				List<HostStatus> behind = StatusTables.hostsBehind(report, targetRevision);
				String line = progressLine(report, targetRevision, behind);
				if (!line.equals(lastLine) && !this.console.printIfJson(report)) {
					this.console.out().println(line);
				}
				lastLine = line;
				if (report.getMinimumRevision() >= targetRevision) {
					return ExitCode.SUCCESS;
				}
				if (session.isPastDeadline()) {
					return ExitCode.UNSETTLED;
				}
				OperatorSession.sleepUntilNextPoll();
			}
		}
	}

	private static String progressLine(StatusReport report, long targetRevision, List<HostStatus> behind) {
		String line = "revision " + targetRevision + ": minimum in force " + report.getMinimumRevision() + ", "
				+ StatusTables.liveHosts(report).size() + " live hosts";
		if (behind.isEmpty()) {
			return line;
		}
		List<String> names = behind.stream().limit(MAX_LISTED_HOSTS).map(HostStatus::getHost).toList();
		return line + ", known to be behind: " + String.join(", ", names)
				+ ((behind.size() > MAX_LISTED_HOSTS) ? ", …" : "");
	}

}
