package org.wigeontally.rpc;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import com.google.protobuf.ByteString;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.NetSocket;
import io.vertx.grpc.server.GrpcServer;
import io.vertx.grpc.server.GrpcServerOptions;
import org.slf4j.LoggerFactory;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import org.wigeontally.gateway.GatewayFixture;
import org.wigeontally.schema.generated.Address;
import org.wigeontally.schema.generated.ContentPart;
import org.wigeontally.schema.generated.ContentRequest;
import org.wigeontally.schema.generated.FleetGrpcClient;
import org.wigeontally.schema.generated.FleetGrpcService;
import org.wigeontally.schema.generated.FleetService;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/**
 * Calls over a link that carries a response more slowly than its timeout allows.
 */
public class PeerClientTests {

	private static final int LINK_BYTES_PER_SECOND = 500_000;

	/** Small, because what is in buffers is sent whatever happens to the call. */
	private static final int SOCKET_BUFFER_BYTES = 16 * 1024;

	private static final int LARGE_RESPONSE_BYTES = 3_000_000;

	private static final int LARGE_REQUEST_BYTES = 1_000_000;

	/** Size by which the peer recognises the call that it is to answer late. */
	private static final int LATE_RESPONSE_BYTES = 2;

	/** Time in which the link would carry the larger part of the response. */
	private static final int OBSERVED_MS = 2_000;

	private static final int TIMEOUT_MS = 1_500;

	private static final int LATE_RESPONSE_MS = TIMEOUT_MS + 500;

	private static final int MESSAGE_LIMIT_BYTES = 4 * 1024 * 1024;

	private final AtomicLong responseBytes = new AtomicLong();

	private final AtomicLong largestRequestBytes = new AtomicLong();

	private final AtomicInteger connections = new AtomicInteger();

	private Vertx serverVertx;

	private Vertx clientVertx;

	private Address link;

	private PeerClient client;

	@BeforeMethod
	public void start() throws Exception {
		this.responseBytes.set(0);
		this.connections.set(0);
		this.largestRequestBytes.set(0);
		this.serverVertx = Vertx.vertx();
		this.clientVertx = Vertx.vertx();
		GrpcServer grpc = GrpcServer.server(this.serverVertx,
				new GrpcServerOptions().setMaxMessageSize(MESSAGE_LIMIT_BYTES));
		grpc.addService(FleetGrpcService.of(new FleetService() {

			@Override
			public Future<ContentPart> readContent(ContentRequest request) {
				PeerClientTests.this.largestRequestBytes.accumulateAndGet(request.getDigest().size(), Math::max);
				if (request.getOffset() == LATE_RESPONSE_BYTES) {
					return PeerClientTests.this.serverVertx.timer(LATE_RESPONSE_MS, TimeUnit.MILLISECONDS)
						.map((timer) -> ContentPart.getDefaultInstance());
				}
				return Future.succeededFuture(
						ContentPart.newBuilder().setData(ByteString.copyFrom(new byte[request.getOffset()])).build());
			}

		}));
		HttpServer server = GatewayFixture
			.await(this.serverVertx.createHttpServer(PeerServerOptions.create().setSendBufferSize(SOCKET_BUFFER_BYTES))
				.requestHandler(grpc::handle)
				.listen(0, "127.0.0.1"));
		this.link = startLink(server.actualPort());
		this.client = PeerClient.create(this.clientVertx, "", TIMEOUT_MS, MESSAGE_LIMIT_BYTES);
	}

	@AfterMethod(alwaysRun = true)
	public void stop() throws Exception {
		GatewayFixture.await(this.client.close());
		GatewayFixture.await(this.clientVertx.close());
		GatewayFixture.await(this.serverVertx.close());
	}

	/** A paused process accepts connections, and nothing comes back. */
	@Test
	public void callToAPeerThatAcceptsAndStaysSilentFailsInTime() throws Exception {
		int port = GatewayFixture
			.await(this.serverVertx.createNetServer().connectHandler(NetSocket::pause).listen(0, "127.0.0.1"))
			.actualPort();
		Address silent = Address.newBuilder().setIp("127.0.0.1").setPort(port).build();
		long startNs = System.nanoTime();
		Future<ContentPart> call = this.client.call(silent, FleetGrpcClient.ReadContent,
				ContentRequest.getDefaultInstance(), () -> false);
		GatewayFixture.awaitTrue(call::isComplete);
		assertThat(call.failed()).isTrue();
		assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNs)).isLessThan(2 * TIMEOUT_MS);
	}

	/** What nobody waits for any more would delay the next calls on the link. */
	@Test
	public void overdueResponseIsNotSentOnAndItsConnectionStaysInUse() throws Exception {
		assertThat(GatewayFixture.await(read(1)).getData().size()).isEqualTo(1);
		AtomicInteger failures = new AtomicInteger();
		Future<ContentPart> overdue = read(LARGE_RESPONSE_BYTES).onFailure((failure) -> failures.incrementAndGet());
		assertThatThrownBy(() -> GatewayFixture.await(overdue)).hasMessageContaining("imeout");
		assertThat(GatewayFixture.await(read(1)).getData().size()).isEqualTo(1);
		Thread.sleep(OBSERVED_MS);
		assertThat(this.responseBytes.get()).isLessThan(LARGE_RESPONSE_BYTES / 2);
		assertThat(this.connections.get()).isEqualTo(1);
		assertThat(failures.get()).isEqualTo(1);
	}

	/**
	 * News that takes longer than the timeout must arrive nevertheless, or a slow link
	 * never carries it. Red if every overdue call is cancelled.
	 */
	@Test
	public void overdueRequestIsSentToItsEnd() throws Exception {
		ContentRequest request = ContentRequest.newBuilder()
			.setDigest(ByteString.copyFrom(new byte[LARGE_REQUEST_BYTES]))
			.build();
		assertThatThrownBy(() -> GatewayFixture.await(call(request))).hasMessageContaining("imeout");
		GatewayFixture.awaitTrue(() -> this.largestRequestBytes.get() == LARGE_REQUEST_BYTES);
	}

	/**
	 * A peer that responds late must not log an error for each call. Red if calls are
	 * cancelled whose response has not begun.
	 */
	@Test
	public void lateResponseIsNoErrorOfThePeer() throws Exception {
		ListAppender<ILoggingEvent> appender = new ListAppender<>();
		appender.start();
		Logger root = (Logger) LoggerFactory.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
		root.addAppender(appender);
		try {
			assertThatThrownBy(() -> GatewayFixture.await(read(LATE_RESPONSE_BYTES))).hasMessageContaining("imeout");
			Thread.sleep(2 * (LATE_RESPONSE_MS - TIMEOUT_MS));
			assertThat(GatewayFixture.await(read(1)).getData().size()).isEqualTo(1);
		}
		finally {
			root.detachAppender(appender);
		}
		assertThat(this.connections.get()).isEqualTo(1);
		assertThat(appender.list).noneMatch((event) -> event.getLevel() == Level.ERROR);
	}

	private Future<ContentPart> read(int bytes) {
		return call(ContentRequest.newBuilder().setOffset(bytes).build());
	}

	private Future<ContentPart> call(ContentRequest request) {
		return this.client.call(this.link, FleetGrpcClient.ReadContent, request, () -> false);
	}

	private Address startLink(int serverPort) throws Exception {
		NetClient toServer = this.clientVertx
			.createNetClient(new NetClientOptions().setReceiveBufferSize(SOCKET_BUFFER_BYTES));
		NetServer server = this.clientVertx
			.createNetServer(new NetServerOptions().setReceiveBufferSize(SOCKET_BUFFER_BYTES))
			.connectHandler((near) -> {
				this.connections.incrementAndGet();
				near.pause();
				toServer.connect(serverPort, "127.0.0.1").onSuccess((far) -> {
					carrySlowly(near, far, new AtomicLong());
					near.closeHandler((closed) -> far.close());
					far.closeHandler((closed) -> near.close());
					carrySlowly(far, near, this.responseBytes);
					near.resume();
				});
			});
		return Address.newBuilder()
			.setIp("127.0.0.1")
			.setPort(GatewayFixture.await(server.listen(0, "127.0.0.1")).actualPort())
			.build();
	}

	private void carrySlowly(NetSocket from, NetSocket to, AtomicLong carriedBytes) {
		from.handler((buffer) -> {
			carriedBytes.addAndGet(buffer.length());
			to.write(buffer);
			from.pause();
			this.clientVertx.setTimer(1 + 1_000L * buffer.length() / LINK_BYTES_PER_SECOND, (id) -> from.resume());
		});
	}

}
