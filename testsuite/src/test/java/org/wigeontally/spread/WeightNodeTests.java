package org.wigeontally.spread;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpServer;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import org.wigeontally.emulator.platform.Links;
import org.wigeontally.emulator.platform.OriginServer;
import org.wigeontally.emulator.platform.WeightFleet;
import org.wigeontally.misc.Clock;
import org.wigeontally.schema.generated.Address;
import org.wigeontally.schema.generated.HostIdentity;
import org.wigeontally.schema.generated.HostState;
import org.wigeontally.schema.generated.Liveness;
import org.wigeontally.schema.generated.Manifest;
import org.wigeontally.schema.generated.Model;
import org.wigeontally.schema.generated.Role;
import org.wigeontally.schema.generated.VersionProgress;
import org.wigeontally.weights.Manifests;
import org.wigeontally.weights.VerifiedWeights;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests weight nodes over loopback with an engine that verifies each byte. Confirmed to
 * fail without the code under test: the test of corrupt segments without the digest check
 * in {@code ChunkStore.put}, that of stalled paths without the stall check in
 * {@link ByteFetcher}, that of the old version without {@code ChunkStore.retain}, and
 * that of one copy with every host assigned to every stripe. The other tests were never
 * seen to fail.
 */
public class WeightNodeTests {

	private static final int SIZE = 400_000;

	private static final int CHUNK_BYTES = 10_000;

	private static final long TIMEOUT_MS = 30_000;

	private Vertx vertx;

	private OriginServer origin;

	private Address originAddress;

	private Links links;

	private WeightFleet fleet;

	private VerifyingEngine engine;

	@BeforeMethod
	public void start() {
		this.vertx = Vertx.vertx();
		this.links = new Links(this.vertx, Clock.system(), new Links.Rates(0, 0, 0), Map.of());
		this.origin = OriginServer.create(this.vertx, Clock.system(), 0, this.links);
		Address loopback = Address.newBuilder().setIp("127.0.0.1").build();
		this.originAddress = loopback.toBuilder().setPort(join(this.origin.listen(loopback)).actualPort()).build();
		this.fleet = fleet(0);
		this.engine = VerifyingEngine.start(this.vertx);
	}

	private WeightFleet fleet(int kbps) {
		return new WeightFleet(this.vertx,
				new WeightFleet.Setup(Clock.system(), this.originAddress, "r0", 2, kbps, Map.of(), this.links, false));
	}

	@AfterMethod
	public void stop() {
		this.fleet.close();
		join(this.vertx.close());
	}

	@Test
	public void fetchesOneCopyAndExposesNoIncompleteVersion() {
		addHosts(9);
		Model model = publish("assist", "v1", randomBytes(1));
		this.fleet.want(model);
		while (!allComplete(model)) {
			for (String host : this.fleet.hosts()) {
				Optional<VerifiedWeights> weights = this.fleet.node(host).verifiedWeights("assist", "v1");
				assertThat(weights.isEmpty() || weights.get().totalBytes() == SIZE).isTrue();
			}
		}
		assertThat(this.origin.chunkBytesOut()).isLessThan((long) (SIZE * 1.2));
		loadAll(model);
	}

	/** What supplies the other hosts throws once. */
	@Test
	public void nodeGoesOnAfterAStepThrew() {
		AtomicInteger questions = new AtomicInteger();
		HostIdentity self = HostIdentity.newBuilder().setHost("h0").setRegion("r0").setZone("z0").build();
		WeightNode node = WeightNode.start(this.vertx,
				new WeightSettings(self, "r0", 1, 0, Map.of(), UploadTransport.DIRECT), () -> {
					if (questions.incrementAndGet() == 2) {
						throw new StackOverflowError();
					}
					return List.of();
				}, unavailableOrigin(), Clock.system(), 1);
		node.fetchVersion(Model.newBuilder().setName("assist").setVersion("v1").setManifest("00").build());
		await(() -> questions.get() >= 4);
		node.close();
	}

	private static OriginClient unavailableOrigin() {
		return new OriginClient() {

			@Override
			public Future<byte[]> fetchManifest(String digest) {
				return Future.failedFuture("unavailable");
			}

			@Override
			public Future<byte[]> fetchChunk(String digest, int size) {
				return Future.failedFuture("unavailable");
			}

		};
	}

	@Test
	public void corruptSegmentsReachNoEngine() {
		addHosts(6);
		Random random = new Random(2);
		this.links.fault((from, to, segment) -> {
			boolean corrupt = random.nextInt(40) == 0;
			return Future.succeededFuture(corrupt ? segment.setByte(1, (byte) ~segment.getByte(1)) : segment);
		});
		Model model = publish("assist", "v1", randomBytes(2));
		this.fleet.want(model);
		await(() -> allComplete(model));
		assertThat(
				this.fleet.hosts().stream().mapToLong((host) -> this.fleet.node(host).counters().corruptChunks()).sum())
			.isPositive();
		loadAll(model);
	}

	@Test
	public void backsOffFromCorruptPeerAndItsBytesReachNoEngine() {
		addHosts(3);
		int[] chunkRequests = new int[1];
		HttpServer corruptPeer = join(this.vertx.createHttpServer().requestHandler((request) -> {
			if (request.path().contains("/chunks/")) {
				chunkRequests[0]++;
				request.response().end(Buffer.buffer(new byte[CHUNK_BYTES]));
			}
			else if (request.path().endsWith("/map")) {
				byte[] mapBytes = org.wigeontally.schema.generated.ChunkMapDelta.newBuilder()
					.addAllVerified(java.util.stream.IntStream.range(0, SIZE / CHUNK_BYTES).boxed().toList())
					.build()
					.toByteArray();
				request.response().setChunked(true);
				request.response().write(Buffer.buffer().appendInt(mapBytes.length).appendBytes(mapBytes));
			}
			else {
				request.response().end(Buffer.buffer("not a manifest"));
			}
		}).listen(0, "127.0.0.1"));
		this.fleet.row(HostState.newBuilder()
			.setLiveness(Liveness.LIVE)
			.setHost(HostIdentity.newBuilder()
				.setHost("liar")
				.setRegion("r0")
				.setZone("z0")
				.setRole(Role.AGENT)
				.setAddress(Address.newBuilder().setIp("127.0.0.1").setPort(corruptPeer.actualPort())))
			.build());
		Model model = publish("assist", "v1", randomBytes(3));
		this.fleet.want(model);
		await(() -> allComplete(model));
		assertThat(chunkRequests[0]).isLessThanOrEqualTo(60);
		loadAll(model);
	}

	@Test
	public void completesDespiteStalledPaths() {
		addHosts(8);
		this.links.fault((from, to, segment) -> ((from + to).hashCode() % 5 == 0) ? Future.future((never) -> {
		}) : Future.succeededFuture(segment));
		Model model = publish("assist", "v1", randomBytes(4));
		this.fleet.want(model);
		await(() -> allComplete(model));
		loadAll(model);
	}

	@DataProvider
	public Object[][] originFaults() {
		return new Object[][] { { OriginServer.Fault.DOWN }, { OriginServer.Fault.STALL }, { OriginServer.Fault.SLOW },
				{ OriginServer.Fault.CORRUPT }, { OriginServer.Fault.TRUNCATE } };
	}

	@Test(dataProvider = "originFaults")
	public void backsOffFromFailingOriginAndResumes(OriginServer.Fault fault) throws InterruptedException {
		addHosts(6);
		Model model = publish("assist", "v1", randomBytes(5));
		this.fleet.want(model);
		await(() -> this.origin.chunkBytesOut() > SIZE / 4);
		this.origin.fault(fault);
		long requestsBefore = this.origin.requests();
		Thread.sleep(3000);
		assertThat(this.origin.requests() - requestsBefore).isLessThan(150);
		this.origin.fault(OriginServer.Fault.NONE);
		await(() -> allComplete(model));
		loadAll(model);
	}

	@DataProvider
	public Object[][] failurePoints() {
		return new Object[][] { { 0.0 }, { 0.2 }, { 0.5 }, { 0.9 } };
	}

	@Test(dataProvider = "failurePoints")
	public void completesWhenHostsFailAtAnyPoint(double fetchedFraction) {
		this.fleet = fleet(4000);
		addHosts(9);
		Model model = publish("assist", "v1", randomBytes(6));
		this.fleet.want(model);
		await(() -> this.origin.chunkBytesOut() >= SIZE * fetchedFraction);
		for (String host : List.of("h0", "h4", "h8")) {
			this.fleet.kill(host);
		}
		await(() -> allComplete(model));
		loadAll(model);
	}

	@Test
	public void newVersionReplacesIncompleteOneAndFetchesOnlyChangedChunks() {
		this.fleet = fleet(4000);
		addHosts(6);
		byte[] first = randomBytes(7);
		byte[] second = first.clone();
		second[SIZE - 1]++;
		Model old = publish("assist", "v1", first);
		Model next = publish("assist", "v2", second);
		this.fleet.want(old);
		await(() -> this.origin.chunkBytesOut() > SIZE / 2);
		this.fleet.want(next);
		await(() -> allComplete(next));
		assertThat(this.fleet.node("h1").verifiedWeights("assist", "v1")).isEmpty();
		assertThat(this.origin.chunkBytesOut()).isLessThan((long) (SIZE * 1.4));
		loadAll(next);
	}

	@Test
	public void oldVersionIsKeptUntilTheNewOneServes() {
		addHosts(3);
		Model old = publish("assist", "v1", randomBytes(8));
		Model next = publish("assist", "v2", randomBytes(9));
		this.fleet.want(old);
		await(() -> allComplete(old));
		this.fleet.want(next);
		await(() -> allComplete(next));
		assertThat(this.fleet.node("h1").verifiedWeights("assist", "v1")).isPresent();
		this.fleet.node("h1").markServing("assist", "v2");
		await(() -> this.fleet.node("h1").heldBytes() == SIZE);
		assertThat(this.fleet.node("h1").verifiedWeights("assist", "v1")).isEmpty();
		assertThat(this.fleet.node("h1").verifiedWeights("assist", "v2")).isPresent();
	}

	@Test
	public void fetchesSeveralVersionsAndAnAdapterAndFillsALateHostFromPeers() {
		addHosts(6);
		byte[] base = randomBytes(10);
		Model assist = publish("assist", "v1", base);
		Model drafts = publish("drafts", "v1", randomBytes(11));
		this.fleet.want(assist);
		this.fleet.want(drafts);
		await(() -> allComplete(assist) && allComplete(drafts));
		long originBytesBefore = this.origin.chunkBytesOut();
		byte[] adapted = java.util.Arrays.copyOf(base, CHUNK_BYTES * 3);
		adapted[0]++;
		Model adapter = publish("assist-fr", "a1", adapted);
		this.fleet.want(adapter);
		await(() -> allComplete(adapter));
		assertThat(this.origin.chunkBytesOut() - originBytesBefore).isLessThan(CHUNK_BYTES * 2 + 5000);
		originBytesBefore = this.origin.chunkBytesOut();
		this.fleet.kill("h1");
		WeightNode lateNode = this.fleet.add("h1", "r1", "z1", 99);
		assertThat(lateNode.heldBytes()).isZero();
		lateNode.fetchVersion(assist);
		await(() -> this.fleet.whole("h1", assist));
		assertThat(this.origin.chunkBytesOut()).isEqualTo(originBytesBefore);
		load("h1", assist);
	}

	@Test
	public void crashDuringLoadLeavesTheOldVersionRunning() {
		this.engine = VerifyingEngine.startWithSmallBuffer(this.vertx);
		addHosts(3);
		byte[] first = randomBytes(12);
		byte[] second = randomBytes(13);
		Model old = publish("assist", "v1", first);
		Model next = publish("assist", "v2", second);
		this.fleet.want(old);
		await(() -> allComplete(old));
		load("h0", old);
		assertThat(this.engine.runningVersion()).isEqualTo("v1");
		this.fleet.want(next);
		await(() -> allComplete(next));
		this.engine.pauseAfter(SIZE / 3);
		HttpClient crashingClient = this.vertx
			.createHttpClient(new HttpClientOptions().setSendBufferSize(VerifyingEngine.BUFFER_BYTES));
		new WeightLoader(crashingClient).load(this.engine.address(), 1,
				this.fleet.node("h0").verifiedWeights("assist", "v2").get());
		await(this.engine::isPaused);
		join(crashingClient.close());
		this.fleet.kill("h0");
		this.engine.resume();
		await(() -> this.engine.interruptedLoads() > 0);
		assertThat(this.engine.runningVersion()).isEqualTo("v1");
		this.fleet.add("h0", "r0", "z0", 77);
		this.fleet.node("h0").fetchVersion(next);
		await(() -> this.fleet.whole("h0", next));
		load("h0", next);
		assertThat(this.engine.runningVersion()).isEqualTo("v2");
		assertThat(this.engine.wrongBytes()).isZero();
	}

	private void addHosts(int count) {
		for (int host = 0; host < count; host++) {
			this.fleet.add("h" + host, "r" + host % 3, "z" + host % 3, host);
		}
	}

	private Model publish(String name, String version, byte[] bytes) {
		this.engine.expectWeights(name, version, bytes);
		Manifest manifest = Manifests.build(name, version, "", bytes, CHUNK_BYTES);
		String digest = this.origin.publish(manifest, bytes);
		return Model.newBuilder().setName(name).setVersion(version).setManifest(digest).build();
	}

	private boolean allComplete(Model model) {
		return this.fleet.hosts().stream().allMatch((host) -> this.fleet.whole(host, model));
	}

	private void loadAll(Model model) {
		int loadsBefore = this.engine.completedLoads();
		this.fleet.hosts().forEach((host) -> load(host, model));
		assertThat(this.engine.completedLoads() - loadsBefore).isEqualTo(this.fleet.hosts().size());
	}

	private void load(String host, Model model) {
		VerifiedWeights weights = this.fleet.node(host).verifiedWeights(model.getName(), model.getVersion()).get();
		HttpClient client = this.vertx.createHttpClient();
		join(new WeightLoader(client).load(this.engine.address(), 1, weights));
		join(client.close());
		assertThat(this.engine.wrongBytes()).isZero();
		assertThat(this.engine.runningVersion()).isEqualTo(model.getVersion());
	}

	private void await(BooleanSupplier condition) {
		long endNs = System.nanoTime() + TIMEOUT_MS * 1_000_000;
		while (!condition.getAsBoolean()) {
			assertThat(System.nanoTime()).as("timeout, chunks verified by host: %s", progress()).isLessThan(endNs);
			java.util.concurrent.locks.LockSupport.parkNanos(5_000_000);
		}
	}

	private List<String> progress() {
		return this.fleet.hosts()
			.stream()
			.map((host) -> host
					+ this.fleet.node(host).progress().stream().map(VersionProgress::getChunksVerified).toList())
			.toList();
	}

	private static byte[] randomBytes(long seed) {
		byte[] bytes = new byte[SIZE];
		new Random(seed).nextBytes(bytes);
		return bytes;
	}

	private static <T> T join(Future<T> future) {
		return future.toCompletionStage().toCompletableFuture().join();
	}

}
