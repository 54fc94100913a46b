package org.wigeontally.gateway;

import java.util.HexFormat;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

import com.google.protobuf.ByteString;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import io.vertx.grpc.server.GrpcServer;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import org.wigeontally.contents.ContentDownload;
import org.wigeontally.contents.LargeContent;
import org.wigeontally.platform.standin.FakeConfiguration;
import org.wigeontally.platform.standin.FakeStore;
import org.wigeontally.schema.generated.Address;
import org.wigeontally.schema.generated.ContentPart;
import org.wigeontally.schema.generated.ContentRequest;
import org.wigeontally.schema.generated.EntryNews;
import org.wigeontally.schema.generated.FleetGrpcService;
import org.wigeontally.schema.generated.FleetService;
import org.wigeontally.schema.generated.RecordUpdate;
import org.wigeontally.schema.generated.StoreRecord;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * An entry that the store turns away gets a large configuration from others of its
 * region.
 */
public class ContentExchangeTests {

	private static final int PADDING_BYTES = 300_000;

	private static final long OBSERVED_MS = 2_000;

	/** Regular exchanges, each of which may lead to a further one. */
	private static final int MAX_EXCHANGES = 14;

	private GatewayFixture fixture;

	private FailingClock clock;

	@BeforeMethod
	public void start() throws Exception {
		this.clock = FailingClock.create();
		this.fixture = new GatewayFixture(Vertx.vertx(), this.clock);
		this.fixture.writeConfiguration();
		this.fixture.startBackend("desk-1", "desk", "zone-a", GatewayFixture.respondWithSuccess("ok"));
		this.fixture.startEntry();
		this.fixture.awaitStatus(0, "plain", 200);
		this.fixture.store().setMode(FakeStore.Mode.UNAVAILABLE);
	}

	@AfterMethod(alwaysRun = true)
	public void stop() throws Exception {
		this.fixture.close();
	}

	private static byte[] largeConfiguration() {
		byte[] padding = new byte[PADDING_BYTES];
		new Random(1).nextBytes(padding);
		return FakeConfiguration.create(2, List.of("plain"))
			.put("note", HexFormat.of().formatHex(padding))
			.toBuffer()
			.getBytes();
	}

	private Holder startHolder(LargeContent content) throws Exception {
		Holder holder = new Holder(GatewayFixture.freeAddress(), content);
		GatewayFixture.await(this.fixture.vertx()
			.createHttpServer()
			.requestHandler(GrpcServer.server(this.fixture.vertx()).addService(FleetGrpcService.of(holder)))
			.listen(holder.address.getPort(), holder.address.getIp()));
		this.fixture.addEntryAddress(0, holder.address);
		return holder;
	}

	/** The evacuation was written after the configuration, which does not arrive. */
	@Test
	public void smallRecordTakesEffectWhileALargeOneIsOnItsWay() throws Exception {
		Holder holder = startHolder(LargeContent.of(largeConfiguration()));
		holder.behaviour = Behaviour.BUSY;
		this.fixture.awaitStatus(0, "plain", 503);
		holder.behaviour = Behaviour.SENDING;
		this.fixture.awaitStatus(0, "plain", 404);
	}

	/**
	 * The holder stays busy. The test fails if the entry asks for the records again as
	 * soon as it has the answer.
	 */
	@Test
	public void entryThatWaitsForAContentAsksForItAtIntervals() throws Exception {
		Holder holder = startHolder(LargeContent.of(largeConfiguration()));
		holder.behaviour = Behaviour.BUSY;
		this.fixture.awaitStatus(0, "plain", 503);
		int before = holder.exchanges.get();
		Thread.sleep(OBSERVED_MS);
		assertThat(holder.exchanges.get() - before).isLessThan(MAX_EXCHANGES);
	}

	/** The first source spoils a part, the second one stops answering half-way. */
	@Test
	public void contentArrivesWholeFromSourcesThatFail() throws Exception {
		LargeContent content = LargeContent.of(largeConfiguration());
		Holder spoiling = startHolder(content);
		spoiling.behaviour = Behaviour.SPOILING;
		this.fixture.awaitStatus(0, "plain", 503);
		GatewayFixture.awaitTrue(() -> spoiling.partsSent.get() >= 3);
		Holder failing = startHolder(content);
		failing.behaviour = Behaviour.FAILING_AFTER_TWO_PARTS;
		spoiling.behaviour = Behaviour.SENDING;
		this.fixture.awaitStatus(0, "plain", 404);
		assertThat(this.fixture.call("once").status()).isNotEqualTo(404);
	}

	@DataProvider
	public Object[][] steps() {
		return new Object[][] { { "requestNextPart" }, { "recordReply" }, { "continueWith" } };
	}

	/**
	 * Guards against a configuration that never arrives because a step of its download
	 * threw.
	 */
	@Test(dataProvider = "steps")
	public void contentArrivesAfterAStepOfTheDownloadThrew(String step) throws Exception {
		this.clock.failIn(ContentExchange.class, step);
		Holder holder = startHolder(LargeContent.of(largeConfiguration()));
		this.fixture.awaitStatus(0, "plain", 404);
		assertThat(this.clock.hasFailed()).isTrue();
		assertThat(holder.partsSent.get()).isPositive();
	}

	private enum Behaviour {

		SENDING, BUSY, SPOILING, FAILING_AFTER_TWO_PARTS

	}

	private static final class Holder extends FleetService {

		private static final long END_POSITION = 1_000;

		private final Address address;

		private final LargeContent content;

		private final AtomicInteger exchanges = new AtomicInteger();

		private final AtomicInteger partsSent = new AtomicInteger();

		private volatile Behaviour behaviour = Behaviour.SENDING;

		private Holder(Address address, LargeContent content) {
			this.address = address;
			this.content = content;
		}

		@Override
		public Future<EntryNews> exchange(EntryNews request) {
			this.exchanges.incrementAndGet();
			EntryNews.Builder news = EntryNews.newBuilder()
				.setHost("holder")
				.setControl(this.address)
				.setRegion("region-a")
				.setZone("zone-a")
				.setReady(true)
				.setStoreReachable(true)
				.setOperatorEnd(END_POSITION)
				.setConfigurationVersion(2);
			if (request.getWantsRecords() && request.getReadsContent()) {
				news.setOperatorUpdate(RecordUpdate.newBuilder()
					.setFrom(request.getOperatorEnd())
					.setEnd(END_POSITION)
					.addRecords(StoreRecord.newBuilder()
						.setKey("config")
						.setPosition(END_POSITION - 2)
						.setContent(this.content.reference()))
					.addRecords(StoreRecord.newBuilder()
						.setKey("evacuate/zone-a")
						.setPosition(END_POSITION - 1)
						.setValue(ByteString.copyFrom(new JsonObject().toBuffer().getBytes()))));
			}
			return Future.succeededFuture(news.build());
		}

		@Override
		public Future<ContentPart> readContent(ContentRequest request) {
			if (this.behaviour == Behaviour.BUSY) {
				return Future.succeededFuture(ContentPart.newBuilder().setStatus(ContentPart.Status.BUSY).build());
			}
			int sent = this.partsSent.incrementAndGet();
			if (this.behaviour == Behaviour.FAILING_AFTER_TWO_PARTS && sent > 2) {
				return Future.failedFuture(new IllegalStateException("holder fails"));
			}
			byte[] data = this.content.part(request.getOffset(), ContentDownload.PART_BYTES);
			if (this.behaviour == Behaviour.SPOILING) {
				data[data.length / 2] ^= 1;
			}
			return Future.succeededFuture(ContentPart.newBuilder().setData(ByteString.copyFrom(data)).build());
		}

	}

}
