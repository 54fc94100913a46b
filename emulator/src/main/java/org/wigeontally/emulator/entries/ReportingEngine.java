package org.wigeontally.emulator.entries;

import java.util.concurrent.ThreadLocalRandom;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.datagram.DatagramSocket;

import org.wigeontally.fleet.ReportSchedule;
import org.wigeontally.rpc.PeerClient;
import org.wigeontally.schema.generated.Address;
import org.wigeontally.schema.generated.EngineStatus;
import org.wigeontally.schema.generated.FleetGrpcClient;

/**
 * Stands in for an agent: sends the load of its engine to the measured entry at the
 * intervals of {@link ReportSchedule}, and asks it for a briefing in its turn among the
 * entries.
 */
final class ReportingEngine {

	/** As many calls as an agent makes, two every 400 ms, over all entries. */
	private static final double BRIEFINGS_PER_SECOND = 5;

	private static final double MS_PER_SECOND = 1_000;

	private static final int SLOTS = 12;

	private static final long START_MS = System.currentTimeMillis();

	private final Address agent;

	private final Address engine;

	private final String region;

	private long sequence;

	private long briefingDigest;

	ReportingEngine(Address agent, Address engine, String region) {
		this.agent = agent;
		this.engine = engine;
		this.region = region;
	}

	/**
	 * Starts the reports.
	 * @param vertx the Vert.x instance to run on
	 * @param socket sends datagrams
	 * @param client calls the entry
	 * @param target the measured entry
	 * @param port port of datagrams of the measured entry
	 * @param entries number of entries
	 * @param nearEntries number of entries of this agent's region
	 * @param nearby true if the measured entry is one of them
	 * @param traffic counts the messages
	 */
	void start(Vertx vertx, DatagramSocket socket, PeerClient client, Address target, int port, int entries,
			int nearEntries, boolean nearby, Traffic traffic) {
		long intervalMs = nearby ? Math.max(50, ReportSchedule.nearIntervalMs(nearEntries))
				: ReportSchedule.remoteIntervalMs(entries - nearEntries);
		vertx.setPeriodic(1 + ThreadLocalRandom.current().nextLong(intervalMs), intervalMs, (id) -> {
			EngineStatus status = status();
			traffic.add(nearby ? "report-near" : "report-remote", status.getSerializedSize());
			socket.send(Buffer.buffer(status.toByteArray()), port, target.getIp());
		});
		long briefingMs = (long) (entries * MS_PER_SECOND / BRIEFINGS_PER_SECOND);
		vertx.setPeriodic(1 + ThreadLocalRandom.current().nextLong(briefingMs), briefingMs, (id) -> {
			traffic.add("briefing", 0);
			client
				.call(target, FleetGrpcClient.Report,
						status().toBuilder().setBriefingDigest(this.briefingDigest).build(), () -> false)
				.onSuccess((briefing) -> this.briefingDigest = briefing.getDigest());
		});
	}

	private EngineStatus status() {
		return EngineStatus.newBuilder()
			.setAgent(this.agent)
			.setBackend(this.engine)
			.setZone("zone-a")
			.setRegion(this.region)
			.setSequence(++this.sequence)
			.setIncarnation(START_MS)
			.setLoadedVersion(1)
			.setWholeVersion(1)
			.setReachable(true)
			.setActive(ThreadLocalRandom.current().nextInt(SLOTS))
			.setPace(1)
			.build();
	}

}
