package org.wigeontally.settings;

import java.util.List;
import java.util.Random;

import com.google.protobuf.Message;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import org.wigeontally.errors.InputException;
import org.wigeontally.schema.generated.AgentSettings;
import org.wigeontally.schema.generated.Bundle;
import org.wigeontally.schema.generated.EntrySettings;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Mutates a valid document at random. The reader must accept each result or reject it
 * with findings that have a location, and must not throw any other exception. The test
 * was seen to fail with an injected fault: a validator that reads the first element of an
 * empty list.
 */
public class SettingsFuzzTests {

	private static final int DOCUMENTS = 4000;

	private static final String VALID_DOCUMENT = """
			host: entry-1
			region: west
			zone: west-a
			listen: 127.0.0.1:7000
			peers: [127.0.0.1:7001, {ip: "::1", port: 7002}]
			entries: [127.0.0.1:7001]
			platform: {log: 127.0.0.1:9000, host_list: 127.0.0.1:9001}
			drain_ms: 3000
			backends:
			  - {service: a, address: 127.0.0.1:8000, kind: model_engine, capacity: 4}
			operator_keys:
			  - {name: olive, public_key: 302a300506032b6570032100}
			name: b1
			confirming_hosts: [entry-1]
			services: [{name: a, kind: plain_service, owner: olive, at_most_once_paths: [/book]}]
			organisations:
			  - {name: resorts, weight: 2, approvals: [{service: a, owner: olive}]}
			""";

	private static final List<String> FRAGMENTS = List.of("[", "]", "{", "}", ":", "- ", "\n", "  ", "\t", "\"", "'",
			"&a ", "*a", "!!int ", "!x ", "---\n", "...\n", "%YAML 9\n", "|\n", ">\n", "#", "? ", "<<: ", "null", "~",
			"true", "-1", "4294967296", "99999999999999999999", "1e9", "NaN", "\u0000", "\ufeff", "\ud800", "é",
			"%s%n%d", "127.0.0.1:99999", "[::1]:1", "[[[[[[[[", "{{{{{{{{");

	@DataProvider
	public Object[][] seeds() {
		return new Object[][] { { 1L }, { 2L }, { 3L } };
	}

	@Test(dataProvider = "seeds", timeOut = 60_000)
	public void readerFailsOnlyWithLocatedFindings(long seed) {
		Random random = new Random(seed);
		int rejectedCount = 0;
		for (int i = 0; i < DOCUMENTS; i++) {
			String text = mutate(random);
			rejectedCount += isRejected(text, EntrySettings.newBuilder(), EntrySettingsValidator.create()) ? 1 : 0;
			rejectedCount += isRejected(text, AgentSettings.newBuilder(), AgentSettingsValidator.create()) ? 1 : 0;
			rejectedCount += isRejected(text, Bundle.newBuilder(), BundleFileValidator.create()) ? 1 : 0;
		}
		assertThat(rejectedCount).isPositive();
	}

	@Test(timeOut = 60_000)
	public void rejectsDeeplyNestedDocuments() {
		for (String open : List.of("[", "{a: ", "- ")) {
			String text = "host: " + (open.equals("- ") ? "\n" : "") + open.repeat(100_000);
			assertThat(isRejected(text, EntrySettings.newBuilder(), EntrySettingsValidator.create())).isTrue();
		}
	}

	private static <B extends Message.Builder> boolean isRejected(String text, B target,
			SettingsValidator<B> validator) {
		try {
			SettingsReader.read("fuzz.yaml", text, target, validator);
			return false;
		}
		catch (InputException ex) {
			assertThat(ex.findings()).isNotEmpty().allSatisfy((finding) -> {
				assertThat(finding.getPlace()).startsWith("fuzz.yaml");
				assertThat(finding.getMessage()).isNotEmpty();
			});
			return true;
		}
		catch (RuntimeException | StackOverflowError ex) {
			throw new AssertionError(
					"unexpected exception for document:\n" + text.substring(0, Math.min(text.length(), 2000)), ex);
		}
	}

	private static String mutate(Random random) {
		StringBuilder text = new StringBuilder(VALID_DOCUMENT);
		int mutations = 1 + random.nextInt(8);
		for (int i = 0; i < mutations; i++) {
			int start = random.nextInt(text.length());
			int end = Math.min(text.length(), start + random.nextInt(12));
			switch (random.nextInt(4)) {
				case 0 -> text.insert(start, FRAGMENTS.get(random.nextInt(FRAGMENTS.size())));
				case 1 -> text.delete(start, end);
				case 2 -> text.replace(start, end, FRAGMENTS.get(random.nextInt(FRAGMENTS.size())));
				default -> text.insert(random.nextInt(text.length()), text.substring(start, end));
			}
			if (text.isEmpty()) {
				return "";
			}
		}
		return text.toString();
	}

}
