package org.wigeontally.tool;

import java.util.List;

import com.beust.jcommander.Parameter;

import org.wigeontally.errors.WigeontallyException;
import org.wigeontally.schema.generated.HostStatus;
import org.wigeontally.schema.generated.StatusReport;

/**
 * Follows what is in force where until every live host holds a revision.
 */
final class WatchCommand implements Command {

	private static final int HOSTS_NAMED = 5;

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
			String last = "";
			while (true) {
				StatusReport report = session.client().status();
				long target = (this.revision > 0) ? this.revision : report.getStanding().getRevision();
				List<HostStatus> behind = StatusTables.behind(report, target);
				String line = line(report, target, behind);
				if (!line.equals(last) && !this.console.printedAsJson(report)) {
					this.console.out().println(line);
				}
				last = line;
				if (behind.isEmpty()) {
					return ExitCode.DONE;
				}
				if (session.expired()) {
					return ExitCode.UNSETTLED;
				}
				OperatorSession.pause();
			}
		}
	}

	private static String line(StatusReport report, long target, List<HostStatus> behind) {
		String line = "revision " + target + ": in force on " + (StatusTables.live(report).size() - behind.size())
				+ " of " + StatusTables.live(report).size() + " live hosts, minimum " + report.getMinimumRevision();
		if (behind.isEmpty()) {
			return line;
		}
		List<String> names = behind.stream().limit(HOSTS_NAMED).map(HostStatus::getHost).toList();
		return line + ", behind: " + String.join(", ", names) + ((behind.size() > HOSTS_NAMED) ? ", …" : "");
	}

}
