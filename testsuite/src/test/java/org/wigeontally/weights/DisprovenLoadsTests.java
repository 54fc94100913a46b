package org.wigeontally.weights;

import org.testng.annotations.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a disproven load that is forgotten with the agent that has found it, and
 * against an engine that stays out of service after it has loaded other weights.
 */
public class DisprovenLoadsTests {

	private static final String ENGINE = "127.0.0.1:8000";

	private static LoadLedger.Load load(long engineStartMs, long startedOrders) {
		return new LoadLedger.Load(engineStartMs, startedOrders);
	}

	private static DisprovenLoads disproven() {
		DisprovenLoads loads = DisprovenLoads.create();
		assertThat(loads.record(ENGINE, load(5, 2))).isTrue();
		return loads;
	}

	@Test
	public void holdsAlthoughALaterAgentReportsTheSameLoad() {
		DisprovenLoads loads = disproven();
		loads.recordBegun(ENGINE, load(5, 2));
		assertThat(loads.find(ENGINE, 5)).contains(load(5, 2));
		assertThat(loads.find(ENGINE, 0)).contains(load(5, 2));
		assertThat(loads.record(ENGINE, load(5, 2))).isFalse();
	}

	@Test
	public void endsWithTheNextOrder() {
		DisprovenLoads loads = disproven();
		loads.recordBegun(ENGINE, load(5, 3));
		assertThat(loads.find(ENGINE, 5)).isEmpty();
	}

	@Test
	public void endsWithTheProcessOfTheEngine() {
		DisprovenLoads loads = disproven();
		assertThat(loads.find(ENGINE, 6)).isEmpty();
		loads.recordBegun(ENGINE, load(6, 0));
		assertThat(loads.find(ENGINE, 0)).isEmpty();
	}

	/** Reports can arrive out of order. */
	@Test
	public void outdatedReportsChangeNothing() {
		DisprovenLoads loads = disproven();
		loads.recordBegun(ENGINE, load(4, 9));
		loads.recordBegun(ENGINE, load(5, 1));
		assertThat(loads.record(ENGINE, load(4, 9))).isFalse();
		assertThat(loads.record(ENGINE, load(5, 1))).isFalse();
		assertThat(loads.find(ENGINE, 5)).contains(load(5, 2));
	}

}
