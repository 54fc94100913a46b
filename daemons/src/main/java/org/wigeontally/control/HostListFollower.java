package org.wigeontally.control;

import io.vertx.core.Vertx;

import org.wigeontally.misc.Closer;
import org.wigeontally.platform.HttpHostList;
import org.wigeontally.platform.ListedHost;
import org.wigeontally.schema.generated.Address;

/**
 * Reads the platform's list of hosts now and then and tells control of entry hosts that
 * it shows, so that a process whose settings name only hosts that were replaced still
 * finds the others. The list lags, so nothing is taken away because of it.
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
	 * Starts to read.
	 * @param vertx the Vert.x instance to run on
	 * @param address address of the list
	 * @param control the control that is told
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
