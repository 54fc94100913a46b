package org.wigeontally.tool;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import io.vertx.core.json.JsonObject;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Runs the check of a configuration on files in the platform's format.
 */
public class CheckConfigurationTests {

	/**
	 * A configuration without findings. YAML does not permit the tab, and the origin is
	 * no service.
	 */
	private static final String SOUND = """
			\t{"version": 7, "routes": [
			{"name": "r1", "host": "a.example", "path-prefix": "/x/", "kind": "streaming", "timeout-ms": 6000,
			"max-attempts": 2, "resume-streams": true, "service": "s1", "allowed-regions": ["west"]},
			{"name": "r2", "host": "a.example", "path-prefix": "/y/", "kind": "idempotent", "target-latency-ms": 900,
			"weighted-split": [{"service": "s1", "weight": 0}, {"service": "s2", "weight": 10}]}],
			"services": [
			{"name": "o", "origin": "172.20.0.3:8006"},
			{"name": "s1", "engine": {"slots": 16, "kv-capacity-tokens": 9, "step_ms": 9, "read_per_s": 9}},
			{"name": "s2"}],
			"limits": {"max-body-bytes": 4096},
			"tenants": [
			{"name": "t1", "api-keys": ["secret-1"], "allowed-regions": []},
			{"name": "t2", "api-keys": ["secret-2"], "allowed-regions": ["west", "east"]}]}""";

	private Path file;

	private Path inForceFile;

	private String out;

	@BeforeMethod
	public void createFiles() throws IOException {
		this.file = Files.createTempFile("configuration", ".json");
		this.inForceFile = Files.createTempFile("in-force", ".json");
	}

	@AfterMethod(alwaysRun = true)
	public void deleteFiles() throws IOException {
		Files.delete(this.file);
		Files.delete(this.inForceFile);
	}

	/**
	 * Text to replace in the sound configuration, its replacement, and the findings
	 * (severity, number, line and column) that must be the only ones.
	 */
	@DataProvider
	Object[][] faults() {
		return new Object[][] { { "\"/y/\"", "\"/x/\"", "error 121 4:1" },
				{ "a.example\", \"path-prefix\": \"/y/", "A.example\", \"path-prefix\": \"/y/", "error 122 4:24" },
				{ "\"/y/\"", "\"y/\"", "error 123 4:52" }, { "\"/y/\"", "\"/y\"", "warning 124 4:52" },
				{ "\"weight\": 10", "\"weight\": 0", "error 125 5:19" },
				{ "\"service\": \"s1\", \"allowed", "\"service\": \"s3\", \"allowed", "error 126 3:55" },
				{ "{\"name\": \"s2\"}", "{\"name\": \"s2\"}, {\"name\": \"s4\"}", "warning 127 9:17" },
				{ "{\"name\": \"s2\"}", "{\"name\": \"s2\"}, {\"name\": \"s2\"}", "error 106 9:17" },
				{ "[\"secret-2\"]", "[\"\"]", "warning 128 13:1" },
				{ "secret-2\"", "secret-2\", \"secret-1\"", "error 129 13:28" },
				{ "[\"west\", \"east\"]", "[\"east\"]", "warning 130 3:80" },
				{ "\"timeout-ms\": 6000", "\"timeout-ms\": 800, \"target-latency-ms\": 900", "error 131 2:120" },
				{ "\"resume-streams\": true", "\"resume-streams\": false", "warning 132 3:17" },
				{ "4096", "0", "error 133 10:30" }, { "\"slots\": 16", "\"slots\": 0", "error 134 8:36" },
				{ "\"name\": \"r1\"", "\"name\": \"r0\", \"name\": \"r1\"", "error 6 2:24" },
				{ "\"version\": 7,", "\"version\": 7,,", "error 120 1:16" } };
	}

	/**
	 * Guards against a rule that finds nothing, finds something in a sound configuration
	 * or names another place. Each row fails if its rule is removed.
	 */
	@Test(dataProvider = "faults")
	public void findsFaultAtItsPlace(String text, String replacement, String expected) throws IOException {
		assertThat(check(SOUND)).isZero();
		assertThat(this.out).contains("no findings");
		assertThat(SOUND).containsOnlyOnce(text);
		int code = check(SOUND.replace(text, replacement), "--json");
		assertThat(findings()).containsExactly(expected);
		assertThat(code).isEqualTo(expected.startsWith("error") ? 2 : 1);
		assertThat(this.out).doesNotContain("secret");
	}

	/**
	 * Guards against a check that stops at the first entry that the entry hosts would
	 * reject, and against one that accepts it.
	 */
	@Test
	public void reportsAllRejectedEntriesTogether() throws IOException {
		String malformed = SOUND.replace("6000", "\"soon\"")
			.replace("\"weight\": 10", "\"weight\": -1")
			.replace("\"slots\"", "\"slot\"");
		assertThat(check(malformed, "--json")).isEqualTo(2);
		assertThat(findings()).containsExactlyInAnyOrder("error 120 2:94", "error 120 5:80", "error 120 8:26");
		Files.delete(this.file);
		assertThat(Wigeontally.run(System.out, System.err, "check-configuration", this.file.toString())).isEqualTo(2);
		Files.createFile(this.file);
	}

	/**
	 * Guards against differences that are missed, or reported for equal entries, and
	 * against a version that entry hosts would ignore.
	 */
	@Test
	public void namesWhatDiffersFromTheVersionInForce() throws IOException {
		Files.writeString(this.inForceFile, SOUND);
		String inForce = this.inForceFile.toString();
		assertThat(check(SOUND, "--in-force", inForce, "--json")).isEqualTo(2);
		assertThat(findings()).containsExactly("error 135 1:14");
		assertThat(new JsonObject(this.out).getJsonArray("differences")).isEmpty();
		String changed = SOUND.replace("\"version\": 7", "\"version\": 8")
			.replace("\"west\"]}", "\"east\"]}")
			.replace("\"s2\"", "\"s5\"")
			.replace("secret-2", "secret-3")
			.replace("4096", "8192");
		// A field that the version in force has twice is no fault of the new one.
		Files.writeString(this.inForceFile, SOUND.replace("\"name\": \"r1\"", "\"name\": \"r0\", \"name\": \"r1\""));
		assertThat(check(changed, "--in-force", inForce)).isZero();
		assertThat(this.out.lines()).containsExactly(this.file + ": no findings", "changed route \"r1\"",
				"changed route \"r2\"", "removed service \"s2\"", "added service \"s5\"", "changed organisation \"t2\"",
				"changed limit \"maximum size of a body\"");
	}

	private int check(String configuration, String... options) throws IOException {
		Files.writeString(this.file, configuration);
		List<String> arguments = new ArrayList<>(List.of("check-configuration", this.file.toString()));
		arguments.addAll(List.of(options));
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		int code = Wigeontally.run(new PrintStream(bytes, true, StandardCharsets.UTF_8), System.err,
				arguments.toArray(String[]::new));
		this.out = bytes.toString(StandardCharsets.UTF_8);
		return code;
	}

	private List<String> findings() {
		return new JsonObject(this.out).getJsonArray("findings")
			.stream()
			.map(JsonObject.class::cast)
			.map((finding) -> finding.getString("severity") + " " + finding.getInteger("number") + " "
					+ finding.getString("place").replace(this.file + ":", ""))
			.toList();
	}

}
