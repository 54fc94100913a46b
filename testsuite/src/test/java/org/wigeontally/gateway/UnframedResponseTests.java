package org.wigeontally.gateway;

import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import org.wigeontally.platform.standin.FakeBackend;
import org.wigeontally.platform.standin.TestCaller;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/**
 * Responses of backend servers with neither a length nor chunks, which end with their
 * connection: by an orderly close, or by a reset.
 */
public class UnframedResponseTests {

	private static final String EVENTS = "id: 0\ndata: e0\n\nid: 1\ndata: e1\n\n";

	private static final long RESET_DELAY_MS = 100;

	private GatewayFixture fixture;

	private RawBackend backend;

	@BeforeMethod
	public void start() throws Exception {
		this.fixture = new GatewayFixture();
		this.fixture.writeConfiguration();
		this.backend = new RawBackend(RESET_DELAY_MS);
	}

	@AfterMethod(alwaysRun = true)
	public void stop() throws Exception {
		this.fixture.close();
		this.backend.close();
	}

	@Test
	public void streamThatEndsBetweenEventsIsComplete() throws Exception {
		startEntry("engines");
		respondWith("Content-Type: text/event-stream\r\n\r\n" + EVENTS, false);
		TestCaller.Response response = this.fixture.call("events");
		assertThat(response.status()).isEqualTo(200);
		assertThat(response.body()).isEqualTo(EVENTS);
	}

	/** The caller must not take the part that arrived for a complete stream. */
	@Test
	public void streamThatEndsWithinAnEventIsBrokenOff() throws Exception {
		startEntry("engines");
		respondWith("Content-Type: text/event-stream\r\n\r\n" + EVENTS + "id: 2\ndat", false);
		assertThatThrownBy(() -> this.fixture.call("events")).hasMessageContaining("closed");
	}

	@Test
	public void streamThatIsResetAfterItsLastEventIsBrokenOff() throws Exception {
		startEntry("engines");
		respondWith("Content-Type: text/event-stream\r\n\r\n" + EVENTS, true);
		assertThatThrownBy(() -> this.fixture.call("events")).hasMessageContaining("closed");
	}

	@Test
	public void streamThatEndsBeforeItsFirstEventIsNoAnswer() throws Exception {
		startEntry("engines");
		respondWith("Content-Type: text/event-stream\r\n\r\n", false);
		TestCaller.Response response = this.fixture.call("events");
		assertThat(response.status()).isEqualTo(502);
		assertThat(response.signature()).isNull();
	}

	@Test
	public void bodyThatEndsWithItsConnectionIsComplete() throws Exception {
		startEntry("desk");
		respondWith("\r\nwhole", false);
		assertThat(this.fixture.call("once").body()).isEqualTo("whole");
	}

	@Test
	public void bodyThatIsResetIsNoAnswer() throws Exception {
		startEntry("desk");
		respondWith("\r\nhal", true);
		assertThat(this.fixture.call("once").status()).isEqualTo(502);
	}

	private void respondWith(String headersAndBody, boolean reset) {
		this.backend.respondWith((arrival) -> FakeBackend.signedResponseHead(arrival) + headersAndBody, reset);
	}

	private void startEntry(String service) throws Exception {
		respondWith("Connection: close\r\nContent-Length: 0\r\n\r\n", false);
		this.fixture.store().write("servers", "raw-1", this.backend.registration(service));
		this.fixture.startEntry();
		this.fixture.awaitStatus(0, service.equals("desk") ? "once" : "events", 200);
	}

}
