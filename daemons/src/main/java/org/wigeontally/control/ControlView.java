package org.wigeontally.control;

import java.util.List;

import org.wigeontally.configuration.Configuration;
import org.wigeontally.schema.generated.HostIdentity;
import org.wigeontally.schema.generated.HostState;

/**
 * Read-only view of the control plane for the threads that handle requests. Every method
 * may be called from any thread. The configuration and the hosts are immutable snapshots;
 * {@link #isServing()} and {@link #leaseAgeMs()} are evaluated at the time of the call.
 */
public interface ControlView {

	/**
	 * Returns the newest configuration that this process holds.
	 * @return the configuration
	 */
	Configuration configuration();

	/**
	 * Returns whether this process may start new work now.
	 * @return true if its serving lease is valid and it is not leaving
	 */
	boolean isServing();

	/**
	 * Returns the time since the serving lease was last renewed.
	 * @return milliseconds; negative if there was no lease yet
	 */
	long leaseAgeMs();

	/**
	 * Returns the known hosts.
	 * @return an immutable list of their states
	 */
	List<HostState> hosts();

	/**
	 * Returns the identity of this process.
	 * @return the identity; its incarnation is 0 until the join is read from the log
	 */
	HostIdentity self();

}
