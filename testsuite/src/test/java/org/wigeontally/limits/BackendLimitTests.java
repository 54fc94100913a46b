package org.wigeontally.limits;

import org.testng.annotations.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Which of several responses and messages of other entries tells the limit in force.
 */
public class BackendLimitTests {

	@Test
	public void responseWhoseRequestWasSentBeforeTheLimitWasNamedDoesNotLiftIt() {
		BackendLimit limit = BackendLimit.create();
		assertThat(limit.record(2, 1_000, 1_000)).isEqualTo(BackendLimit.Change.STARTED);
		assertThat(limit.record(BackendLimit.NONE, 900, 1_100)).isEqualTo(BackendLimit.Change.NONE);
		assertThat(limit.record(BackendLimit.NONE, 1_000, 1_100)).isEqualTo(BackendLimit.Change.NONE);
		assertThat(limit.perSecond()).isEqualTo(2);
		assertThat(limit.record(BackendLimit.NONE, 1_001, 1_100)).isEqualTo(BackendLimit.Change.ENDED);
		assertThat(limit.isNamed()).isFalse();
	}

	@Test
	public void limitThatComesAgainHoldsAgain() {
		BackendLimit limit = BackendLimit.create();
		limit.record(2, 1_000, 1_000);
		limit.record(BackendLimit.NONE, 1_500, 1_600);
		assertThat(limit.record(3, 1_700, 1_700)).isEqualTo(BackendLimit.Change.STARTED);
		assertThat(limit.record(BackendLimit.NONE, 1_650, 1_800)).isEqualTo(BackendLimit.Change.NONE);
		assertThat(limit.perSecond()).isEqualTo(3);
	}

	@Test
	public void newsOfAnEndThatTookLongDoesNotLiftALimitThatWasNamedMeanwhile() {
		BackendLimit limit = BackendLimit.create();
		limit.record(2, 1_000, 1_000);
		// Sent at 990 with evidence of that moment; took 150 ms.
		assertThat(limit.recordNews(BackendLimit.NONE, 0, 1_140)).isEqualTo(BackendLimit.Change.NONE);
		assertThat(limit.recordNews(BackendLimit.NONE, 0, 1_300)).isEqualTo(BackendLimit.Change.ENDED);
	}

	@Test
	public void replyWithAnEndThatTookLongDoesNotLiftALimitThatWasNamedMeanwhile() {
		BackendLimit limit = BackendLimit.create();
		limit.record(2, 1_000, 1_000);
		assertThat(limit.recordReply(BackendLimit.NONE, 5, 980, 1_600)).isEqualTo(BackendLimit.Change.NONE);
		assertThat(limit.recordReply(BackendLimit.NONE, 5, 1_010, 1_700)).isEqualTo(BackendLimit.Change.ENDED);
	}

	@Test
	public void newerEvidenceHoldsWhoeverTellsIt() {
		BackendLimit limit = BackendLimit.create();
		limit.record(BackendLimit.NONE, 900, 1_000);
		assertThat(limit.recordNews(5, 200, 1_000)).isEqualTo(BackendLimit.Change.NONE);
		assertThat(limit.recordNews(5, 50, 1_000)).isEqualTo(BackendLimit.Change.STARTED);
		assertThat(limit.recordNews(7, 500, 1_200)).isEqualTo(BackendLimit.Change.NONE);
		assertThat(limit.perSecond()).isEqualTo(5);
	}

	/** A clock that is wrong elsewhere must not make evidence that nothing replaces. */
	@Test
	public void evidenceFromTheFutureCountsAsOfNow() {
		BackendLimit limit = BackendLimit.create();
		limit.recordNews(5, -60_000, 1_000);
		assertThat(limit.evidenceAtMs()).isEqualTo(1_000);
		assertThat(limit.record(BackendLimit.NONE, 1_001, 1_100)).isEqualTo(BackendLimit.Change.ENDED);
	}

	@Test
	public void onlyNoticeableChangesAreUrgent() {
		BackendLimit limit = BackendLimit.create();
		assertThat(limit.record(10, 1_000, 1_000).isUrgent()).isTrue();
		assertThat(limit.record(10, 1_010, 1_010).isUrgent()).isFalse();
		assertThat(limit.record(10.5, 1_020, 1_020)).isEqualTo(BackendLimit.Change.SLIGHT);
		assertThat(limit.record(11.5, 1_030, 1_030)).isEqualTo(BackendLimit.Change.CHANGED);
	}

}
