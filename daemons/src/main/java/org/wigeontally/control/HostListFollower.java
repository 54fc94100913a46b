package org.wigeontally.control;

import io.vertx.core.Vertx;

import org.wigeontally.misc.Closer;
import org.wigeontally.platform.HttpHostList;
import org.wigeontally.platform.ListedHost;
import org.wigeontally.schema.generated.Address;

/**
 * Periodically reads the platform's list of hosts and adds its entry hosts to the control
 * node as exchange peers, so that a process whose settings name only replaced hosts still
 * finds the others. The list may be out of date, so a host missing from it is not
 * removed.
 */
public final class HostListFollower implements AutoCloseable {

	private static final long READ_INTERVAL_MS = 5000;

	private final ControlNode control;

	private final HttpHostList list;

	private final Closer closer = Closer.create();

	private HostListFollower(ControlNode control, HttpHostList list) {
		this.control = control;
		this.list = list;
	}

	/**
	 * Starts to read the list periodically.
	 * @param vertx the Vert.x instance to run on
	 * @param address address of the server of the list
	 * @param control the control node to which the hosts are added
	 * @return the running follower
	 */
	public static HostListFollower start(Vertx vertx, Address address, ControlNode control) {
		HttpHostList list = HttpHostList.create(vertx, address);
		HostListFollower follower = new HostListFollower(control, list);
		long timer = vertx.setPeriodic(1, READ_INTERVAL_MS, (id) -> follower.read());
		follower.closer.add(list);
		follower.closer.add(() -> vertx.cancelTimer(timer));
		return follower;
	}

	private void read() {
		this.list.read()
			.onSuccess((hosts) -> this.control.addEntryAddresses(hosts.stream()
				.filter((host) -> host.isEntryHost() && !host.leaving())
				.map(ListedHost::address)
				.toList()));
	}

	@Override
	public void close() throws Exception {
		this.closer.close();
	}

}
