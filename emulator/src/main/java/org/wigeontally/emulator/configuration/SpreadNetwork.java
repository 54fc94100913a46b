package org.wigeontally.emulator.configuration;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import org.wigeontally.emulator.traffic.VirtualTime;
import org.wigeontally.schema.generated.Address;

/**
 * The entries, their links, and those between regions. Used by one thread.
 */
final class SpreadNetwork {

	private static final double MIN_BORDER_MBIT = 14;

	private static final double BORDER_SPREAD_MBIT = 9;

	/** Part of a border that requests and weights take. */
	private static final double MAX_OTHER_TRAFFIC = 0.4;

	private static final double MIN_OWN_MBIT = 28;

	private static final double OWN_SPREAD_MBIT = 112;

	private static final double STORE_MBIT = 140;

	private static final double BORDER_DELAY_MS = 15;

	private static final double OWN_DELAY_MS = 0.3;

	/** Entries from which on each knows only some of the other regions. */
	private static final int MAX_FULL_MESH = 64;

	private static final int REMOTE_CONTACTS = 6;

	private static final int PORT = 1_000;

	private final VirtualTime time = VirtualTime.create();

	private final Random random;

	private final SpreadSetting setting;

	private final SpreadPolicy policy;

	private final SimulatedStore store;

	private final Link storeLink = new Link(STORE_MBIT, OWN_DELAY_MS);

	private final Link[][] borders;

	private final List<SimulatedEntry> entries = new ArrayList<>();

	private final Map<Address, SimulatedEntry> byAddress = new HashMap<>();

	SpreadNetwork(SpreadSetting setting, SpreadPolicy policy, long seed) {
		this.random = new Random(seed);
		this.setting = setting;
		this.policy = policy;
		this.store = new SimulatedStore(this.time, setting.recordBytes());
		this.borders = new Link[setting.regions()][setting.regions()];
		for (Link[] row : this.borders) {
			for (int to = 0; to < row.length; to++) {
				double mbit = MIN_BORDER_MBIT + BORDER_SPREAD_MBIT * this.random.nextDouble();
				row[to] = new Link(mbit * (1 - MAX_OTHER_TRAFFIC * this.random.nextDouble()), BORDER_DELAY_MS);
			}
		}
		for (int i = 0; i < setting.entries(); i++) {
			double mbit = MIN_OWN_MBIT + OWN_SPREAD_MBIT * this.random.nextDouble();
			Address address = Address.newBuilder().setIp("10.0.0.1").setPort(PORT + i).build();
			SimulatedEntry entry = new SimulatedEntry(this, address, i % setting.regions(),
					new Link(mbit, OWN_DELAY_MS), new Link(mbit, OWN_DELAY_MS));
			this.entries.add(entry);
			this.byAddress.put(address, entry);
		}
	}

	VirtualTime time() {
		return this.time;
	}

	Random random() {
		return this.random;
	}

	SpreadSetting setting() {
		return this.setting;
	}

	SpreadPolicy policy() {
		return this.policy;
	}

	SimulatedStore store() {
		return this.store;
	}

	List<SimulatedEntry> entries() {
		return this.entries;
	}

	SimulatedEntry entry(Address address) {
		return this.byAddress.get(address);
	}

	/**
	 * Returns the entries that an entry exchanges messages with.
	 * @param entry the entry
	 * @return those of its region, and all or some of the others
	 */
	List<SimulatedEntry> contacts(SimulatedEntry entry) {
		List<SimulatedEntry> contacts = new ArrayList<>();
		List<SimulatedEntry> remote = new ArrayList<>();
		for (SimulatedEntry other : this.entries) {
			if (other.region() != entry.region()) {
				remote.add(other);
			}
			else if (other != entry) {
				contacts.add(other);
			}
		}
		if (this.entries.size() <= MAX_FULL_MESH) {
			contacts.addAll(remote);
			return contacts;
		}
		for (int i = 0; i < REMOTE_CONTACTS; i++) {
			contacts.add(remote.get(this.random.nextInt(remote.size())));
		}
		return contacts;
	}

	List<Link> path(SimulatedEntry from, SimulatedEntry to) {
		if (from.region() == to.region()) {
			return List.of(from.up(), to.down());
		}
		return List.of(from.up(), this.borders[from.region()][to.region()], to.down());
	}

	List<Link> pathFromStore(SimulatedEntry to) {
		if (to.region() == 0) {
			return List.of(this.storeLink, to.down());
		}
		return List.of(this.storeLink, this.borders[0][to.region()], to.down());
	}

	List<Link> pathToStore(SimulatedEntry from) {
		if (from.region() == 0) {
			return List.of(from.up());
		}
		return List.of(from.up(), this.borders[from.region()][0]);
	}

	/**
	 * Sends a short message.
	 * @param path the links in their order
	 * @param arrived runs when it has arrived
	 */
	void send(List<Link> path, Runnable arrived) {
		double arrivalMs = this.time.nowMs();
		for (Link link : path) {
			arrivalMs = link.messageArrivalMs(arrivalMs);
		}
		this.time.after(arrivalMs - this.time.nowMs(), arrived);
	}

	/**
	 * Returns the bytes of records that entered a region.
	 * @param region the region
	 * @return number of bytes
	 */
	long bytesInto(int region) {
		long bytes = 0;
		for (int from = 0; from < this.borders.length; from++) {
			if (from != region) {
				bytes += this.borders[from][region].recordBytes();
			}
		}
		return bytes;
	}

}
