package org.wigeontally.fleet;

import java.util.List;

import org.wigeontally.schema.generated.Address;

/**
 * The entries to contact in one round.
 *
 * @param calls control addresses of the entries to call
 * @param heartbeats entries that get a heartbeat
 */
public record DueContacts(List<Address> calls, List<Receiver> heartbeats) {

	/**
	 * Where an entry takes heartbeats.
	 *
	 * @param control its control address
	 * @param port its port for heartbeats
	 */
	public record Receiver(Address control, int port) {

	}

}
