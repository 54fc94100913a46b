package org.wigeontally.entry;

import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.concurrent.TimeUnit;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import org.slf4j.LoggerFactory;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import org.wigeontally.configuration.Configuration;
import org.wigeontally.control.ControlView;
import org.wigeontally.emulator.platform.MemoryLog;
import org.wigeontally.misc.Clock;
import org.wigeontally.schema.generated.Address;
import org.wigeontally.schema.generated.BackendState;
import org.wigeontally.schema.generated.HostIdentity;
import org.wigeontally.schema.generated.HostState;
import org.wigeontally.schema.generated.Liveness;
import org.wigeontally.schema.generated.Organisation;
import org.wigeontally.schema.generated.Role;
import org.wigeontally.schema.generated.Service;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests what an entry logs if no agent takes a request that must run at most once.
 */
public class AtMostOnceRequestsTests {

	private static final Service SERVICE = Service.newBuilder().setName("desk").build();

	private final Vertx vertx = Vertx.vertx();

	private final ListAppender<ILoggingEvent> appender = new ListAppender<>();

	@BeforeMethod
	public void captureLog() {
		this.appender.start();
		((Logger) LoggerFactory.getLogger("wigeontally")).addAppender(this.appender);
	}

	@AfterMethod(alwaysRun = true)
	public void releaseLog() throws Exception {
		((Logger) LoggerFactory.getLogger("wigeontally")).detachAppender(this.appender);
		await(this.vertx.close());
	}

	@Test
	public void refusalNamesEachAgentThatDidNotTakeTheRequest() throws Exception {
		int closedPort;
		try (ServerSocket socket = new ServerSocket(0)) {
			closedPort = socket.getLocalPort();
		}
		ControlView view = new OneAgentView(Address.newBuilder().setIp("127.0.0.1").setPort(closedPort).build());
		Clock clock = Clock.system();
		try (AgentClient agents = AgentClient.create(this.vertx);
				ClaimInquiryClient inquiries = ClaimInquiryClient.create(this.vertx, view)) {
			AtMostOnceRequests requests = await(
					AtMostOnceRequests.start(this.vertx, MemoryLog.create(clock, 1), view, agents, inquiries, clock));
			HttpServer entry = await(
					this.vertx.createHttpServer()
						.requestHandler((request) -> requests.run(
								new CallerRequest(Organisation.newBuilder().setName("koro").build(), SERVICE,
										HttpMethod.POST, "/bookings", Buffer.buffer("{}"), "normal",
										clock.monotonicMs() + 5_000, "booking-1", System.currentTimeMillis()),
								request.response()))
						.listen(0, "127.0.0.1"));
			HttpResponse<String> answer = HttpClient.newHttpClient()
				.send(HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + entry.actualPort())).build(),
						HttpResponse.BodyHandlers.ofString());
			assertThat(answer.body()).contains("\"error\":206", "\"outcome\":\"not-run\"", "\"retry_after_ms\":500");
		}
		assertThat(this.appender.list).extracting(ILoggingEvent::getFormattedMessage)
			.anySatisfy((line) -> assertThat(line).contains("event=attempt-failed host=entry-1 key=booking-1 "
					+ "backend=host-1 outcome=not-run error=203 reason="));
	}

	private static <T> T await(Future<T> future) throws Exception {
		return future.toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
	}

	private record OneAgentView(Address agent) implements ControlView {

		@Override
		public Configuration configuration() {
			return Configuration.empty();
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
			HostIdentity host = HostIdentity.newBuilder()
				.setHost("host-1")
				.setRole(Role.AGENT)
				.setProcess("process-1")
				.setAddress(this.agent)
				.build();
			return List.of(HostState.newBuilder()
				.setHost(host)
				.setLiveness(Liveness.LIVE)
				.addBackends(BackendState.newBuilder().setService(SERVICE.getName()).setUp(true))
				.build());
		}

		@Override
		public HostIdentity self() {
			return HostIdentity.newBuilder().setHost("entry-1").setRole(Role.ENTRY).setIncarnation(1).build();
		}

	}

}
