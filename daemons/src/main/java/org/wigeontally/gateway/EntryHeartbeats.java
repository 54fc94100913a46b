package org.wigeontally.gateway;

import java.util.List;
import java.util.Optional;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.datagram.DatagramSocket;

import org.wigeontally.fleet.EntryTable;
import org.wigeontally.schema.generated.EngineStatus;
import org.wigeontally.schema.generated.EntryNews;

/**
 * Sends and receives heartbeats between entries. They come to the same port as the
 * reports of agents. Runs on the event loop.
 */
final class EntryHeartbeats {

	private final GatewayContext context;

	private final EntryTable table;

	private final DatagramSocket datagrams;

	EntryHeartbeats(GatewayContext context, EntryTable table, DatagramSocket datagrams) {
		this.context = context;
		this.table = table;
		this.datagrams = datagrams;
	}

	/**
	 * Sends a heartbeat.
	 * @param own state of this entry, without lists
	 * @param receivers last messages of the entries that it is for
	 */
	void send(EntryNews own, List<EntryNews> receivers) {
		if (receivers.isEmpty()) {
			return;
		}
		Buffer heartbeat = Buffer.buffer(EngineStatus.newBuilder().setHeartbeat(own).build().toByteArray());
		for (EntryNews receiver : receivers) {
			this.datagrams.send(heartbeat, receiver.getHeartbeatPort(), receiver.getControl().getIp());
		}
	}

	/**
	 * Records a heartbeat.
	 * @param heartbeat state of the sender
	 * @return the state if it is new; empty if the entry is not known yet or the
	 * heartbeat was overtaken by a later message
	 */
	Optional<EntryNews> receive(EntryNews heartbeat) {
		if (!this.table.recordHeartbeat(heartbeat, this.context.nowMs())) {
			return Optional.empty();
		}
		// Housekeeping compares versions too, but rarely; other state has no part in it.
		if (heartbeat.getConfigurationVersion() != this.context.fleet().configurationVersion()) {
			this.context.updateConfigurationLag(this.table.liveEntries(this.context.nowMs()));
		}
		return Optional.of(heartbeat);
	}

}
