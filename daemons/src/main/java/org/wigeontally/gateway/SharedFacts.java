package org.wigeontally.gateway;

import org.wigeontally.fleet.EntryTable;
import org.wigeontally.fleet.FactsDigest;
import org.wigeontally.schema.generated.EntryNews;
import org.wigeontally.schema.generated.SuspectSummary;
import org.wigeontally.schema.generated.VersionAge;

/**
 * What entries tell each other beside their own state and the store's records: other
 * entries, suspects, announced versions, leaving and limited backend servers. Runs on the
 * event loop.
 */
final class SharedFacts {

	private final GatewayContext context;

	private final EntryTable table;

	SharedFacts(GatewayContext context, EntryTable table) {
		this.context = context;
		this.table = table;
	}

	/**
	 * Adds the entries that this one knows, unless the other side knows the same.
	 * @param news the message to add them to, with the digest of entries
	 * @param peerNews the message that it replies to
	 */
	void addEntries(EntryNews.Builder news, EntryNews peerNews) {
		if (peerNews.getEntriesDigest() != news.getEntriesDigest()) {
			this.table.liveEntries(this.context.nowMs())
				.forEach((known) -> news.addEntries(known.getControl())
					.addEntryHeartbeatPorts(known.getHeartbeatPort()));
		}
	}

	/**
	 * Adds the entries that another one knows to the table.
	 * @param peerNews the message of the other entry
	 */
	void applyEntries(EntryNews peerNews) {
		for (int i = 0; i < peerNews.getEntriesCount(); i++) {
			// The previous release does not name ports.
			boolean portNamed = i < peerNews.getEntryHeartbeatPortsCount();
			this.table.addEntry(peerNews.getEntries(i), portNamed ? peerNews.getEntryHeartbeatPorts(i) : 0);
		}
	}

	/**
	 * Adds the facts that this entry knows, and their digest.
	 * @param news the message to add them to
	 */
	void addTo(EntryNews.Builder news) {
		FleetState fleet = this.context.fleet();
		news.addAllLeavingBackends(fleet.leaving().list()).addAllLimitedBackends(this.context.limits().news());
		SuspectSummary suspects = this.context.harmfulRequests().summary();
		if (suspects.getContentsCount() > 0) {
			news.setSuspects(suspects);
		}
		SuspectSummary suspectParts = this.context.harmfulParts().summary();
		if (suspectParts.getContentsCount() > 0) {
			news.setSuspectParts(suspectParts);
		}
		long nowMs = this.context.nowMs();
		fleet.announcedVersionsByModel()
			.forEach((model, announced) -> announced.announcementTimes()
				.forEach((version, atMs) -> news
					.addVersions(VersionAge.newBuilder().setModel(model).setVersion(version).setAgeMs(nowMs - atMs))));
		news.setFactsDigest(FactsDigest.of(news.buildPartial()));
	}

	/**
	 * Applies the facts that another entry told, except limits, whose age depends on who
	 * called whom.
	 * @param peerNews the message of the other entry
	 * @param source the entry, for the log
	 */
	void apply(EntryNews peerNews, String source) {
		applyVersions(peerNews);
		FleetState fleet = this.context.fleet();
		peerNews.getLeavingBackendsList().forEach((leaving) -> fleet.leaving().record(leaving, source));
		if (peerNews.hasSuspects()) {
			this.context.harmfulRequests().merge(peerNews.getSuspects());
		}
		if (peerNews.hasSuspectParts()) {
			this.context.harmfulParts().merge(peerNews.getSuspectParts(), source);
		}
	}

	/**
	 * Applies the times of announcements. Every message names them, since the earliest
	 * one decides from when on a version is required.
	 * @param peerNews the message of the other entry
	 */
	void applyVersions(EntryNews peerNews) {
		long nowMs = this.context.nowMs();
		peerNews.getVersionsList()
			.forEach((announced) -> this.context.fleet()
				.announcedVersions(announced.getModel())
				.updateAnnouncementTime(announced.getVersion(), nowMs - announced.getAgeMs()));
	}

}
