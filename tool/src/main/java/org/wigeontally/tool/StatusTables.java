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
 * Status reports as tables.
 */
final class StatusTables {

	private static final int BAR_WIDTH = 20;

	private StatusTables() {
	}

	static String all(StatusReport report) {
		return head(report) + "\n" + zones(report) + "\n" + versions(report) + hosts(report) + "\n" + alarms(report);
	}

	static List<HostStatus> live(StatusReport report) {
		return report.getHostsList().stream().filter((host) -> host.getLiveness() != Liveness.DEAD).toList();
	}

	static List<HostStatus> behind(StatusReport report, long revision) {
		return live(report).stream().filter((host) -> host.getHeldRevision() < revision).toList();
	}

	private static String head(StatusReport report) {
		Standing standing = report.getStanding();
		String bundle = report.getBundle().isEmpty() ? "none" : report.getBundle();
		String confirmed = (standing.getConfirmedAgeMs() < 0) ? "never" : standing.getConfirmedAgeMs() + " ms ago";
		List<HostStatus> behind = behind(report, standing.getRevision());
		return "bundle in force: " + bundle + ", newest revision " + standing.getRevision() + ", minimum "
				+ report.getMinimumRevision() + ", hosts behind: " + behind.size() + "\n" + "reported by "
				+ report.getReporter() + ", confirmed " + confirmed + "\n";
	}

	private static String zones(StatusReport report) {
		Table table = Table.of("ZONE", "REGION", "STATE", "ENTRIES", "AGENTS", "REVISION");
		for (ZoneStatus zone : report.getZonesList()) {
			table.row(zone.getZone(), zone.getRegion(), zone.getOut() ? "out" : "in work", zone.getEntriesLive(),
					zone.getAgentsLive(), zone.getRevision());
		}
		return table.format();
	}

	private static String versions(StatusReport report) {
		if (report.getVersionsCount() == 0) {
			return "";
		}
		Table table = Table.of("MODEL", "VERSION", "STATE", "CHUNKS", "LOADED");
		for (VersionStatus version : report.getVersionsList()) {
			table.row(version.getModel(), version.getVersion(), version.getInForce() ? "in force" : "on the way",
					bar(version.getChunksVerified(), version.getChunks()),
					version.getHostsLoaded() + " of " + version.getHosts() + " hosts");
		}
		return table.format() + "\n";
	}

	static String bar(long done, long total) {
		long part = (total > 0) ? Math.min(done, total) : 0;
		int filled = (total > 0) ? (int) (part * BAR_WIDTH / total) : 0;
		long percent = (total > 0) ? part * 100 / total : 0;
		return "[" + "#".repeat(filled) + ".".repeat(BAR_WIDTH - filled) + "] " + percent + "%";
	}

	static String hosts(StatusReport report) {
		Table table = Table.of("HOST", "ROLE", "ZONE", "ADDRESS", "STATE", "IN FORCE", "HEARD", "BACKEND SERVERS");
		for (HostStatus host : report.getHostsList()) {
			table.row(host.getHost(), (host.getRole() == Role.AGENT) ? "agent" : "entry", host.getZone(),
					Addresses.format(host.getAddress()), state(host), held(host), host.getHeardAgeMs() + " ms ago",
					backends(host));
		}
		return table.format();
	}

	private static String state(HostStatus host) {
		String liveness = host.getLiveness().name().toLowerCase();
		return host.getDraining() ? liveness + ", draining" : liveness;
	}

	private static String held(HostStatus host) {
		return (host.getHeldRevision() < 0) ? "not known" : "revision " + host.getHeldRevision();
	}

	private static String backends(HostStatus host) {
		return String.join("; ", host.getBackendsList().stream().map((backend) -> {
			String version = backend.getVersion().isEmpty() ? "" : " " + backend.getVersion();
			String state = backend.getUp() ? (backend.getCold() ? "cold" : "warm") : "down";
			return backend.getService() + version + " " + state + " " + backend.getRunning() + "/" + backend.getLimit();
		}).toList());
	}

	private static String alarms(StatusReport report) {
		if (report.getAlarmsCount() == 0) {
			return "no alarms\n";
		}
		Table table = Table.of("ALARM", "HOST", "MESSAGE");
		for (Alarm alarm : report.getAlarmsList()) {
			table.row(alarm.getNumber(), alarm.getHost(), alarm.getMessage());
		}
		return table.format();
	}

}
