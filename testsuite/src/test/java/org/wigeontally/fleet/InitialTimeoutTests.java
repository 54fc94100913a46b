package org.wigeontally.fleet;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link InitialTimeout}.
 */
public class InitialTimeoutTests {

	private static final long INITIAL_MS = 6_000;

	private static final long RETRY_MS = 4_500;

	private InitialTimeout timeout;

	@BeforeMethod
	public void create() {
		this.timeout = InitialTimeout.create();
	}

	@Test
	public void retryHasUsedWhatItsFirstAttemptTook() {
		assertThat(this.timeout.recordAndEstimateElapsedMs(INITIAL_MS)).isZero();
		assertThat(this.timeout.recordAndEstimateElapsedMs(RETRY_MS)).isEqualTo(INITIAL_MS - RETRY_MS);
	}

	/** Guards against a single caller whose timeout makes all others look late. */
	@Test
	public void excessiveTimeoutsOfAFewCallersDoNotCountAgainstTheOthers() {
		for (int i = 0; i < 640; i++) {
			if (i % 10 == 9) {
				this.timeout.recordAndEstimateElapsedMs(Long.MAX_VALUE);
			}
			assertThat(this.timeout.recordAndEstimateElapsedMs(INITIAL_MS)).as("request %d", i).isZero();
		}
	}

	@Test
	public void mostRequestsMayBeRetries() {
		for (int i = 0; i < 200; i++) {
			long elapsedMs = this.timeout.recordAndEstimateElapsedMs((i % 5 == 0) ? INITIAL_MS : RETRY_MS);
			assertThat(elapsedMs).as("request %d", i).isEqualTo((i % 5 == 0) ? 0 : INITIAL_MS - RETRY_MS);
		}
	}

	@Test
	public void shorterTimeoutsOfAllCallersAreLearnt() {
		for (int i = 0; i < 64; i++) {
			this.timeout.recordAndEstimateElapsedMs(INITIAL_MS);
		}
		for (int i = 0; i < 64; i++) {
			this.timeout.recordAndEstimateElapsedMs(RETRY_MS);
		}
		assertThat(this.timeout.recordAndEstimateElapsedMs(RETRY_MS)).isZero();
	}

}
