package org.wigeontally.fleet;

import java.util.List;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import org.wigeontally.schema.generated.EntryNews;

import static org.assertj.core.api.Assertions.assertThat;

/** Entries of a region of which some miss a change of the configuration. */
public class ConfigurationLagTests {

	private static final long DUE_MS = 3_000;

	private static final long MAX_LAG_MS = DUE_MS - ConfigurationLag.NEWS_DELAY_MS;

	private ConfigurationLag lag;

	@BeforeMethod
	public void create() {
		this.lag = ConfigurationLag.create(DUE_MS);
	}

	private static EntryNews entry(String region, long version, boolean ready) {
		return EntryNews.newBuilder().setRegion(region).setConfigurationVersion(version).setReady(ready).build();
	}

	@Test
	public void entryThatMissedAChangeLeavesItsCallersToOthersBeforeTheChangeIsDue() {
		List<EntryNews> others = List.of(entry("a", 2, true), entry("a", 1, true));
		this.lag.update(1, "a", others, 0);
		assertThat(this.lag.isBehind(0)).isTrue();
		assertThat(this.lag.isOutdated(MAX_LAG_MS - 1)).isFalse();
		// A still newer one does not give it more time.
		this.lag.update(1, "a", List.of(entry("a", 3, true)), MAX_LAG_MS - 1);
		assertThat(this.lag.isOutdated(MAX_LAG_MS)).isTrue();
		this.lag.update(3, "a", List.of(entry("a", 3, true)), MAX_LAG_MS + 1);
		assertThat(this.lag.isBehind(MAX_LAG_MS + 1)).isFalse();
		assertThat(this.lag.isOutdated(MAX_LAG_MS + 1)).isFalse();
	}

	/** The whole region misses the change, or only a leaving entry has it. */
	@Test
	public void entryServesOnIfNoOtherOfItsRegionHasTheChange() {
		for (EntryNews other : List.of(entry("b", 2, true), entry("a", 2, false))) {
			this.lag = ConfigurationLag.create(DUE_MS);
			this.lag.update(1, "a", List.of(other), 0);
			assertThat(this.lag.isOutdated(60_000)).isFalse();
			assertThat(this.lag.isBehind(0)).isTrue();
		}
	}

	/** Each change arrives in time, and the next one is heard of before. */
	@Test
	public void entryThatIsAlwaysOneChangeBehindIsNotOutdated() {
		for (int version = 1; version < 30; version++) {
			long nowMs = version * 200;
			this.lag.update(version, "a", List.of(entry("a", version + 1, true)), nowMs);
			assertThat(this.lag.isOutdated(nowMs)).isFalse();
		}
	}

	/** A still newer change, which nobody of the region has, does not hide the lag. */
	@Test
	public void changeThatIsDueCountsAlthoughALaterOneIsElsewhere() {
		List<EntryNews> others = List.of(entry("a", 2, true), entry("b", 3, true));
		this.lag.update(1, "a", others, 0);
		this.lag.update(1, "a", others, MAX_LAG_MS);
		assertThat(this.lag.isOutdated(MAX_LAG_MS)).isTrue();
	}

	/** One of four others holds a version that nobody else ever gets. */
	@Test
	public void singleEntryWithAnOddVersionDoesNotEmptyItsRegion() {
		EntryNews same = entry("a", 1, true);
		this.lag.update(1, "a", List.of(entry("a", 99, true), same, same, same), 0);
		assertThat(this.lag.isOutdated(60_000)).isFalse();
		assertThat(this.lag.isBehind(1_000)).isTrue();
		assertThat(this.lag.isBehind(ConfigurationLag.MAX_UNCERTAIN_MS)).isFalse();
	}

	@Test
	public void deploymentWithoutABoundNeverStopsAnEntry() {
		this.lag = ConfigurationLag.create(0);
		this.lag.update(1, "a", List.of(entry("a", 2, true)), 0);
		assertThat(this.lag.isOutdated(1_000_000_000)).isFalse();
	}

}
