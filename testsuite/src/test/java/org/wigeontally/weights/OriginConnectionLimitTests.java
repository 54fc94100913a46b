package org.wigeontally.weights;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of the connections that a host opens to the origin.
 */
public class OriginConnectionLimitTests {

	@DataProvider
	public Object[][] fleets() {
		return new Object[][] { { 48, 1 }, { 48, 6 }, { 48, 10 }, { 48, 16 }, { 160, 65 } };
	}

	/** Each loss of power during a fetch leaves all connections of all hosts behind. */
	@Test(dataProvider = "fleets")
	public void threeLossesOfPowerLeaveConnectionsForAFetch(int originConnections, int hosts) {
		int perHost = OriginConnectionLimit.perHost(originConnections, hosts);
		assertThat(perHost).isBetween(2, FetchAssignment.STRIPES);
		int fetching = Math.min(hosts * perHost, FetchAssignment.STRIPES);
		assertThat(3 * fetching).isLessThan(originConnections);
	}

	@Test
	public void hostThatLeadsSeveralStripesUsesTwoConnections() {
		assertThat(OriginConnectionLimit.perHost(0, 0)).isEqualTo(2);
		assertThat(OriginConnectionLimit.perHost(48, 1_000)).isEqualTo(2);
	}

}
