package org.wigeontally.gateway;

import org.testng.annotations.Test;

import org.wigeontally.platform.standin.FakeBackend;
import org.wigeontally.platform.standin.TestCaller;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a request with a header that cannot be sent on, which failed as it was
 * sent to a backend server.
 */
public class NamelessHeaderTests {

	@Test
	public void requestWithANamelessHeaderIsRefused() throws Exception {
		try (GatewayFixture fixture = new GatewayFixture()) {
			fixture.writeConfiguration();
			FakeBackend backend = fixture.startBackend("desk-1", "desk", "zone-a",
					GatewayFixture.respondWithSuccess("ok"));
			fixture.startEntry();
			fixture.awaitStatus(0, "once", 200);
			try (KeptConnection connection = KeptConnection.open(fixture.settings(0).getFront())) {
				String request = TestCaller.requestText("GET /once/x", "odd", GatewayFixture.API_KEY, ": x\r\n", "");
				assertThat(connection.exchange(request)).isEqualTo(400);
				assertThat(connection.call("once", "next")).isEqualTo(200);
			}
			assertThat(backend.receivedRequests()).noneMatch((arrival) -> "odd".equals(arrival.attemptId()));
		}
	}

}
