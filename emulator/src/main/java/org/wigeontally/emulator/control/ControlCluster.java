package org.wigeontally.emulator.control;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

import io.vertx.core.Future;
import io.vertx.core.Handler;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;

import org.wigeontally.configuration.KeyRing;
import org.wigeontally.control.ControlNode;
import org.wigeontally.control.ControlSettings;
import org.wigeontally.emulator.platform.LogServer;
import org.wigeontally.emulator.platform.MemoryLog;
import org.wigeontally.log.PlatformLog;
import org.wigeontally.misc.Clock;
import org.wigeontally.misc.Closer;
import org.wigeontally.platform.HttpPlatformLog;
import org.wigeontally.schema.generated.Address;
import org.wigeontally.schema.generated.HostIdentity;
import org.wigeontally.schema.generated.Role;

/**
 * Real control nodes of entry hosts and agents in one process: exchanges over gRPC on
 * loopback, the log over HTTP, one Vert.x instance with few event loops.
 */
public final class ControlCluster implements AutoCloseable {

	private static final String LOOPBACK = "127.0.0.1";

	private static final int EVENT_LOOPS = 4;

	private static final int ZONES = 3;

	private static final long RETENTION_MS = TimeUnit.HOURS.toMillis(1);

	private final TrafficCounter traffic = new TrafficCounter();

	private final Closer closer = Closer.create();

	private final Vertx vertx;

	private final List<Address> addresses = new ArrayList<>();

	private final List<String> names = new ArrayList<>();

	private final List<ControlNode> nodes = new ArrayList<>();

	private final int entries;

	private int logPort;

	private ControlCluster(int entries) {
		this.entries = entries;
		this.vertx = Vertx.builder()
			.with(new VertxOptions().setEventLoopPoolSize(EVENT_LOOPS))
			.withMetrics(this.traffic)
			.build();
		this.closer.add(() -> await(this.vertx.close()));
	}

	/**
	 * Starts a cluster.
	 * @param entries number of entry hosts
	 * @param agents number of agents
	 * @param keys keys of operators
	 * @return the cluster, running
	 * @throws Exception if it cannot start
	 */
	public static ControlCluster start(int entries, int agents, KeyRing keys) throws Exception {
		ControlCluster cluster = new ControlCluster(entries);
		Address log = cluster.startLog();
		List<AtomicReference<Handler<HttpServerRequest>>> handlers = new ArrayList<>();
		for (int i = 0; i < entries + agents; i++) {
			handlers.add(cluster.listen());
			cluster.names.add((i < entries) ? "entry-" + i : "backend-" + (i - entries));
		}
		for (int i = 0; i < entries + agents; i++) {
			PlatformLog platformLog = (i < entries) ? HttpPlatformLog.create(cluster.vertx, log) : null;
			ControlNode node = cluster.node(i, platformLog, (i < entries) ? keys : KeyRing.acceptingAll());
			handlers.get(i).set(node.handler());
			cluster.nodes.add(node);
		}
		return cluster;
	}

	private Address startLog() throws Exception {
		try (java.net.ServerSocket free = new java.net.ServerSocket(0)) {
			this.logPort = free.getLocalPort();
		}
		Address address = Address.newBuilder().setIp(LOOPBACK).setPort(this.logPort).build();
		await(LogServer.start(this.vertx, address, MemoryLog.create(Clock.system(), 1)));
		return address;
	}

	private AtomicReference<Handler<HttpServerRequest>> listen() throws Exception {
		AtomicReference<Handler<HttpServerRequest>> handler = new AtomicReference<>(
				(request) -> request.response().setStatusCode(503).end());
		HttpServer server = this.vertx.createHttpServer().requestHandler((request) -> handler.get().handle(request));
		await(server.listen(0, LOOPBACK));
		this.addresses.add(Address.newBuilder().setIp(LOOPBACK).setPort(server.actualPort()).build());
		return handler;
	}

	private ControlNode node(int index, PlatformLog log, KeyRing keys) throws Exception {
		HostIdentity self = HostIdentity.newBuilder()
			.setHost(this.names.get(index))
			.setRegion("region")
			.setZone("zone-" + index % ZONES)
			.setRole((log != null) ? Role.ENTRY : Role.AGENT)
			.setAddress(this.addresses.get(index))
			.build();
		ControlSettings settings = new ControlSettings(self, this.addresses.subList(0, this.entries), RETENTION_MS);
		return await(ControlNode.start(this.vertx, settings, log, keys, Clock.system()));
	}

	/**
	 * Returns the nodes, those of entry hosts first.
	 * @return the nodes
	 */
	public List<ControlNode> nodes() {
		return List.copyOf(this.nodes);
	}

	/**
	 * Returns the names of the hosts, those of entry hosts first.
	 * @return the names
	 */
	public List<String> names() {
		return List.copyOf(this.names);
	}

	/**
	 * Returns the bytes that each node read and wrote so far, the log's traffic shared
	 * evenly among the entry hosts.
	 * @return bytes by node
	 */
	public List<Long> bytes() {
		long logShare = this.traffic.bytes(Integer.toString(this.logPort)) / this.entries;
		List<Long> all = new ArrayList<>();
		for (int i = 0; i < this.names.size(); i++) {
			long served = this.traffic.bytes(Integer.toString(this.addresses.get(i).getPort()));
			long asked = this.traffic.bytes("control-" + this.names.get(i));
			all.add(served + asked + ((i < this.entries) ? logShare : 0));
		}
		return all;
	}

	private static <T> T await(Future<T> future) throws Exception {
		return future.toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
	}

	@Override
	public void close() throws Exception {
		this.closer.close();
	}

}
