package org.wigeontally.spread;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
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
 * Real nodes over loopback; engines check every byte. Seen red: corrupt pieces with the
 * digest check left out of {@code ChunkStore.put}, stalled paths with the stall check
 * left out of {@link ByteFetcher}, the old version with {@code retain} left out, and one
 * copy with every host on duty for every lane. The other tests were not seen red yet.
 */
public class WeightNodeTests {

	private static final int SIZE = 400_000;

	private static final int CHUNK_BYTES = 10_000;

	private static final long PATIENCE_MS = 30_000;

	private Vertx vertx;

	private OriginServer origin;

	private Address originAddress;

	private Links links;

	private WeightFleet fleet;

	private RecordingEngine engine;

	@BeforeMethod
	public void start() {
		this.vertx = Vertx.vertx();
		this.links = new Links(this.vertx, Clock.system(), new Links.Rates(0, 0, 0), Map.of());
		this.origin = OriginServer.create(this.vertx, Clock.system(), 0, this.links);
		Address any = Address.newBuilder().setIp("127.0.0.1").build();
		this.originAddress = any.toBuilder().setPort(join(this.origin.listen(any)).actualPort()).build();
		this.fleet = fleet(0);
		this.engine = RecordingEngine.start(this.vertx);
	}

	private WeightFleet fleet(int kbps) {
		return new WeightFleet(this.vertx,
				new WeightFleet.Setup(Clock.system(), this.originAddress, "r0", 2, kbps, Map.of(), this.links));
	}

	@AfterMethod
	public void stop() {
		this.fleet.close();
		join(this.vertx.close());
	}

	@Test
	public void spreadsOneCopyAndLoadsNothingBeforeItIsWhole() {
		hosts(9);
		Model model = publish("assist", "v1", bytes(1));
		this.fleet.want(model);
		while (!allWhole(model)) {
			for (String host : this.fleet.hosts()) {
				Optional<VerifiedWeights> weights = this.fleet.node(host).verified("assist", "v1");
				assertThat(weights.isEmpty() || weights.get().totalBytes() == SIZE).isTrue();
			}
		}
		assertThat(this.origin.chunkBytesOut()).isLessThan((long) (SIZE * 1.2));
		loadAll(model);
	}

	@Test
	public void corruptPiecesReachNoEngine() {
		hosts(6);
		Random random = new Random(2);
		this.links.fault((from, to, piece) -> {
			boolean hit = random.nextInt(40) == 0;
			return Future.succeededFuture(hit ? piece.setByte(1, (byte) ~piece.getByte(1)) : piece);
		});
		Model model = publish("assist", "v1", bytes(2));
		this.fleet.want(model);
		await(() -> allWhole(model));
		assertThat(
				this.fleet.hosts().stream().mapToLong((host) -> this.fleet.node(host).counters().corruptChunks()).sum())
			.isPositive();
		loadAll(model);
	}

	@Test
	public void lyingPeerIsShunnedAndReachesNoEngine() {
		hosts(3);
		int[] asked = new int[1];
		HttpServer liar = join(this.vertx.createHttpServer().requestHandler((request) -> {
			if (request.path().contains("/chunks/")) {
				asked[0]++;
				request.response().end(Buffer.buffer(new byte[CHUNK_BYTES]));
			}
			else if (request.path().endsWith("/map")) {
				byte[] all = org.wigeontally.schema.generated.ChunkMapDelta.newBuilder()
					.addAllVerified(java.util.stream.IntStream.range(0, SIZE / CHUNK_BYTES).boxed().toList())
					.build()
					.toByteArray();
				request.response().setChunked(true);
				request.response().write(Buffer.buffer().appendInt(all.length).appendBytes(all));
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
				.setAddress(Address.newBuilder().setIp("127.0.0.1").setPort(liar.actualPort())))
			.build());
		Model model = publish("assist", "v1", bytes(3));
		this.fleet.want(model);
		await(() -> allWhole(model));
		assertThat(asked[0]).isLessThanOrEqualTo(60);
		loadAll(model);
	}

	@Test
	public void leavesStalledPaths() {
		hosts(8);
		this.links.fault((from, to, piece) -> ((from + to).hashCode() % 5 == 0) ? Future.future((never) -> {
		}) : Future.succeededFuture(piece));
		Model model = publish("assist", "v1", bytes(4));
		this.fleet.want(model);
		await(() -> allWhole(model));
		loadAll(model);
	}

	@DataProvider
	public Object[][] originFaults() {
		return new Object[][] { { OriginServer.Fault.DOWN }, { OriginServer.Fault.STALL }, { OriginServer.Fault.SLOW },
				{ OriginServer.Fault.CORRUPT }, { OriginServer.Fault.TRUNCATE } };
	}

	@Test(dataProvider = "originFaults")
	public void backsOffFromAFailingOriginAndGoesOnAfterwards(OriginServer.Fault fault) throws InterruptedException {
		hosts(6);
		Model model = publish("assist", "v1", bytes(5));
		this.fleet.want(model);
		await(() -> this.origin.chunkBytesOut() > SIZE / 4);
		this.origin.fault(fault);
		long before = this.origin.requests();
		Thread.sleep(3000);
		assertThat(this.origin.requests() - before).isLessThan(150);
		this.origin.fault(OriginServer.Fault.NONE);
		await(() -> allWhole(model));
		loadAll(model);
	}

	@DataProvider
	public Object[][] deaths() {
		return new Object[][] { { 0.0 }, { 0.2 }, { 0.5 }, { 0.9 } };
	}

	@Test(dataProvider = "deaths")
	public void survivesDeathsAtAnyPoint(double part) {
		this.fleet = fleet(4000);
		hosts(9);
		Model model = publish("assist", "v1", bytes(6));
		this.fleet.want(model);
		await(() -> this.origin.chunkBytesOut() >= SIZE * part);
		for (String host : List.of("h0", "h4", "h8")) {
			this.fleet.kill(host);
		}
		await(() -> allWhole(model));
		loadAll(model);
	}

	@Test
	public void versionChangesMidFlightAndMovesOnlyWhatChanged() {
		this.fleet = fleet(4000);
		hosts(6);
		byte[] first = bytes(7);
		byte[] second = first.clone();
		second[SIZE - 1]++;
		Model old = publish("assist", "v1", first);
		Model next = publish("assist", "v2", second);
		this.fleet.want(old);
		await(() -> this.origin.chunkBytesOut() > SIZE / 2);
		this.fleet.want(next);
		await(() -> allWhole(next));
		assertThat(this.fleet.node("h1").verified("assist", "v1")).isEmpty();
		assertThat(this.origin.chunkBytesOut()).isLessThan((long) (SIZE * 1.4));
		loadAll(next);
	}

	@Test
	public void oldVersionStaysUntilTheNewOneBearsLoad() {
		hosts(3);
		Model old = publish("assist", "v1", bytes(8));
		Model next = publish("assist", "v2", bytes(9));
		this.fleet.want(old);
		await(() -> allWhole(old));
		this.fleet.want(next);
		await(() -> allWhole(next));
		assertThat(this.fleet.node("h1").verified("assist", "v1")).isPresent();
		this.fleet.node("h1").bearsLoad("assist", "v2");
		await(() -> this.fleet.node("h1").heldBytes() == SIZE);
		assertThat(this.fleet.node("h1").verified("assist", "v1")).isEmpty();
		assertThat(this.fleet.node("h1").verified("assist", "v2")).isPresent();
	}

	@Test
	public void severalVersionsAndAnAdapterAtOnceAndALateHost() {
		hosts(6);
		byte[] base = bytes(10);
		Model assist = publish("assist", "v1", base);
		Model drafts = publish("drafts", "v1", bytes(11));
		this.fleet.want(assist);
		this.fleet.want(drafts);
		await(() -> allWhole(assist) && allWhole(drafts));
		long before = this.origin.chunkBytesOut();
		byte[] adapted = java.util.Arrays.copyOf(base, CHUNK_BYTES * 3);
		adapted[0]++;
		Model adapter = publish("assist-fr", "a1", adapted);
		this.fleet.want(adapter);
		await(() -> allWhole(adapter));
		assertThat(this.origin.chunkBytesOut() - before).isLessThan(CHUNK_BYTES * 2 + 5000);
		before = this.origin.chunkBytesOut();
		this.fleet.kill("h1");
		WeightNode late = this.fleet.add("h1", "r1", "z1", 99);
		assertThat(late.heldBytes()).isZero();
		late.want(assist);
		await(() -> this.fleet.whole("h1", assist));
		assertThat(this.origin.chunkBytesOut()).isEqualTo(before);
		load("h1", assist);
	}

	@Test
	public void crashDuringActivationLeavesNoMixedSet() {
		this.engine = RecordingEngine.startWithSmallBuffer(this.vertx);
		hosts(3);
		byte[] first = bytes(12);
		byte[] second = bytes(13);
		Model old = publish("assist", "v1", first);
		Model next = publish("assist", "v2", second);
		this.fleet.want(old);
		await(() -> allWhole(old));
		load("h0", old);
		assertThat(this.engine.running()).isEqualTo("v1");
		this.fleet.want(next);
		await(() -> allWhole(next));
		this.engine.pauseAfter(SIZE / 3);
		HttpClient crashing = this.vertx
			.createHttpClient(new HttpClientOptions().setSendBufferSize(RecordingEngine.BUFFER_BYTES));
		new WeightLoader(crashing).load(this.engine.address(), 1, this.fleet.node("h0").verified("assist", "v2").get());
		await(this.engine::paused);
		join(crashing.close());
		this.fleet.kill("h0");
		this.engine.resume();
		await(() -> this.engine.cutOrders() > 0);
		assertThat(this.engine.running()).isEqualTo("v1");
		this.fleet.add("h0", "r0", "z0", 77);
		this.fleet.node("h0").want(next);
		await(() -> this.fleet.whole("h0", next));
		load("h0", next);
		assertThat(this.engine.running()).isEqualTo("v2");
		assertThat(this.engine.wrongBytes()).isZero();
	}

	private void hosts(int count) {
		for (int host = 0; host < count; host++) {
			this.fleet.add("h" + host, "r" + host % 3, "z" + host % 3, host);
		}
	}

	private Model publish(String name, String version, byte[] bytes) {
		this.engine.truth(name, version, bytes);
		Manifest manifest = Manifests.build(name, version, "", bytes, CHUNK_BYTES);
		String digest = this.origin.publish(manifest, bytes);
		return Model.newBuilder().setName(name).setVersion(version).setManifest(digest).build();
	}

	private boolean allWhole(Model model) {
		return this.fleet.hosts().stream().allMatch((host) -> this.fleet.whole(host, model));
	}

	private void loadAll(Model model) {
		int before = this.engine.wholeOrders();
		this.fleet.hosts().forEach((host) -> load(host, model));
		assertThat(this.engine.wholeOrders() - before).isEqualTo(this.fleet.hosts().size());
	}

	private void load(String host, Model model) {
		VerifiedWeights weights = this.fleet.node(host).verified(model.getName(), model.getVersion()).get();
		HttpClient client = this.vertx.createHttpClient();
		join(new WeightLoader(client).load(this.engine.address(), 1, weights));
		join(client.close());
		assertThat(this.engine.wrongBytes()).isZero();
		assertThat(this.engine.running()).isEqualTo(model.getVersion());
	}

	private void await(BooleanSupplier condition) {
		long endNs = System.nanoTime() + PATIENCE_MS * 1_000_000;
		while (!condition.getAsBoolean()) {
			assertThat(System.nanoTime()).as("patience, at %s", progress()).isLessThan(endNs);
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

	private static byte[] bytes(long seed) {
		byte[] bytes = new byte[SIZE];
		new Random(seed).nextBytes(bytes);
		return bytes;
	}

	private static <T> T join(Future<T> future) {
		return future.toCompletionStage().toCompletableFuture().join();
	}

}
