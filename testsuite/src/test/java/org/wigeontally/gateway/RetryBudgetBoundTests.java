package org.wigeontally.gateway;

import java.util.ArrayList;
import java.util.List;

import org.testng.annotations.Test;

import org.wigeontally.misc.Clock;
import org.wigeontally.schema.generated.HostBounds;
import org.wigeontally.schema.generated.HostSettings;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that the retry budget holds across all entries when entries are added.
 */
public class RetryBudgetBoundTests {

	private static final String SERVICE = "service";

	private static final int RETRY_SLACK = 104;

	/**
	 * Guards against exceeding the bound when three entries join nine that have already
	 * served the service, and then all backend servers fail. Each entry creates its retry
	 * budget before it learns the number of entries, so the budget must follow that
	 * number.
	 */
	@Test
	public void retriesOfTwelveEntriesStayWithinTheBound() {
		HostSettings settings = HostSettings.newBuilder()
			.setBounds(HostBounds.newBuilder().setRetrySlack(RETRY_SLACK).setRetryWindowS(10))
			.build();
		Clock clock = Clock.system();
		List<GatewayContext> entries = new ArrayList<>();
		for (int i = 0; i < 12; i++) {
			FleetState fleet = new FleetState(settings, null, clock, null);
			GatewayContext entry = new GatewayContext(null, clock, settings, null, fleet, null);
			entry.retryBudget(SERVICE).recordRequest(0);
			entries.add(entry);
		}
		int retries = 0;
		for (GatewayContext entry : entries) {
			entry.fleet().setEntryCount(entries.size());
			while (entry.retryBudget(SERVICE).tryAcquireRetry(0)) {
				retries++;
			}
		}
		assertThat(retries).isPositive().isLessThanOrEqualTo(RETRY_SLACK);
	}

}
