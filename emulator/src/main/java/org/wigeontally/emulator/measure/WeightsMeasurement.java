package org.wigeontally.emulator.measure;

import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeoutException;

import com.beust.jcommander.Parameter;
import com.sun.management.OperatingSystemMXBean;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;

import org.wigeontally.emulator.platform.Links;
import org.wigeontally.emulator.platform.OriginServer;
import org.wigeontally.emulator.platform.WeightFleet;
import org.wigeontally.misc.Clock;
import org.wigeontally.misc.Closer;
import org.wigeontally.schema.generated.Address;
import org.wigeontally.schema.generated.Manifest;
import org.wigeontally.schema.generated.Model;
import org.wigeontally.weights.Manifests;

/**
 * Spreads one version to many weight nodes over emulated links and compares the time with
 * the lower bound: the size over the slowest of machine link, origin link and border.
 */
public final class WeightsMeasurement implements Measurement {

	private static final String MODEL = "assist";

	private static final String WARM_UP_MODEL = "warm-up";

	private static final int WARM_UP_PART = 8;

	private static final long LIVE_BEFORE_MS = 4000;

	private static final long POLL_MS = 25;

	private static final double GIVE_UP_RATIO = 12;

	private static final double DYING = 0.1;

	private static final double CORRUPT = 0.01;

	private static final double STALLED = 0.1;

	private static final int SLOW_STORE_FACTOR = 4;

	private static final int PIECE_BYTES = 2048;

	private static final double GIGABYTE = 1e9;

	@Parameter(names = "--hosts", description = "Number of backend server hosts")
	private int hosts = 30;

	@Parameter(names = "--zones", description = "Number of availability zones, dealt to the regions in turn")
	private int zones = 3;

	@Parameter(names = "--regions", description = "Number of regions; the origin is in the first")
	private int regions = 3;

	@Parameter(names = "--fault", description = "none, deaths, corrupt, stall or store-slow")
	private String fault = "none";

	@Parameter(names = "--size-kb", description = "Size of the version in KiB")
	private int sizeKb = 3072;

	@Parameter(names = "--chunk-kb", description = "Size of a chunk in KiB")
	private int chunkKb = 24;

	@Parameter(names = "--machine-kbps", description = "Each machine's link, each way")
	private int machineKbps = 2000;

	@Parameter(names = "--origin-kbps", description = "The origin's link")
	private int originKbps = 4000;

	@Parameter(names = "--border-kbps", description = "Link between two regions, each way")
	private int borderKbps = 1500;

	@Parameter(names = "--link-share", description = "Share of a machine's link that uploads of weights may use")
	private double linkShare = 1;

	@Parameter(names = "--seeds-across-regions", description = "Hosts of all regions fetch from the origin")
	private boolean seedsAcrossRegions;

	@Parameter(names = "--learning-ms", description = "Longest time until a host learns of the version")
	private long learningMs;

	private final Closer closer = Closer.create();

	private final List<String> hostRegions = new ArrayList<>();

	private Links.Rates rates;

	private Links links;

	private Manifest manifest;

	private Model model;

	private WeightFleet fleet;

	private OriginServer origin;

	private double boundMs;

	private long mapBytesBefore;

	private long originBefore;

	private Map<String, Long> bordersBefore = Map.of();

	private double originDoneMs;

	private double borderDoneMs;

	@Override
	public String name() {
		return "weights";
	}

	@Override
	public Figures run(long seed) throws Exception {
		try (this.closer) {
			Random random = new Random(seed);
			Vertx vertx = Vertx.vertx();
			this.closer.add(() -> vertx.close().toCompletionStage().toCompletableFuture().join());
			prepare(vertx, random);
			warmUp(random);
			LiveRequests live = new LiveRequests(vertx, this.links, this.fleet, entries(), new Random(seed + 1));
			live.start();
			Thread.sleep(LIVE_BEFORE_MS);
			double beforeMs = live.p99Ms();
			this.originBefore = this.links.originBytes();
			this.bordersBefore = borders();
			Map<String, Double> readyMs = new HashMap<>();
			this.mapBytesBefore = mapBytes();
			long cpuBefore = cpuNs();
			fault(vertx, random);
			spread(this.model, readyMs);
			long cpuNs = cpuNs() - cpuBefore;
			Figures figures = figures(readyMs, cpuNs);
			figures.put("originCopies", copies(this.links.originBytes() - this.originBefore));
			figures.put("borderCopies", borderCopies(this.bordersBefore));
			figures.put("liveP99BeforeMs", beforeMs);
			double duringMs = live.p99Ms();
			figures.put("liveP99DuringMs", duringMs);
			figures.put("liveP99Ratio", duringMs / beforeMs);
			live.stop();
			baselines(figures, random);
			return figures;
		}
	}

	private void prepare(Vertx vertx, Random random) {
		if (this.fault.equals("store-slow")) {
			this.originKbps = this.machineKbps / SLOW_STORE_FACTOR;
		}
		this.rates = new Links.Rates(this.machineKbps, this.originKbps, this.borderKbps);
		this.boundMs = this.sizeKb * 1024 * 8.0 / slowest();
		Map<String, String> regionOf = new HashMap<>();
		regionOf.put(Links.ORIGIN, "region-0");
		for (int host = 0; host < this.hosts; host++) {
			this.hostRegions.add("region-" + host % this.zones % this.regions);
			regionOf.put("host-" + host, this.hostRegions.get(host));
		}
		for (String entry : entries()) {
			regionOf.put(entry, entry.substring("entry-".length()));
		}
		this.links = new Links(vertx, Clock.system(), this.rates, regionOf);
		byte[] bytes = new byte[this.sizeKb * 1024];
		random.nextBytes(bytes);
		this.manifest = Manifests.build(MODEL, "v1", "", bytes, this.chunkKb * 1024);
		this.origin = OriginServer.create(vertx, Clock.system(), 0, this.links);
		String digest = this.origin.publish(this.manifest, bytes);
		this.model = Model.newBuilder().setName(MODEL).setVersion("v1").setManifest(digest).build();
		HttpServer server = join(this.origin.listen(Address.newBuilder().setIp("127.0.0.1").build()));
		Address address = Address.newBuilder().setIp("127.0.0.1").setPort(server.actualPort()).build();
		int memoryMb = this.sizeKb / 512 + 1;
		this.fleet = new WeightFleet(vertx, new WeightFleet.Setup(Clock.system(), address, "region-0", memoryMb,
				(int) (this.machineKbps * this.linkShare), Map.of(), this.links, this.seedsAcrossRegions));
		for (int host = 0; host < this.hosts; host++) {
			this.fleet.add("host-" + host, this.hostRegions.get(host), "zone-" + host % this.zones, random.nextLong());
		}
	}

	// Spreads a small version first, so that code is compiled and connections are open.
	private void warmUp(Random random) throws Exception {
		byte[] bytes = new byte[this.sizeKb * 1024 / WARM_UP_PART];
		random.nextBytes(bytes);
		Manifest small = Manifests.build(WARM_UP_MODEL, "v0", "", bytes, this.chunkKb * 1024);
		Model warmUp = Model.newBuilder()
			.setName(WARM_UP_MODEL)
			.setVersion("v0")
			.setManifest(this.origin.publish(small, bytes))
			.build();
		spread(warmUp, new HashMap<>());
		this.fleet.hosts().forEach((host) -> this.fleet.node(host).dropModel(WARM_UP_MODEL));
	}

	private int slowest() {
		int slowest = Math.min(this.machineKbps, this.originKbps);
		return (Math.min(this.regions, this.zones) > 1) ? Math.min(slowest, this.borderKbps) : slowest;
	}

	private List<String> entries() {
		List<String> entries = new ArrayList<>();
		for (int region = 0; region < Math.min(this.regions, this.zones); region++) {
			entries.add("entry-region-" + region);
		}
		return entries;
	}

	private void fault(Vertx vertx, Random random) {
		switch (this.fault) {
			case "deaths" -> deaths(vertx, random);
			case "corrupt" -> {
				double perPiece = CORRUPT * PIECE_BYTES / (this.chunkKb * 1024.0);
				Random shared = new Random(random.nextLong());
				this.links.fault((from, to, piece) -> Future.succeededFuture(
						(shared.nextDouble() < perPiece) ? piece.setByte(0, (byte) ~piece.getByte(0)) : piece));
			}
			case "stall" -> {
				long salt = random.nextLong();
				this.links
					.fault((from, to, piece) -> (new Random((from + ">" + to).hashCode() * salt).nextDouble() < STALLED)
							? Future.future((never) -> {
							}) : Future.succeededFuture(piece));
			}
			default -> {
			}
		}
	}

	private void deaths(Vertx vertx, Random random) {
		List<String> names = this.fleet.hosts();
		Collections.shuffle(names, random);
		for (String host : names.subList(0, (int) Math.ceil(this.hosts * DYING))) {
			vertx.setTimer(1 + (long) (this.boundMs * random.nextDouble()), (id) -> {
				synchronized (this.fleet) {
					this.fleet.kill(host);
				}
			});
		}
	}

	private void spread(Model wanted, Map<String, Double> readyMs) throws Exception {
		long startNs = System.nanoTime();
		this.fleet.want(wanted, this.learningMs, new Random(wanted.hashCode()));
		while (true) {
			double nowMs = (System.nanoTime() - startNs) / 1e6;
			int waiting = 0;
			synchronized (this.fleet) {
				for (String host : this.fleet.hosts()) {
					if (readyMs.containsKey(host)) {
						continue;
					}
					if (this.fleet.whole(host, wanted)) {
						readyMs.put(host, nowMs);
					}
					else {
						waiting++;
					}
				}
			}
			if (waiting == 0) {
				return;
			}
			if (nowMs > this.boundMs * GIVE_UP_RATIO) {
				throw new TimeoutException(waiting + " hosts are not ready after " + nowMs + " ms");
			}
			trace(nowMs);
			Thread.sleep(POLL_MS);
		}
	}

	// Notes when the last byte left the origin and when it came into each region.
	private void trace(double nowMs) {
		if (this.links.originBytes() < this.sizeKb * 1024 + this.originBefore) {
			this.originDoneMs = nowMs;
		}
		for (Map.Entry<String, Long> region : this.bordersBefore.entrySet()) {
			long bytes = this.links.borderBytesInto(region.getKey()) - region.getValue();
			if (bytes > 0 && bytes < this.sizeKb * 1024) {
				this.borderDoneMs = nowMs;
			}
		}
	}

	private Figures figures(Map<String, Double> readyMs, long cpuNs) {
		List<Double> times = new ArrayList<>(readyMs.values());
		Collections.sort(times);
		long wasted = 0;
		long corrupt = 0;
		long mapBytes = -this.mapBytesBefore;
		for (String host : this.fleet.hosts()) {
			wasted += this.fleet.node(host).counters().wastedBytes();
			corrupt += this.fleet.node(host).counters().corruptChunks();
			mapBytes += this.fleet.node(host).counters().mapBytes();
		}
		double delivered = (double) this.sizeKb * 1024 * times.size();
		double lastMs = times.get(times.size() - 1);
		Figures figures = Figures.create();
		for (int index = 0; index < times.size(); index++) {
			figures.point("hosts ready", times.get(index) / this.boundMs, index + 1);
		}
		return figures.put("hosts", this.hosts)
			.put("boundMs", this.boundMs)
			.put("timeRatio", lastMs / this.boundMs)
			.put("medianReadyRatio", times.get(times.size() / 2) / this.boundMs)
			.put("firstReadyRatio", times.get(0) / this.boundMs)
			.put("originDoneRatio", this.originDoneMs / this.boundMs)
			.put("borderDoneRatio", this.borderDoneMs / this.boundMs)
			.put("wasteRatio", wasted / delivered)
			.put("corruptChunks", corrupt)
			.put("mapBytesPerHostSecond", mapBytes * 1000.0 / times.size() / lastMs)
			.put("cpuPerGb", cpuNs / 1e9 / (delivered / GIGABYTE))
			.put("cpuCores", cpuNs / 1e6 / lastMs);
	}

	private long mapBytes() {
		long bytes = 0;
		for (String host : this.fleet.hosts()) {
			bytes += this.fleet.node(host).counters().mapBytes();
		}
		return bytes;
	}

	private double copies(long bytes) {
		return bytes / (this.sizeKb * 1024.0);
	}

	private Map<String, Long> borders() {
		Map<String, Long> borders = new HashMap<>();
		for (String region : this.hostRegions) {
			borders.put(region, this.links.borderBytesInto(region));
		}
		return borders;
	}

	private double borderCopies(Map<String, Long> before) {
		double worst = 0;
		for (Map.Entry<String, Long> region : before.entrySet()) {
			long bytes = this.links.borderBytesInto(region.getKey()) - region.getValue();
			worst = Math.max(worst, copies(bytes));
		}
		return worst;
	}

	private void baselines(Figures figures, Random random) {
		int chunks = this.manifest.getChunksCount();
		List<String> shuffled = new ArrayList<>(this.hostRegions);
		Collections.shuffle(shuffled, random);
		figures.put("baselineOriginRatio", baseline(TreeBaseline.star(this.hosts), shuffled, chunks));
		figures.put("baselineTreeRatio", baseline(TreeBaseline.binary(this.hosts), shuffled, chunks));
	}

	private double baseline(int[] parents, List<String> placed, int chunks) {
		return new TreeBaseline(placed, parents, this.rates, this.chunkKb * 1024, "region-0").timeMs(chunks)
				/ this.boundMs;
	}

	private static long cpuNs() {
		return ((OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean()).getProcessCpuTime();
	}

	private static <T> T join(Future<T> future) {
		return future.toCompletionStage().toCompletableFuture().join();
	}

}
