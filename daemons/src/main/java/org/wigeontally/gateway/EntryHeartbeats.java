package org.wigeontally.gateway;

import java.util.List;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.datagram.DatagramSocket;

import org.wigeontally.eventlog.LogEvent;
import org.wigeontally.fleet.DueContacts;
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
	 * @param receivers the entries that it is for
	 */
	void send(EntryNews own, List<DueContacts.Receiver> receivers) {
		if (receivers.isEmpty()) {
			return;
		}
		Buffer heartbeat = Buffer.buffer(EngineStatus.newBuilder().setHeartbeat(own).build().toByteArray());
		for (DueContacts.Receiver receiver : receivers) {
			this.datagrams.send(heartbeat, receiver.port(), receiver.control().getIp());
		}
	}

	/**
	 * Records a heartbeat.
	 * @param heartbeat state of the sender
	 * @return true if the state is new; false if the heartbeat was overtaken by a later
	 * message
	 */
	boolean receive(EntryNews heartbeat) {
		EntryTable.HeartbeatResult result = this.table.recordHeartbeat(heartbeat, this.context.nowMs());
		if (result == EntryTable.HeartbeatResult.OVERTAKEN) {
			return false;
		}
		if (result == EntryTable.HeartbeatResult.REGAINED) {
			logRegained(this.context, heartbeat);
		}
		// Housekeeping compares versions too, but rarely; other state has no part in it.
		if (heartbeat.getConfigurationVersion() != this.context.fleet().configurationVersion()) {
			this.context.updateConfigurationLag(this.table.liveEntries(this.context.nowMs()));
		}
		return true;
	}

	static void logRegained(GatewayContext context, EntryNews news) {
		context.log()
			.write(LogEvent.PEER, "entry", news.getHost(), "zone", news.getZone(), "ready", news.getReady(),
					"incarnation", news.getIncarnation());
	}

}
