package org.wigeontally.agent;

import java.util.List;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerResponse;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import org.wigeontally.claims.ClaimTicket;
import org.wigeontally.configuration.Configuration;
import org.wigeontally.control.ControlView;
import org.wigeontally.gateway.EarlyBackend;
import org.wigeontally.gateway.GatewayFixture;
import org.wigeontally.misc.Clock;
import org.wigeontally.schema.generated.Address;
import org.wigeontally.schema.generated.BackendSettings;
import org.wigeontally.schema.generated.HostIdentity;
import org.wigeontally.schema.generated.HostState;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against an agent that reports a part of a response as done: its backend server
 * answers a long upload early, without a length, and resets the connection. As
 * {@code EarlyResponseTests} for the project's own interface.
 */
public class EarlyBackendResponseTests {

	private static final int UPLOAD_BYTES = 4 * 1024 * 1024;

	private static final long[] END_DELAYS_MS = { 5, 20, 50, 100, 150 };

	private static final String PROCESS = "agent-1";

	private Vertx vertx;

	private EarlyBackend backend;

	private BackendLink link;

	private BackendLossNotifier lossNotifier;

	private HttpServer agent;

	private BackendProxy proxy;

	private AtMostOnceProxy atMostOnceProxy;

	private int requests;

	@BeforeMethod
	public void start() {
		this.vertx = Vertx.vertx();
		this.proxy = new BackendProxy(this.vertx);
		this.atMostOnceProxy = new AtMostOnceProxy(this.vertx, PROCESS, Clock.system());
		this.lossNotifier = BackendLossNotifier.create(this.vertx, new AgentAlone(), Clock.system());
	}

	@AfterMethod(alwaysRun = true)
	public void stop() throws Exception {
		this.lossNotifier.close();
		this.link.close();
		this.backend.close();
		GatewayFixture.await(this.vertx.close());
	}

	@DataProvider
	public Object[][] kinds() {
		return new Object[][] { { false }, { true } };
	}

	@Test(dataProvider = "kinds")
	public void responseThatIsResetDuringTheUploadIsNotDone(boolean atMostOnce) throws Exception {
		startAgent(EarlyBackend.Ending.RESET, atMostOnce);
		for (long delayMs : END_DELAYS_MS) {
			this.backend.setEndDelayMs(delayMs);
			assertThat(call()).as("reset after %d ms", delayMs).isNotEqualTo("200 part");
		}
	}

	@Test(dataProvider = "kinds")
	public void responseThatEndsDuringTheUploadIsDone(boolean atMostOnce) throws Exception {
		startAgent(EarlyBackend.Ending.ORDERLY, atMostOnce);
		for (long delayMs : END_DELAYS_MS) {
			this.backend.setEndDelayMs(delayMs);
			assertThat(call()).as("end after %d ms", delayMs).isEqualTo("200 part");
		}
	}

	private void startAgent(EarlyBackend.Ending ending, boolean atMostOnce) throws Exception {
		this.backend = new EarlyBackend("\r\npart", ending);
		this.link = BackendLink.start(this.vertx,
				BackendSettings.newBuilder()
					.setService("desk")
					.setCapacity(4)
					.setAddress(Address.newBuilder().setIp("127.0.0.1").setPort(this.backend.port()))
					.build(),
				Clock.system());
		this.agent = GatewayFixture.await(this.vertx.createHttpServer()
			.requestHandler((request) -> forward(request.response(), atMostOnce))
			.listen(0, "127.0.0.1"));
	}

	private void forward(HttpServerResponse response, boolean atMostOnce) {
		String id = "request-" + this.requests++;
		String claim = atMostOnce ? new ClaimTicket(id, PROCESS, Clock.system().wallMs()).headerValue() : "";
		DispatchRequest request = new DispatchRequest(id, "desk", HttpMethod.POST, "/x", "", "", 0, claim, "", 5_000,
				"", false);
		Buffer body = Buffer.buffer(new byte[UPLOAD_BYTES]);
		if (atMostOnce) {
			this.atMostOnceProxy.forward(request, body, this.link, response);
		}
		else {
			this.proxy.forward(request, body, this.link, response, this.lossNotifier);
		}
	}

	private String call() throws Exception {
		return GatewayFixture.await(this.vertx.createHttpClient()
			.request(HttpMethod.GET, this.agent.actualPort(), "127.0.0.1", "/")
			.compose((request) -> request.send().compose(EarlyBackendResponseTests::describe))
			.otherwise(Throwable::getMessage));
	}

	private static Future<String> describe(HttpClientResponse response) {
		return response.body().map((body) -> response.statusCode() + " " + body);
	}

	/** View of an agent that knows no entries. */
	private static final class AgentAlone implements ControlView {

		@Override
		public Configuration configuration() {
			throw new UnsupportedOperationException("no configuration");
		}

		@Override
		public boolean isServing() {
			return true;
		}

		@Override
		public long leaseAgeMs() {
			return 0;
		}

		@Override
		public List<HostState> hosts() {
			return List.of();
		}

		@Override
		public HostIdentity self() {
			return HostIdentity.newBuilder().setProcess(PROCESS).build();
		}

	}

}
