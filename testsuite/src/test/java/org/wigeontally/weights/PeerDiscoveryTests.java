package org.wigeontally.weights;

import org.testng.annotations.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of the start of a fetch while other hosts are still unknown.
 */
public class PeerDiscoveryTests {

	@Test
	public void waitsForHostsWithRegisteredEngines() {
		assertThat(PeerDiscovery.isComplete(1, 6, 0)).isFalse();
		assertThat(PeerDiscovery.isComplete(5, 6, 300)).isFalse();
		assertThat(PeerDiscovery.isComplete(6, 6, 0)).isTrue();
	}

	@Test
	public void waitsWhileNoEngineIsRegistered() {
		assertThat(PeerDiscovery.isComplete(1, 0, 300)).isFalse();
	}

	@Test
	public void hostsThatStayAwayDelayTheFetchByLessThanASecond() {
		assertThat(PeerDiscovery.isComplete(1, 6, 1_000)).isTrue();
		assertThat(PeerDiscovery.isComplete(1, 0, 1_000)).isTrue();
	}

}
