package org.wigeontally.fleet;

import org.testng.annotations.Test;

import static org.assertj.core.api.Assertions.assertThat;

public class StoreKnowledgeTests {

	private static final long STARTED_AT_MS = 50_000;

	private static final long NOW_MS = STARTED_AT_MS + 500;

	@Test
	public void entryThatOnlyStartedMakesTheKnowledgeOfOthersNoFresher() {
		StoreKnowledge started = StoreKnowledge.startedAt(STARTED_AT_MS);
		StoreKnowledge other = StoreKnowledge.startedAt(0).knownAsOf(STARTED_AT_MS - 10_000);
		assertThat(other.knownAsOf(NOW_MS - started.toldAgeMs(NOW_MS)).asOfMs()).isEqualTo(STARTED_AT_MS - 10_000);
		StoreKnowledge supplied = started.knownAsOf(other.asOfMs());
		assertThat(supplied.toldAgeMs(NOW_MS)).isEqualTo(10_500);
		assertThat(supplied.knownAsOf(NOW_MS - 100).toldAgeMs(NOW_MS)).isEqualTo(100);
	}

}
