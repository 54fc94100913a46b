package org.wigeontally.emulator.entries;

import java.util.List;
import java.util.concurrent.ThreadLocalRandom;

import com.google.protobuf.InvalidProtocolBufferException;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.datagram.DatagramPacket;
import io.vertx.core.datagram.DatagramSocket;
import io.vertx.grpc.server.GrpcServer;

import org.wigeontally.fleet.DueContacts;
import org.wigeontally.fleet.EntryTable;
import org.wigeontally.misc.RendezvousHash;
import org.wigeontally.rpc.PeerClient;
import org.wigeontally.rpc.PeerServerOptions;
import org.wigeontally.schema.generated.Address;
import org.wigeontally.schema.generated.EngineStatus;
import org.wigeontally.schema.generated.EntryNews;
import org.wigeontally.schema.generated.FleetGrpcClient;
import org.wigeontally.schema.generated.FleetGrpcService;
import org.wigeontally.schema.generated.FleetService;
import org.wigeontally.settings.Addresses;

/**
 * Stands in for another entry. It learns of the measured entry when that one contacts it,
 * exchanges news with the measured entry at the intervals of {@link EntryTable} and knows
 * what that entry knows, so that no records pass between them.
 */
final class PeerEntry {

	private static final long EXCHANGE_INTERVAL_MS = 500;

	private static final long RECENT_CONTACT_MS = 350;

	private static final long AGE_MS = 300;

	private static final long START_MS = System.currentTimeMillis();

	private final Vertx vertx;

	private final String name;

	private final String region;

	private final Address control;

	private final List<Address> fleet;

	private final PeerClient client;

	private final Traffic traffic;

	private final EntryTable table;

	private final DatagramSocket datagrams;

	private final long fleetDigest;

	private long sequence;

	private EntryNews measured = EntryNews.getDefaultInstance();

	private PeerEntry(Vertx vertx, String name, String region, Address control, List<Address> fleet, PeerClient client,
			Traffic traffic) {
		this.vertx = vertx;
		this.name = name;
		this.region = region;
		this.control = control;
		this.fleet = fleet;
		this.client = client;
		this.traffic = traffic;
		this.table = EntryTable.create(region);
		this.datagrams = vertx.createDatagramSocket();
		this.fleetDigest = fleet.stream().mapToLong((entry) -> RendezvousHash.of(Addresses.format(entry))).sum();
	}

	/**
	 * Starts a stand-in.
	 * @param vertx the Vert.x instance to run on, with one event loop
	 * @param name name of its host
	 * @param region its region
	 * @param control its control address
	 * @param fleet control addresses of all entries, the measured one last
	 * @param client calls the measured entry
	 * @param traffic counts the messages
	 * @return completes when it listens
	 */
	static Future<?> start(Vertx vertx, String name, String region, Address control, List<Address> fleet,
			PeerClient client, Traffic traffic) {
		PeerEntry peer = new PeerEntry(vertx, name, region, control, fleet, client, traffic);
		GrpcServer grpc = GrpcServer.server(vertx);
		grpc.addService(FleetGrpcService.of(peer.new Service()));
		peer.datagrams.handler(peer::recordHeartbeat);
		return peer.datagrams.listen(control.getPort(), control.getIp())
			.compose((bound) -> vertx.createHttpServer(PeerServerOptions.create())
				.requestHandler(grpc)
				.listen(control.getPort(), control.getIp()))
			.onSuccess((server) -> peer.scheduleFirstExchange());
	}

	// Processes start at different times, so their exchanges are spread over the
	// interval.
	private void scheduleFirstExchange() {
		this.vertx.setTimer(1 + ThreadLocalRandom.current().nextLong(EXCHANGE_INTERVAL_MS),
				(id) -> this.vertx.setPeriodic(0, EXCHANGE_INTERVAL_MS, (tick) -> exchangeIfDue()));
	}

	private static long nowMs() {
		return System.nanoTime() / 1_000_000;
	}

	private void exchangeIfDue() {
		EntryNews news = news().setSequence(++this.sequence).build();
		DueContacts due = this.table.dueContacts(news, RECENT_CONTACT_MS, true, nowMs());
		for (DueContacts.Receiver receiver : due.heartbeats()) {
			byte[] heartbeat = EngineStatus.newBuilder().setHeartbeat(news).build().toByteArray();
			count(receiver.control(), "heartbeat-in", heartbeat.length);
			this.datagrams.send(Buffer.buffer(heartbeat), receiver.port(), receiver.control().getIp());
		}
		for (Address address : due.calls()) {
			count(address, "exchange-in", news.getSerializedSize());
			this.client.call(address, FleetGrpcClient.Exchange, news, () -> false)
				.onSuccess((reply) -> count(address, "exchange-reply-out", reply.getSerializedSize()))
				.onSuccess(this::record)
				.onFailure((failure) -> this.table.recordFailure(address, nowMs()));
		}
	}

	// The entry that reads the store exchanges with the stand-ins too.
	private void count(Address other, String kind, long bytes) {
		if (other.equals(this.fleet.get(this.fleet.size() - 1))) {
			this.traffic.add(kind + (this.region.equals(this.measured.getRegion()) ? "-near" : "-remote"), bytes);
		}
	}

	private void recordHeartbeat(DatagramPacket packet) {
		try {
			EntryNews news = EngineStatus.parseFrom(packet.data().getBytes()).getHeartbeat();
			count(news.getControl(), "heartbeat-out", packet.data().length());
			if (this.table.recordHeartbeat(news, nowMs()) != EntryTable.HeartbeatResult.OVERTAKEN) {
				this.measured = news;
			}
		}
		catch (InvalidProtocolBufferException ex) {
			throw new IllegalStateException(ex);
		}
	}

	private void record(EntryNews news) {
		this.measured = news.toBuilder().clearOperatorUpdate().clearBackendUpdate().build();
		this.table.recordMessage(news, nowMs());
	}

	private EntryNews.Builder news() {
		return EntryNews.newBuilder()
			.setHost(this.name)
			.setFront(this.control)
			.setControl(this.control)
			.setZone("zone-a")
			.setRegion(this.region)
			.setIncarnation(START_MS)
			.setReady(true)
			.setOperatorEnd(this.measured.getOperatorEnd())
			.setBackendEnd(this.measured.getBackendEnd())
			.setConfigurationVersion(this.measured.getConfigurationVersion())
			.setOperatorAgeMs(AGE_MS)
			.setBackendAgeMs(AGE_MS)
			.setReadsContent(true)
			.setEntriesDigest(this.fleetDigest)
			.setFactsDigest(this.measured.getFactsDigest())
			.setHeartbeatPort(this.control.getPort());
	}

	/**
	 * Answers the measured entry.
	 */
	private final class Service extends FleetService {

		private EntryNews.Builder addEntries(EntryNews.Builder news) {
			PeerEntry.this.fleet.forEach((entry) -> news.addEntries(entry).addEntryHeartbeatPorts(entry.getPort()));
			return news;
		}

		@Override
		public Future<EntryNews> exchange(EntryNews request) {
			record(request);
			EntryNews.Builder news = news().setSequence(++PeerEntry.this.sequence);
			boolean known = request.getEntriesDigest() == PeerEntry.this.fleetDigest;
			EntryNews reply = (known ? news : addEntries(news)).build();
			count(request.getControl(), "exchange-out", request.getSerializedSize());
			count(request.getControl(), "exchange-reply-in", reply.getSerializedSize());
			return Future.succeededFuture(reply);
		}

	}

}
