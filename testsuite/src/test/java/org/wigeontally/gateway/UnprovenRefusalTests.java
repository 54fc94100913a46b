package org.wigeontally.gateway;

import io.vertx.core.buffer.Buffer;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import org.wigeontally.platform.standin.FakeBackend;
import org.wigeontally.platform.standin.TestCaller;
import org.wigeontally.platform.wire.WireNames;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against answers that promise the caller that its request has not run although a
 * backend server has run it. Callers send such a request again.
 */
public class UnprovenRefusalTests {

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
	public Object[][] refusals() {
		return new Object[][] { { "408 Request Timeout" }, { "429 Too Many Requests" }, { "503 Service Unavailable" } };
	}

	private FakeBackend.Behaviour refuse(String status) {
		return (arrival, socket) -> socket
			.write(FakeBackend.response(arrival, status, FakeBackend.signatureHeader("s1"), "busy"));
	}

	@Test(dataProvider = "refusals")
	public void statusThatPromisesIsReplacedIfTheRequestMayHaveRun(String status) throws Exception {
		this.backend.setBehaviour(refuse(status));
		TestCaller.Response response = this.fixture.call("once");
		assertThat(response.status()).isEqualTo(502);
		// The signature vouches for the backend server's own status.
		assertThat(response.signature()).isNull();
	}

	@Test(dataProvider = "refusals")
	public void chunkedRefusalIsReplacedToo(String status) throws Exception {
		this.backend.setBehaviour((arrival,
				socket) -> socket.write(Buffer.buffer("HTTP/1.1 " + status + "\r\n" + WireNames.ATTEMPT_ID + ": "
						+ arrival.attemptId() + "\r\n" + "Transfer-Encoding: chunked\r\n\r\n"
						+ FakeBackend.chunk("busy") + FakeBackend.LAST_CHUNK)));
		assertThat(this.fixture.call("once").status()).isEqualTo(502);
	}

	/** Repeating an idempotent request does no harm, so its caller gets the status. */
	@Test(dataProvider = "refusals")
	public void idempotentRequestGetsTheStatusOfTheBackend(String status) throws Exception {
		this.backend.setBehaviour(refuse(status));
		TestCaller.Response response = this.fixture.call("plain");
		assertThat(response.status()).isEqualTo(Integer.parseInt(status.substring(0, 3)));
		assertThat(response.signature()).isEqualTo("s1");
	}

}
