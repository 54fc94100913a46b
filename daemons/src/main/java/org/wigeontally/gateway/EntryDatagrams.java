package org.wigeontally.gateway;

import com.google.protobuf.InvalidProtocolBufferException;
import io.vertx.core.datagram.DatagramPacket;

import org.wigeontally.eventlog.EventLog;
import org.wigeontally.eventlog.LogEvent;
import org.wigeontally.schema.generated.EngineStatus;

/**
 * Handles the datagrams to an entry: reports of agents and heartbeats of other entries.
 * Runs on the event loop.
 */
final class EntryDatagrams {

	private final AgentBriefings briefings;

	private final EntryExchange exchange;

	private final EventLog log;

	EntryDatagrams(AgentBriefings briefings, EntryExchange exchange, EventLog log) {
		this.briefings = briefings;
		this.exchange = exchange;
		this.log = log;
	}

	void handle(DatagramPacket packet) {
		try {
			EngineStatus status = EngineStatus.parseFrom(packet.data().getBytes());
			if (status.hasHeartbeat()) {
				this.exchange.handleHeartbeat(status.getHeartbeat());
			}
			else {
				this.briefings.recordReport(status);
			}
		}
		catch (InvalidProtocolBufferException ex) {
			this.log.write(LogEvent.FAULT, "datagram-from", packet.sender(), "reason", ex.getMessage());
		}
	}

}
