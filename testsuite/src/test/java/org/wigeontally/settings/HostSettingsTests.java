package org.wigeontally.settings;

import org.testng.annotations.Test;

import org.wigeontally.errors.InputException;
import org.wigeontally.schema.generated.HostSettings;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/**
 * Tests the settings of processes that the platform starts, in the form rendered from
 * {@code deploy/settings.yaml.tmpl}.
 */
public class HostSettingsTests {

	private static final String ENTRY = """
			host: "edge-lautoka-a-1"
			zone: "lautoka-a"
			region: "viti-west"
			ip: "10.1.0.40"
			zones:
			  - {zone: "lautoka-a", region: "viti-west"}
			  - {zone: "suva-a", region: "viti-east"}
			front: "10.1.0.40:8005"
			ready: "10.1.0.40:8002"
			control: "10.1.0.40:8000"
			directory: "10.1.0.40:8009"
			internal_port: 7700
			metrics_port: 7715
			seeds: ["10.1.0.40:8000","10.2.0.37:8000"]
			store: "10.200.1.7:8007"
			link_mbps: 5.109999999999999
			bounds:
			  grace_s: 8
			  retry_ratio: 0.2
			""";

	@Test
	public void acceptsRenderedSettings() throws Exception {
		HostSettings settings = read(ENTRY, true);
		assertThat(settings.getSeedsCount()).isEqualTo(2);
		assertThat(settings.getZones(1).getRegion()).isEqualTo("viti-east");
		assertThat(settings.getBounds().getRetryRatio()).isEqualTo(0.2);
	}

	@Test
	public void reportsEveryFaultWithItsLocation() {
		String faulty = ENTRY.replace("front: \"10.1.0.40:8005\"\n", "")
			.replace("7715", "many")
			.replace("10.200.1.7:8007", "store.example:80")
			.replace("grace_s", "grace");
		assertThatThrownBy(() -> read(faulty, true)).isInstanceOf(InputException.class)
			.hasMessageContaining("\"front\" is missing")
			.hasMessageContaining("host.yaml:12:")
			.hasMessageContaining("\"store.example:80\" is not an IP number and port")
			.hasMessageContaining("unknown key \"grace\"");
	}

	@Test
	public void agentRequiresBackendAddress() {
		assertThatThrownBy(() -> read(ENTRY, false)).hasMessageContaining("\"backend\" is missing");
	}

	private static HostSettings read(String text, boolean entryHost) throws InputException {
		return SettingsReader
			.read("host.yaml", text, HostSettings.newBuilder(), HostSettingsValidator.create(entryHost))
			.build();
	}

}
