package org.wigeontally.emulator.platform;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.VerticleBase;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;

import org.wigeontally.misc.Clock;
import org.wigeontally.schema.generated.Address;
import org.wigeontally.schema.generated.HostIdentity;
import org.wigeontally.schema.generated.HostState;
import org.wigeontally.schema.generated.Liveness;
import org.wigeontally.schema.generated.Model;
import org.wigeontally.schema.generated.Role;
import org.wigeontally.schema.generated.VersionPhase;
import org.wigeontally.schema.generated.VersionProgress;
import org.wigeontally.spread.ByteFetcher;
import org.wigeontally.spread.HttpOriginClient;
import org.wigeontally.spread.UploadTransport;
import org.wigeontally.spread.WeightNode;
import org.wigeontally.spread.WeightSettings;

/**
 * Weight nodes of many hosts in one process, each with a server, a client and a control
 * context of its own. A host that dies leaves the table of hosts after the time in which
 * membership suspects it.
 */
public final class WeightFleet {

	private static final String LOOPBACK = "127.0.0.1";

	private static final long SUSPECT_MS = 1500;

	private final Vertx vertx;

	private final Setup setup;

	private final Map<String, Member> members = new LinkedHashMap<>();

	private final List<HostState> table = new CopyOnWriteArrayList<>();

	/**
	 * Creates a fleet without hosts.
	 * @param vertx the Vert.x instance
	 * @param setup what all hosts have in common
	 */
	public WeightFleet(Vertx vertx, Setup setup) {
		this.vertx = vertx;
		this.setup = setup;
	}

	/**
	 * Starts a host and adds it to the table. To be called from one thread.
	 * @param host its name
	 * @param region its region
	 * @param zone its zone
	 * @param seed seed of its choices
	 * @return the running node
	 */
	public WeightNode add(String host, String region, String zone, long seed) {
		HostIdentity.Builder identity = HostIdentity.newBuilder()
			.setHost(host)
			.setRegion(region)
			.setZone(zone)
			.setRole(Role.AGENT);
		HttpServer server = join(this.vertx.createHttpServer().requestHandler((request) -> {
			Member member = this.members.get(host);
			if (member == null) {
				request.response().setStatusCode(404).end();
				return;
			}
			member.node.router().handle(request);
		}).listen(0, LOOPBACK));
		identity.setAddress(Address.newBuilder().setIp(LOOPBACK).setPort(server.actualPort()));
		Starter starter = new Starter(identity.build(), seed);
		join(this.vertx.deployVerticle(starter));
		this.members.put(host, new Member(starter.node, server));
		this.table.add(HostState.newBuilder().setHost(identity).setLiveness(Liveness.LIVE).build());
		return starter.node;
	}

	/**
	 * Lets a host die at once.
	 * @param host its name
	 */
	public void kill(String host) {
		Member member = this.members.remove(host);
		member.server.close();
		member.node.close();
		this.vertx.setTimer(SUSPECT_MS, (id) -> this.table.removeIf((row) -> row.getHost().getHost().equals(host)));
	}

	/**
	 * Adds a row for a host that runs elsewhere.
	 * @param state the row
	 */
	public void row(HostState state) {
		this.table.add(state);
	}

	/**
	 * Lets all hosts want a version.
	 * @param model name, version and manifest
	 */
	public void want(Model model) {
		this.members.values().forEach((member) -> member.node.fetchVersion(model));
	}

	/**
	 * Lets all hosts want a version, each after a time of its own.
	 * @param model name, version and manifest
	 * @param withinMs longest time
	 * @param random source of the times
	 */
	public void want(Model model, long withinMs, Random random) {
		for (Member member : this.members.values()) {
			this.vertx.setTimer(1 + (long) (withinMs * random.nextDouble()), (id) -> member.node.fetchVersion(model));
		}
	}

	/**
	 * Returns the live hosts.
	 * @return their names
	 */
	public List<String> hosts() {
		return new ArrayList<>(this.members.keySet());
	}

	/**
	 * Returns the node of a live host.
	 * @param host its name
	 * @return the node
	 */
	public WeightNode node(String host) {
		return this.members.get(host).node;
	}

	/**
	 * Tells whether a live host holds all of a version.
	 * @param host its name
	 * @param model the version
	 * @return true if it is whole
	 */
	public boolean whole(String host, Model model) {
		for (VersionProgress progress : node(host).progress()) {
			if (progress.getModel().equals(model.getName()) && progress.getVersion().equals(model.getVersion())) {
				return progress.getPhase() == VersionPhase.VERIFIED;
			}
		}
		return false;
	}

	/**
	 * Stops all hosts.
	 */
	public void close() {
		for (String host : hosts()) {
			kill(host);
		}
	}

	private static <T> T join(Future<T> future) {
		return future.toCompletionStage().toCompletableFuture().join();
	}

	/**
	 * What all hosts have in common.
	 *
	 * @param clock source of time
	 * @param origin address of the origin
	 * @param originRegion region of the origin
	 * @param memoryMb memory of each for chunks
	 * @param kbps budget of each for uploads
	 * @param publishers keys of publishers
	 * @param wire the network
	 * @param seedsAcrossRegions true if hosts of all regions fetch from the origin
	 */
	public record Setup(Clock clock, Address origin, String originRegion, int memoryMb, int kbps,
			Map<String, String> publishers, UploadTransport wire, boolean seedsAcrossRegions) {

	}

	private record Member(WeightNode node, HttpServer server) {

	}

	/**
	 * Starts a node on a context of its own.
	 */
	private final class Starter extends VerticleBase {

		private final HostIdentity identity;

		private final long seed;

		private volatile WeightNode node;

		Starter(HostIdentity identity, long seed) {
			this.identity = identity;
			this.seed = seed;
		}

		@Override
		public void init(Vertx owner, Context context) {
			super.init(owner, context);
		}

		@Override
		public Future<?> start() {
			Setup common = WeightFleet.this.setup;
			WeightSettings settings = new WeightSettings(this.identity, common.originRegion(), common.memoryMb(),
					common.kbps(), common.publishers(), common.wire(), common.seedsAcrossRegions());
			HttpOriginClient origin = HttpOriginClient.create(ByteFetcher.create(this.vertx, this.identity),
					List.of(common.origin()));
			this.node = WeightNode.start(this.vertx, settings, () -> WeightFleet.this.table, origin, common.clock(),
					this.seed);
			return Future.succeededFuture();
		}

	}

}
