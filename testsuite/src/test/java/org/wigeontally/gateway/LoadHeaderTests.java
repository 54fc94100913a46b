package org.wigeontally.gateway;

import java.util.Map;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import org.testng.annotations.Test;

import org.wigeontally.eventlog.EventLog;
import org.wigeontally.fleet.BackendRecord;
import org.wigeontally.misc.Clock;
import org.wigeontally.platform.wire.WireNames;

import static org.assertj.core.api.Assertions.assertThat;

/** Load headers beside the reports of an agent. */
public class LoadHeaderTests {

	private final LoadHeader loadHeader = new LoadHeader(EventLog.create(Clock.system(), "entry"));

	private final Backend backend = new Backend(
			new BackendRecord("b", "engines", "127.0.0.1:1", "zone-a", false, 1, 16, 0, Map.of()), null);

	/** Guards against a fresher speed that is dropped because an agent has reported. */
	@Test
	public void speedIsUsedBesideAgentReportAndLoadIsNot() {
		this.backend.recordReport(1, false, 1_000);
		this.backend.load().recordReport(3, 1, 1_000);
		record("9,0,16,250", 1_100);
		assertThat(this.backend.load().speed().slowdownFactor(1_100)).isEqualTo(2.5);
		assertThat(this.backend.load().estimatedRequests(1_100, 1)).isEqualTo(3);
		record("9,0,16", 1_110);
		record("9,0,16,-7", 1_120);
		assertThat(this.backend.load().speed().slowdownFactor(1_100)).isEqualTo(2.5);
		assertThat(this.loadHeader.speedReports().isVariable("engines", 1_200)).isTrue();
		assertThat(this.loadHeader.speedReports().isVariable("other", 1_200)).isFalse();
		assertThat(this.loadHeader.speedReports().isVariable("engines", 100_000)).isFalse();
		record("9,0,16", 5_000);
		assertThat(this.backend.load().estimatedRequests(5_000, 1)).isEqualTo(9);
	}

	private void record(String value, long nowMs) {
		this.loadHeader.record(new DefaultHttpHeaders().set(WireNames.LOAD, value), this.backend, nowMs);
	}

}
