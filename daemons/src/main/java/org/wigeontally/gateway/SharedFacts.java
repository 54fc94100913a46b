package org.wigeontally.gateway;

import org.wigeontally.fleet.FactsDigest;
import org.wigeontally.schema.generated.EntryNews;
import org.wigeontally.schema.generated.SuspectSummary;
import org.wigeontally.schema.generated.VersionAge;

/**
 * What entries tell each other beside their own state and the store's records: suspects,
 * announced versions, leaving and limited backend servers. Runs on the event loop.
 */
final class SharedFacts {

	private final GatewayContext context;

	SharedFacts(GatewayContext context) {
		this.context = context;
	}

	/**
	 * Adds the facts that this entry knows, and their digest.
	 * @param news the message to add them to
	 */
	void addTo(EntryNews.Builder news) {
		FleetState fleet = this.context.fleet();
		news.addAllLeavingBackends(fleet.leavingBackends()).addAllLimitedBackends(this.context.limits().news());
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
		FleetState fleet = this.context.fleet();
		long nowMs = this.context.nowMs();
		peerNews.getVersionsList()
			.forEach((announced) -> fleet.announcedVersions(announced.getModel())
				.updateAnnouncementTime(announced.getVersion(), nowMs - announced.getAgeMs()));
		peerNews.getLeavingBackendsList().forEach((leaving) -> fleet.recordLeaving(leaving, source));
		if (peerNews.hasSuspects()) {
			this.context.harmfulRequests().merge(peerNews.getSuspects());
		}
		if (peerNews.hasSuspectParts()) {
			this.context.harmfulParts().merge(peerNews.getSuspectParts(), source);
		}
	}

}
