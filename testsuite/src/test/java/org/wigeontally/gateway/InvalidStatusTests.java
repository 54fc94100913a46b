package org.wigeontally.gateway;

import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import org.wigeontally.platform.standin.FakeBackend;
import org.wigeontally.platform.standin.TestCaller;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against status lines of backend servers that are no answer in the protocol, such
 * as one with the status 000, and that reached the caller as the answer to its request.
 */
public class InvalidStatusTests {

	private GatewayFixture fixture;

	private FakeBackend backend;

	@BeforeMethod
	public void start() throws Exception {
		this.fixture = new GatewayFixture();
		this.fixture.writeConfiguration();
		this.backend = this.fixture.startBackend("desk-1", "desk", "zone-a", GatewayFixture.respondWithSuccess("ok"));
		this.fixture.startEntry();
		this.fixture.awaitStatus(0, "once", 200);
	}

	@AfterMethod(alwaysRun = true)
	public void stop() throws Exception {
		this.fixture.close();
	}

	@DataProvider
	public Object[][] statuses() {
		return new Object[][] { { "000 Unknown" }, { "099 Unknown" }, { "600 Unknown" }, { "999 Unknown" },
				{ "1200 OK" }, { "0200 OK" }, { "+20 OK" }, { "20 OK" }, { "2OO OK" }, { "-200 OK" } };
	}

	@Test(dataProvider = "statuses")
	public void requestThatRunsAtMostOnceFails(String status) throws Exception {
		assertNotPassedOn("once", status);
	}

	@Test(dataProvider = "statuses")
	public void idempotentRequestFails(String status) throws Exception {
		assertNotPassedOn("plain", status);
	}

	/** The request may have run, so the answer must not promise that it did not. */
	private void assertNotPassedOn(String route, String status) throws Exception {
		this.backend.setBehaviour((arrival, socket) -> socket
			.write(FakeBackend.response(arrival, status, FakeBackend.signatureHeader("s1"), "text")));
		TestCaller.Response response = this.fixture.call(route);
		assertThat(response.status()).isEqualTo(502);
		assertThat(response.signature()).isNull();
	}

	/** A response in another protocol version has no framing that the entry knows. */
	@Test
	public void responseOfAnotherProtocolIsNotPassedOn() throws Exception {
		this.backend.setBehaviour((arrival, socket) -> socket
			.write(FakeBackend.response(arrival, "200 OK", FakeBackend.signatureHeader("s1"), "text")
				.replace("HTTP/1.1", "HTTP/3.7")));
		TestCaller.Response response = this.fixture.call("once");
		assertThat(response.status()).isEqualTo(502);
	}

}
