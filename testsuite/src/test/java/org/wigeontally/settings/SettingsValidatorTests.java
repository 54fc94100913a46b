package org.wigeontally.settings;

import java.util.List;

import com.google.protobuf.Message;
import org.testng.annotations.Test;

import org.wigeontally.errors.InputException;
import org.wigeontally.schema.generated.AgentSettings;
import org.wigeontally.schema.generated.Bundle;
import org.wigeontally.schema.generated.EntrySettings;
import org.wigeontally.schema.generated.OperatorSettings;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

public class SettingsValidatorTests {

	private static final String PUBLIC_KEY = "302a300506032b6570032100" + "5817c3dcca11b4996a6424c50397d050"
			+ "ee4dbb65785b9c778c2db2b9db6319e7";

	private static final String DIGEST = "00".repeat(32);

	@Test
	public void acceptsFullEntrySettingsAndAppliesDefaults() throws InputException {
		EntrySettings.Builder settings = EntrySettings.newBuilder();
		SettingsReader.read("f", """
				host: entry-1
				region: west
				zone: west-a
				listen: 127.0.0.1:7000
				peers: [127.0.0.1:7001]
				platform: {log: 127.0.0.1:9000, host_list: 127.0.0.1:9001}
				operator_keys:
				  - {name: olive, public_key: %s}
				""".formatted(PUBLIC_KEY), settings, EntrySettingsValidator.create());
		SettingsDefaults.apply(settings);
		assertThat(settings.getDrainMs()).isEqualTo(SettingsDefaults.DRAIN_MS);
		assertThat(settings.getBodyLimitBytes()).isEqualTo(SettingsDefaults.BODY_LIMIT_BYTES);
	}

	@Test
	public void reportsAllFaultsInEntrySettings() {
		List<String> findings = findings("""
				host: ""
				zone: west-a
				listen: {ip: localhost, port: 0}
				peers: [127.0.0.1:7001, 127.0.0.1:7001]
				platform: {log: 127.0.0.1:9000}
				drain_ms: 0
				operator_keys:
				  - {name: olive, public_key: 12zz}
				  - {name: olive, public_key: %s}
				""".formatted(PUBLIC_KEY), EntrySettings.newBuilder(), EntrySettingsValidator.create());
		assertThat(findings).containsExactly("f:1:7 4", "f 4", "f:3:9 8", "f:4:25 10", "f:5:11 4", "f:6:11 5",
				"f:8:31 9", "f:9:12 10");
	}

	@Test
	public void reportsAllFaultsInAgentSettings() {
		List<String> findings = findings("""
				host: agent-1
				region: west
				zone: west-a
				listen: 127.0.0.1:7000
				entries: []
				platform: {log: 127.0.0.1:9000, host_list: 127.0.0.1:9001}
				backends:
				  - {service: a, address: 127.0.0.1:8000, kind: model_engine, capacity: 4, cold_capacity: 5}
				  - {service: "", address: 127.0.0.1:8000, capacity: many}
				""", AgentSettings.newBuilder(), AgentSettingsValidator.create());
		assertThat(findings).containsExactly("f:9:54 3", "f:5:10 4", "f:8:91 5", "f:9:15 4", "f:9:5 4", "f:9:28 10");
	}

	@Test
	public void requiresOperatorKeyOnlyForSigningCommands() throws InputException {
		String text = "entries: [127.0.0.1:7000]\n";
		SettingsReader.read("f", text, OperatorSettings.newBuilder(), OperatorSettingsValidator.create(false));
		assertThat(findings(text, OperatorSettings.newBuilder(), OperatorSettingsValidator.create(true)))
			.containsExactly("f 4", "f 4");
	}

	@Test
	public void reportsBundleFaultsWithTheirLocations() {
		List<String> findings = findings("""
				name: b1
				confirming_hosts: [entry-1, entry-1]
				models:
				  - {name: assist, version: v1, manifest: %s}
				  - {name: assist, version: v2, manifest: 00}
				services:
				  - {name: assist-llm, kind: model_engine, model: other, owner: olive}
				organisations:
				  - name: resorts
				    credential: %s
				    approvals: [{service: gone, owner: olive, signature: 00}]
				""".formatted(DIGEST, DIGEST), Bundle.newBuilder(), BundleFileValidator.create());
		assertThat(findings).containsExactly("f:5:43 9", "f:11:58 9", "f:2:29 106", "f:5:12 106", "f:7:51 107",
				"f:11:17 107");
	}

	private static <B extends Message.Builder> List<String> findings(String text, B target,
			SettingsValidator<B> validator) {
		InputException exception = catchThrowableOfType(InputException.class,
				() -> SettingsReader.read("f", text, target, validator));
		return exception.findings().stream().map((finding) -> finding.getPlace() + " " + finding.getNumber()).toList();
	}

}
