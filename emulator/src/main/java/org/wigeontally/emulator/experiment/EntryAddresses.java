package org.wigeontally.emulator.experiment;

import java.io.IOException;
import java.util.List;

import org.wigeontally.schema.generated.Address;
import org.wigeontally.settings.Addresses;

/**
 * Addresses of an entry on the loopback interface.
 *
 * @param front where it accepts callers
 * @param ready where it answers readiness checks
 * @param control where other entries and agents call it
 * @param directory where it serves the directory
 * @param internalPort port of datagrams
 * @param metricsPort port of the metrics
 */
public record EntryAddresses(Address front, Address ready, Address control, Address directory, int internalPort,
		int metricsPort) {

	/**
	 * Chooses free addresses.
	 * @return the addresses
	 * @throws IOException if there are none
	 */
	public static EntryAddresses free() throws IOException {
		return new EntryAddresses(Ports.free(), Ports.free(), Ports.free(), Ports.free(), Ports.free().getPort(),
				Ports.free().getPort());
	}

	/**
	 * Returns the content of a settings file for an entry process.
	 * @param name name of the host
	 * @param seeds control addresses of other entries
	 * @param storePort port of the store
	 * @return the settings as YAML
	 */
	public String settings(String name, List<Address> seeds, int storePort) {
		List<String> quotedSeeds = seeds.stream().map((seed) -> "\"" + Addresses.format(seed) + "\"").toList();
		return """
				host: "%s"
				zone: "zone-a"
				region: "region-a"
				ip: "127.0.0.1"
				zones:
				- {zone: "zone-a", region: "region-a"}
				- {zone: "zone-b", region: "region-a"}
				front: "%s"
				ready: "%s"
				control: "%s"
				directory: "%s"
				internal_port: %d
				metrics_port: %d
				seeds: [%s]
				store: "127.0.0.1:%d"
				bounds:
				  grace_s: 8
				  retry_ratio: 0.2
				  retry_window_s: 10
				  retry_slack: 104
				  cold_factor: 1.5
				  cold_slack: 5
				  version_ms: 8000
				  directory_ttl_s: 5
				  relay_ms: 120
				  configuration_ms: 2000
				""".formatted(name, Addresses.format(this.front), Addresses.format(this.ready),
				Addresses.format(this.control), Addresses.format(this.directory), this.internalPort, this.metricsPort,
				String.join(", ", quotedSeeds), storePort);
	}

}
