package org.wigeontally.emulator.spreading;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import org.wigeontally.emulator.traffic.VirtualTime;
import org.wigeontally.fleet.VersionSchedule;
import org.wigeontally.weights.FetchAssignment;
import org.wigeontally.weights.HostLocation;

/**
 * Hosts in virtual time that spread one or two versions with the real decisions about
 * what to fetch, from where, and when to send.
 *
 * <p>
 * A host learns of a version 50 to 350 ms after its announcement. A call takes 1 ms
 * within a region and 15 ms between regions, and up to 6 ms more on a busy machine. Live
 * requests and reports take a tenth of each link into and out of a host. A host that dies
 * stays in the table for 1.5 s. Used by one thread.
 */
public final class SpreadSimulation {

	private static final int REGIONS = 3;

	private static final int ZONES_PER_REGION = 2;

	private static final double FIRST_LEARNS_MS = 50;

	private static final double LEARNING_SPREAD_MS = 300;

	private static final double REGION_CALL_MS = 1;

	private static final double CROSS_REGION_CALL_MS = 15;

	private static final double BUSY_MS = 6;

	private static final double LIVE_INTERVAL_MS = 20;

	private static final double LIVE_SHARE_IN = 0.1;

	private static final double LIVE_SHARE_OUT = 0.1;

	private static final double SUSPECT_MS = 1_500;

	private static final double END_MS = 30_000;

	private static final double ADDED_AFTER_MS = 1_000;

	private static final double DEATHS_WITHIN_MS = 2_000;

	private static final int KILLED_DIVISOR = 10;

	private static final int ADDED_DIVISOR = 4;

	private static final double CORRUPT_SHARE = 0.01;

	private static final int CONFIGURATION_BYTES = 125_000;

	private static final int BORDER_CONFIGURATION_BYTES = 1_000_000;

	final VirtualTime time = VirtualTime.create();

	final Random random;

	final SpreadSetting setting;

	final SpreadNetwork network;

	private final Map<String, SpreadHost> hosts = new LinkedHashMap<>();

	private final Map<String, HostLocation> table = new LinkedHashMap<>();

	private final Map<String, HostLocation> locations = new HashMap<>();

	private final long[] originBytes = new long[2];

	private final Map<String, Long> borderBytes = new LinkedHashMap<>();

	private SpreadSimulation(SpreadSetting setting, long seed) {
		this.setting = setting;
		this.random = new Random(seed);
		this.network = new SpreadNetwork(this.time, setting.links());
	}

	/**
	 * Plays a setting.
	 * @param setting the setting
	 * @param seed seed of all choices
	 * @return what happened
	 */
	public static SpreadResult run(SpreadSetting setting, long seed) {
		return new SpreadSimulation(setting, seed).run();
	}

	private SpreadResult run() {
		for (int host = 0; host < this.setting.hosts(); host++) {
			add(host);
		}
		List<SpreadHost> first = List.copyOf(this.hosts.values());
		for (int version = 0; version <= newest(); version++) {
			int announced = version;
			for (SpreadHost host : first) {
				double learnsMs = FIRST_LEARNS_MS + LEARNING_SPREAD_MS * this.random.nextDouble();
				this.time.after(announcedMs(announced) + learnsMs, () -> host.learn(announced));
			}
		}
		disrupt();
		this.time.runUntil(END_MS);
		List<SpreadHost> surviving = first.stream().filter((host) -> isAlive(host.location)).toList();
		long border = Collections.max(this.borderBytes.values());
		double versionBytes = (double) this.setting.chunks() * this.setting.chunkBytes();
		return new SpreadResult(wholeTimes(surviving, newest()), wholeTimes(surviving, 0), shareInTime(surviving, 0),
				shareInTime(surviving, newest()), this.originBytes[newest()] / versionBytes, border / versionBytes,
				this.network.liveDelayMs());
	}

	private List<Double> wholeTimes(Collection<SpreadHost> surviving, int version) {
		return surviving.stream()
			.map((host) -> host.wholeMs(version) - announcedMs(version))
			.filter(Double::isFinite)
			.sorted()
			.toList();
	}

	private double announcedMs(int version) {
		return (double) version * this.setting.gapMs();
	}

	// Returns when engines may load the version or a newer one at once.
	double loadDeadlineMs(int version) {
		return announcedMs(version) + VersionSchedule.of(this.setting.boundMs()).loadDeadlineMs();
	}

	private double shareInTime(Collection<SpreadHost> surviving, int version) {
		return (double) surviving.stream()
			.filter((host) -> Math.min(host.wholeMs(version), host.wholeMs(newest())) <= loadDeadlineMs(version))
			.count() / surviving.size();
	}

	private int newest() {
		return (this.setting.gapMs() > 0) ? 1 : 0;
	}

	private SpreadHost add(int index) {
		int zone = index % (REGIONS * ZONES_PER_REGION);
		HostLocation location = new HostLocation("h" + index, "r" + zone % REGIONS, "z" + zone);
		SpreadHost host = new SpreadHost(this, location);
		this.hosts.put(location.host(), host);
		this.table.put(location.host(), location);
		this.locations.put(location.host(), location);
		carryLive(host);
		return host;
	}

	private void carryLive(SpreadHost host) {
		double bytes = this.setting.links().hostKbps() / 8 * LIVE_INTERVAL_MS;
		this.network.passLive(host.location, (int) (bytes * LIVE_SHARE_IN), (int) (bytes * LIVE_SHARE_OUT));
		this.time.after(LIVE_INTERVAL_MS, () -> carryLive(host));
	}

	private void disrupt() {
		double announcedMs = announcedMs(newest());
		int hostCount = this.setting.hosts();
		switch (this.setting.disruption()) {
			case ADDED -> this.time.after(announcedMs + ADDED_AFTER_MS, () -> {
				for (int index = hostCount; index < hostCount + hostCount / ADDED_DIVISOR; index++) {
					add(index).learn(newest());
				}
			});
			case KILLED -> {
				List<String> names = new ArrayList<>(this.hosts.keySet());
				Collections.shuffle(names, this.random);
				names.subList(0, hostCount / KILLED_DIVISOR)
					.forEach((host) -> this.time.after(announcedMs + DEATHS_WITHIN_MS * this.random.nextDouble(),
							() -> kill(host)));
			}
			case CONFIGURATION -> this.time.after(announcedMs + ADDED_AFTER_MS, this::sendConfiguration);
			default -> {
			}
		}
	}

	private void kill(String host) {
		this.hosts.remove(host);
		this.time.after(SUSPECT_MS, () -> this.table.remove(host));
	}

	private void sendConfiguration() {
		for (int from = 0; from < REGIONS; from++) {
			for (int to = 0; to < REGIONS; to++) {
				this.network.passBorder("r" + from, "r" + to, BORDER_CONFIGURATION_BYTES);
			}
		}
		this.hosts.values().forEach((host) -> this.network.passLive(host.location, CONFIGURATION_BYTES, 0));
	}

	void call(HostLocation from, HostLocation to, Runnable action) {
		boolean near = to == null || from.region().equals(to.region());
		double callMs = (near ? REGION_CALL_MS : CROSS_REGION_CALL_MS) + BUSY_MS * this.random.nextDouble();
		this.time.after(callMs, action);
	}

	boolean isCorrupted() {
		return this.setting.disruption() == SpreadSetting.Disruption.CORRUPT
				&& this.random.nextDouble() < CORRUPT_SHARE;
	}

	boolean isAlive(HostLocation location) {
		return this.hosts.containsKey(location.host());
	}

	SpreadHost host(String name) {
		return this.hosts.get(name);
	}

	// Returns the location of a host, also after its death.
	HostLocation location(String name) {
		return this.locations.get(name);
	}

	Map<String, HostLocation> table() {
		return this.table;
	}

	FetchAssignment assignment(int version) {
		return FetchAssignment.of("manifest " + version, this.table.values(), "r0", true);
	}

	boolean isHeldInRegion(HostLocation own, int version) {
		return this.hosts.values()
			.stream()
			.anyMatch((host) -> host.location != own && host.location.region().equals(own.region())
					&& Double.isFinite(host.wholeMs(version)));
	}

	void count(HostLocation from, HostLocation to, int version) {
		if (from == null) {
			this.originBytes[version] += this.setting.chunkBytes();
		}
		else if (!from.region().equals(to.region()) && version == newest()) {
			this.borderBytes.merge(to.region(), (long) this.setting.chunkBytes(), Long::sum);
		}
	}

}
