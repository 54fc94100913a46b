package org.wigeontally.fleet;

import org.testng.annotations.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of the calls of an agent to entries that do not answer.
 */
public class EntryCallBackoffTests {

	/** After a loss of power the entries can start seconds after the agents. */
	@Test
	public void entriesAreCalledInEachRoundWhileNoneResponds() {
		for (int failures = 1; failures < 20; failures++) {
			assertThat(EntryCallBackoff.delayMs(failures, false)).isZero();
		}
	}

	@Test
	public void silentEntryIsCalledLessOftenWhileAnotherResponds() {
		assertThat(EntryCallBackoff.delayMs(2, true)).isZero();
		assertThat(EntryCallBackoff.delayMs(3, true)).isPositive();
	}

}
