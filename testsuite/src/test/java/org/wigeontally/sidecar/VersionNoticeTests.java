package org.wigeontally.sidecar;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.testng.annotations.Test;

import org.wigeontally.eventlog.EventLog;
import org.wigeontally.gateway.GatewayFixture;
import org.wigeontally.misc.Clock;
import org.wigeontally.schema.generated.Address;
import org.wigeontally.schema.generated.EngineStatus;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that a notice makes an agent learn of a version that is announced between two of
 * its periodic calls.
 */
public class VersionNoticeTests {

	@Test
	public void agentRequestsBriefingOnVersionNotice() throws Exception {
		GatewayFixture fixture = new GatewayFixture();
		JsonObject engine = GatewayFixture.engineWithChunks(96, 24_576);
		fixture.store()
			.write("op", "config", new JsonObject().put("version", 1)
				.put("routes", new JsonArray())
				.put("services", new JsonArray()
					.add(new JsonObject().put("name", "engines").put("max-connections", 400).put("engine", engine))));
		fixture.startEntry();
		Address self = GatewayFixture.freeAddress();
		FleetView view = new FleetView();
		EntryReporter reports = new EntryReporter(fixture.vertx(), Clock.system(),
				EventLog.create(Clock.system(), "agent"), view, self, "region-a");
		try {
			reports.addEntry(fixture.settings(0).getControl());
			EngineStatus.Builder status = EngineStatus.newBuilder().setAgent(self);
			GatewayFixture.await(reports.listen(() -> status));
			GatewayFixture.awaitTrue(() -> {
				reports.requestBriefings(status);
				return view.isKnown();
			});
			fixture.announceVersion(2);
			// The test makes no call from here on.
			GatewayFixture.awaitTrue(() -> view.targetVersion() == 2);
			assertThat(view.briefing().getModel()).isEqualTo("m0");
		}
		finally {
			reports.close();
			fixture.close();
		}
	}

}
