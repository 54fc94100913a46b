package org.wigeontally.control;

import java.util.List;

import org.wigeontally.configuration.Configuration;
import org.wigeontally.schema.generated.HostIdentity;
import org.wigeontally.schema.generated.HostState;

/**
 * What traffic may see of control. Every method may be called from any thread and answers
 * from immutable state; {@link #isServing()} is judged at the call.
 */
public interface ControlView {

	/**
	 * Returns the configuration held.
	 * @return the newest configuration
	 */
	Configuration configuration();

	/**
	 * Tells whether this process may start new work now.
	 * @return true if its confirmation has not lapsed and it is not leaving
	 */
	boolean isServing();

	/**
	 * Returns how old the confirmation is.
	 * @return milliseconds; negative if there was none yet
	 */
	long leaseAgeMs();

	/**
	 * Returns the hosts known.
	 * @return an immutable list
	 */
	List<HostState> hosts();

	/**
	 * Returns who this process is.
	 * @return its identity
	 */
	HostIdentity self();

}
