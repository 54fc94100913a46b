package org.wigeontally.fleet;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against requests that an entry starts although its process may end before them.
 * The load is that of callers which keep the address of a stopped entry for three
 * lifetimes of the directory's answer.
 */
public class DrainScheduleTests {

	private static final long SIGNAL_MS = 1_000_000;

	/** Three lifetimes of two seconds. */
	private static final long ADDRESS_KEPT_MS = 6_000;

	@DataProvider
	public Object[][] gracePeriods() {
		return new Object[][] { { 300 }, { 1_000 }, { 3_000 }, { 8_000 }, { 60_000 } };
	}

	@Test(dataProvider = "gracePeriods")
	public void noStartedRequestIsInProgressAtTheEnd(long graceMs) {
		DrainSchedule schedule = DrainSchedule.of(SIGNAL_MS, graceMs);
		for (long timeoutMs : new long[] { 20, 1_500, 6_000, 600_000 }) {
			for (long sentMs = 0; sentMs < ADDRESS_KEPT_MS; sentMs += 10) {
				long expiresAtMs = SIGNAL_MS + sentMs + timeoutMs;
				if (schedule.isEndingInTime(expiresAtMs)) {
					assertThat(schedule.remainingMs(expiresAtMs)).isPositive();
					assertThat(schedule.isAnswerDue(expiresAtMs - 1)).isFalse();
				}
			}
		}
	}

	@Test(dataProvider = "gracePeriods")
	public void everythingIsAnsweredBeforeTheForcedEnd(long graceMs) {
		DrainSchedule schedule = DrainSchedule.of(SIGNAL_MS, graceMs);
		long answerMs = SIGNAL_MS;
		while (!schedule.isAnswerDue(answerMs)) {
			answerMs++;
		}
		assertThat(schedule.isClosingDue(answerMs)).isTrue();
		assertThat(schedule.remainingMs(answerMs)).isPositive();
		assertThat(schedule.remainingMs(SIGNAL_MS + graceMs - 1)).isNotPositive();
	}

	@Test
	public void plainRequestsAreServedAsLongAsCallersKeepTheAddress() {
		DrainSchedule schedule = DrainSchedule.of(SIGNAL_MS, 8_000);
		assertThat(schedule.isEndingInTime(SIGNAL_MS + ADDRESS_KEPT_MS + 1_500)).isTrue();
		assertThat(schedule.isClosingDue(SIGNAL_MS + ADDRESS_KEPT_MS)).isFalse();
	}

	@Test
	public void entryIsClosedBeforeTheGracePeriodEnds() {
		DrainSchedule schedule = DrainSchedule.of(SIGNAL_MS, 60_000);
		assertThat(schedule.isClosingDue(SIGNAL_MS + ADDRESS_KEPT_MS + 500)).isTrue();
		assertThat(schedule.isAnswerDue(SIGNAL_MS + ADDRESS_KEPT_MS + 500)).isFalse();
	}

}
