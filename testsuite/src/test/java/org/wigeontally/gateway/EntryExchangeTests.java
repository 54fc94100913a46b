package org.wigeontally.gateway;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.grpc.server.GrpcServer;
import org.slf4j.LoggerFactory;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import org.wigeontally.fleet.StorePosition;
import org.wigeontally.platform.standin.FakeBackend;
import org.wigeontally.platform.standin.FakeStore;
import org.wigeontally.schema.generated.Address;
import org.wigeontally.schema.generated.EntryNews;
import org.wigeontally.schema.generated.FleetGrpcService;
import org.wigeontally.schema.generated.FleetService;
import org.wigeontally.schema.generated.RecordUpdate;
import org.wigeontally.schema.generated.StoreRecord;

import static org.assertj.core.api.Assertions.assertThat;

public class EntryExchangeTests {

	private GatewayFixture fixture;

	@BeforeMethod
	public void start() throws Exception {
		this.fixture = new GatewayFixture();
		this.fixture.writeConfiguration();
	}

	@AfterMethod(alwaysRun = true)
	public void stop() throws Exception {
		this.fixture.close();
	}

	/**
	 * The other entry takes 450 ms to answer, and the loss of a backend server is found
	 * meanwhile. The next regular exchange would begin only 550 ms after the answer.
	 */
	@Test
	public void newsThatArisesDuringAnExchangeIsToldRightAfterIt() throws Exception {
		List<FakeBackend> backends = this.fixture.startCrashingBackends(3, "deadly");
		this.fixture.startEntry();
		this.fixture.awaitStatus(0, "plain", 200);
		SlowEntry other = new SlowEntry(this.fixture.vertx(), GatewayFixture.freeAddress(), 450);
		GatewayFixture.await(other.listen());
		this.fixture.addEntryAddress(0, other.address);
		GatewayFixture.awaitTrue(() -> other.messages.size() >= 2);
		int before = other.messages.size();
		GatewayFixture.awaitTrue(() -> other.messages.size() > before);
		long startNs = System.nanoTime();
		this.fixture.call(0, "plain", "deadly-1", GatewayFixture.API_KEY, "deadly");
		GatewayFixture.awaitTrue(() -> other.messages.get(other.messages.size() - 1).hasSuspects());
		assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNs)).isLessThan(750);
		assertThat(GatewayFixture.countArrivals(backends, "deadly")).isPositive();
	}

	/** The store is away, and the other entry takes longer to answer than is left. */
	@Test
	public void graceThatEndsOnTheWayPostponesNoRemoval() throws Exception {
		ListAppender<ILoggingEvent> appender = new ListAppender<>();
		appender.start();
		Logger logger = (Logger) LoggerFactory.getLogger("wigeontally");
		logger.addAppender(appender);
		try {
			this.fixture.startBackend("desk-1", "desk", "zone-a", GatewayFixture.respondWithSuccess("ok"));
			this.fixture.startEntry();
			this.fixture.awaitStatus(0, "plain", 200);
			this.fixture.store().setMode(FakeStore.Mode.UNAVAILABLE);
			Thread.sleep(2_500);
			SlowEntry other = new SlowEntry(this.fixture.vertx(), GatewayFixture.freeAddress(), 400);
			long end = StorePosition.of(0, 1_000);
			other.update = RecordUpdate.newBuilder()
				.setFrom(1)
				.setEnd(end)
				.addRecords(StoreRecord.newBuilder().setKey("desk-1").setPosition(end - 1).setRemoved(true))
				.build();
			GatewayFixture.await(other.listen());
			this.fixture.addEntryAddress(0, other.address);
			GatewayFixture.awaitTrue(() -> removal(appender).isPresent());
			assertThat(removal(appender).orElseThrow()).contains("reason=entry:slow");
		}
		finally {
			logger.detachAppender(appender);
		}
	}

	private static Optional<String> removal(ListAppender<ILoggingEvent> appender) {
		return List.copyOf(appender.list)
			.stream()
			.map(ILoggingEvent::getFormattedMessage)
			.filter((line) -> line.contains("backend=desk-1") && line.contains("gone=true"))
			.findFirst();
	}

	private static final class SlowEntry extends FleetService {

		private final List<EntryNews> messages = new CopyOnWriteArrayList<>();

		private final Vertx vertx;

		private final Address address;

		private final long delayMs;

		private RecordUpdate update;

		private SlowEntry(Vertx vertx, Address address, long delayMs) {
			this.vertx = vertx;
			this.address = address;
			this.delayMs = delayMs;
		}

		private Future<Void> listen() {
			GrpcServer grpc = GrpcServer.server(this.vertx);
			grpc.addService(FleetGrpcService.of(this));
			return this.vertx.createHttpServer()
				.requestHandler(grpc)
				.listen(this.address.getPort(), this.address.getIp())
				.mapEmpty();
		}

		@Override
		public Future<EntryNews> exchange(EntryNews request) {
			this.messages.add(request);
			Promise<EntryNews> reply = Promise.promise();
			EntryNews.Builder news = EntryNews.newBuilder()
				.setHost("slow")
				.setControl(this.address)
				.setRegion("region-a")
				.setZone("zone-a");
			if (this.update != null) {
				news.setBackendUpdate(this.update).setLapseGraceMs(this.delayMs - 100);
			}
			this.vertx.setTimer(this.delayMs, (id) -> reply.complete(news.build()));
			return reply.future();
		}

	}

}
