package org.wigeontally.gateway;

import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import org.wigeontally.platform.standin.TestCaller;
import org.wigeontally.settings.Addresses;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * When the directories of other regions name an entry that has become ready.
 */
public class ReadinessNewsTests {

	/** Shorter than the interval of the exchanges between regions. */
	private static final long MAX_NEWS_DELAY_MS = 1_000;

	private GatewayFixture fixture;

	@BeforeMethod
	public void start() throws Exception {
		this.fixture = new GatewayFixture();
	}

	@AfterMethod(alwaysRun = true)
	public void stop() throws Exception {
		this.fixture.close();
	}

	/** Guards against callers who find no entry although others have become ready. */
	@Test
	public void entryThatBecomesReadyIsNamedInOtherRegionsAtOnce() throws Exception {
		this.fixture.startEntry();
		this.fixture.startEntryInOtherRegion();
		GatewayFixture.awaitTrue(() -> knowsOtherEntry());
		this.fixture.writeConfiguration();
		this.fixture.awaitReady(1);
		Thread.sleep(MAX_NEWS_DELAY_MS);
		TestCaller.Response directory = this.fixture.get(this.fixture.settings(0).getDirectory(),
				TestCaller.directoryQueryUri("region-b", "zone-b"));
		assertThat(directory.body()).contains(Addresses.format(this.fixture.settings(1).getFront()));
	}

	private boolean knowsOtherEntry() {
		try {
			return this.fixture.get(this.fixture.metricsAddress(0), "/metrics")
				.body()
				.contains("wigeontally_entries 2");
		}
		catch (Exception ex) {
			return false;
		}
	}

}
