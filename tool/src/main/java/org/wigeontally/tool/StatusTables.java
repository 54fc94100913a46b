package org.wigeontally.tool;

import java.util.List;

import org.wigeontally.schema.generated.Alarm;
import org.wigeontally.schema.generated.HostStatus;
import org.wigeontally.schema.generated.Liveness;
import org.wigeontally.schema.generated.Role;
import org.wigeontally.schema.generated.Standing;
import org.wigeontally.schema.generated.StatusReport;
import org.wigeontally.schema.generated.VersionStatus;
import org.wigeontally.schema.generated.ZoneStatus;
import org.wigeontally.settings.Addresses;

/**
 * Formats status reports as text tables.
 */
final class StatusTables {

	private static final int PROGRESS_BAR_WIDTH = 20;

	private StatusTables() {
	}

	static String fullReport(StatusReport report) {
		return summary(report) + "\n" + zoneTable(report) + "\n" + versionTable(report) + hostTable(report) + "\n"
				+ alarmTable(report);
	}

	static List<HostStatus> liveHosts(StatusReport report) {
		return report.getHostsList().stream().filter((host) -> host.getLiveness() != Liveness.DEAD).toList();
	}

	static List<HostStatus> hostsBehind(StatusReport report, long revision) {
		return liveHosts(report).stream()
			.filter((host) -> host.getHeldRevision() >= 0 && host.getHeldRevision() < revision)
			.toList();
	}

	private static String summary(StatusReport report) {
		Standing standing = report.getStanding();
		String bundle = report.getBundle().isEmpty() ? "none" : report.getBundle();
		String confirmed = (standing.getConfirmedAgeMs() < 0) ? "never" : standing.getConfirmedAgeMs() + " ms ago";
		List<HostStatus> behind = hostsBehind(report, standing.getRevision());
		return "bundle in force: " + bundle + ", newest revision " + standing.getRevision() + ", minimum "
				+ report.getMinimumRevision() + ", hosts known to be behind: " + behind.size() + "\n" + "reported by "
				+ report.getReporter() + ", confirmed " + confirmed + "\n";
	}

	private static String zoneTable(StatusReport report) {
		Table table = Table.of("ZONE", "REGION", "STATE", "ENTRIES", "AGENTS", "REVISION");
		for (ZoneStatus zone : report.getZonesList()) {
			table.addRow(zone.getZone(), zone.getRegion(), zone.getOut() ? "out" : "in work", zone.getEntriesLive(),
					zone.getAgentsLive(), zone.getRevision());
		}
		return table.format();
	}

	private static String versionTable(StatusReport report) {
		if (report.getVersionsCount() == 0) {
			return "";
		}
		Table table = Table.of("MODEL", "VERSION", "STATE", "CHUNKS", "LOADED");
		for (VersionStatus version : report.getVersionsList()) {
			table.addRow(version.getModel(), version.getVersion(), version.getInForce() ? "in force" : "on the way",
					progressBar(version.getChunksVerified(), version.getChunks()),
					version.getHostsLoaded() + " of " + version.getHosts() + " hosts");
		}
		return table.format() + "\n";
	}

	static String progressBar(long done, long total) {
		long cappedDone = (total > 0) ? Math.min(done, total) : 0;
		int filledWidth = (total > 0) ? (int) (cappedDone * PROGRESS_BAR_WIDTH / total) : 0;
		long percent = (total > 0) ? cappedDone * 100 / total : 0;
		return "[" + "#".repeat(filledWidth) + ".".repeat(PROGRESS_BAR_WIDTH - filledWidth) + "] " + percent + "%";
	}

	static String hostTable(StatusReport report) {
		Table table = Table.of("HOST", "ROLE", "ZONE", "ADDRESS", "STATE", "IN FORCE", "BACKEND SERVERS");
		for (HostStatus host : report.getHostsList()) {
			table.addRow(host.getHost(), (host.getRole() == Role.AGENT) ? "agent" : "entry", host.getZone(),
					Addresses.format(host.getAddress()), hostState(host), heldRevision(host), backendStates(host));
		}
		return table.format();
	}

	private static String hostState(HostStatus host) {
		String liveness = host.getLiveness().name().toLowerCase();
		return host.getDraining() ? liveness + ", draining" : liveness;
	}

	private static String heldRevision(HostStatus host) {
		return (host.getHeldRevision() < 0) ? "not known here" : "revision " + host.getHeldRevision();
	}

	private static String backendStates(HostStatus host) {
		return String.join("; ", host.getBackendsList().stream().map((backend) -> {
			String version = backend.getVersion().isEmpty() ? "" : " " + backend.getVersion();
			String state = backend.getUp() ? (backend.getCold() ? "cold" : "warm") : "down";
			return backend.getService() + version + " " + state + " " + backend.getRunning() + "/" + backend.getLimit();
		}).toList());
	}

	private static String alarmTable(StatusReport report) {
		if (report.getAlarmsCount() == 0) {
			return "no alarms\n";
		}
		Table table = Table.of("ALARM", "HOST", "MESSAGE");
		for (Alarm alarm : report.getAlarmsList()) {
			table.addRow(alarm.getNumber(), alarm.getHost(), alarm.getMessage());
		}
		return table.format();
	}

}
