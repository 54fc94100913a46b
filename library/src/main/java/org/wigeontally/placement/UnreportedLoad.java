package org.wigeontally.placement;

/**
 * Estimates the requests of the other entries at a backend server without a recent
 * report.
 *
 * <p>
 * It answers steady load while agents are killed, restart, have not started yet or are
 * cut off for seconds: each entry then sees only its own requests. Those are a small
 * sample of all requests; one entry of nine has one or two at an engine that is half
 * full. Multiplied by the number of entries, two are as many as a full engine has, and
 * with 40 entries one is. If an entry relied on that, it would refuse requests while most
 * engines are idle.
 *
 * <p>
 * The multiple is therefore used only to compare backend servers, not to call one full:
 * it counts up to a part of the places that remain, which grows with the own requests,
 * and spares the reserved ones. It makes each entry spread its requests evenly, which
 * keeps entries that see idle engines at the same time from crowding one. What the other
 * entries had at the last report, which can come with an answer, counts as well and
 * halves with each further second, since requests last about as long. An engine that is
 * full all the same refuses at once, which costs another sending; the refusal counts like
 * a report.
 */
final class UnreportedLoad {

	/** Time in which the other entries' requests of the last report halve. */
	private static final double HALF_LIFE_MS = 1_000;

	private UnreportedLoad() {
	}

	/**
	 * Estimates what is left of the requests of the other entries at the last report.
	 * @param reported their requests at the last report
	 * @param overdueMs time since that report became too old
	 * @return number of requests
	 */
	static int remembered(int reported, long overdueMs) {
		return (int) (reported * Math.pow(0.5, overdueMs / HALF_LIFE_MS));
	}

	/**
	 * Estimates the requests of the other entries.
	 * @param remembered what is left of their requests at the last report
	 * @param ownRequests requests of this entry
	 * @param otherEntries number of the other entries
	 * @param places requests that the backend server processes at the same time
	 * @return number of requests
	 */
	static int ofOthers(int remembered, int ownRequests, int otherEntries, int places) {
		int remainingPlaces = Math.max(0, places - EnginePlacement.RESERVED_SLOTS - ownRequests);
		int maxGuessed = remainingPlaces * ownRequests / (ownRequests + 1);
		int guessed = (int) Math.min((long) ownRequests * otherEntries, maxGuessed);
		return Math.max(remembered, guessed);
	}

}
