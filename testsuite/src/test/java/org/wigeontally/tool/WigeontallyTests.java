package org.wigeontally.tool;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import org.wigeontally.administration.InMemoryAdministration;
import org.wigeontally.schema.generated.OperatorKey;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Runs the command line tool against an administration API that only applies the
 * configuration state machine, without a replicated log.
 */
public class WigeontallyTests {

	private static final String BUNDLE = """
			name: b1
			confirming_hosts: [entry-1]
			services:
			  - {name: desk, kind: plain_service, owner: olive, at_most_once_paths: [/book]}
			organisations:
			  - name: resorts
			    credential: %s
			    approvals: [%s]
			""";

	private static final String CREDENTIAL = "ab".repeat(32);

	private InMemoryAdministration administration;

	private Path directory;

	private String oliveSettings;

	private String pietSettings;

	private String out;

	private String err;

	@BeforeMethod
	public void start() throws Exception {
		this.directory = Files.createTempDirectory("wigeontally");
		String oliveKeys = createKeys("olive");
		String pietKeys = createKeys("piet");
		this.administration = InMemoryAdministration
			.start(List.of(publicKey("olive", oliveKeys), publicKey("piet", pietKeys)));
		int closedPort;
		try (ServerSocket socket = new ServerSocket(0)) {
			closedPort = socket.getLocalPort();
		}
		String entries = "entries: [127.0.0.1:" + closedPort + ", 127.0.0.1:" + this.administration.port() + "]\n";
		this.oliveSettings = write("olive.yaml", entries + oliveKeys);
		this.pietSettings = write("piet.yaml", entries + pietKeys);
	}

	@AfterMethod(alwaysRun = true)
	public void stop() throws IOException {
		this.administration.close();
		try (var files = Files.list(this.directory)) {
			for (Path file : files.toList()) {
				Files.delete(file);
			}
		}
		Files.delete(this.directory);
	}

	@Test
	public void checksProposesSignsOffAndRollsABundle() throws IOException {
		assertThat(run("approve", "resorts", "desk", "--settings", this.oliveSettings, "--output", "json")).isZero();
		String file = write("b1.yaml", BUNDLE.formatted(CREDENTIAL, this.out.strip()));
		assertThat(run("bundle", "check", file)).isZero();
		assertThat(run("bundle", "propose", file, "--settings", this.oliveSettings)).isZero();
		assertThat(run("bundle", "roll", "b1", "--settings", this.oliveSettings)).isEqualTo(1);
		assertThat(this.err).contains("error 103");
		assertThat(run("bundle", "sign-off", "b1", "--settings", this.oliveSettings)).isEqualTo(1);
		assertThat(this.err).contains("error 104");
		assertThat(run("bundle", "sign-off", "b1", "--settings", this.pietSettings, "--digest", "00")).isEqualTo(2);
		assertThat(run("bundle", "sign-off", "b1", "--settings", this.pietSettings)).isZero();
		assertThat(run("bundle", "list", "--settings", this.oliveSettings)).isZero();
		assertThat(this.out).containsPattern("b1 +signed off +- +olive +piet");
		assertThat(run("--settings", this.oliveSettings, "bundle", "roll", "b1")).isZero();
		assertThat(this.out).contains(": accepted at revision 5");
		assertThat(run("status", "--settings", this.oliveSettings)).isZero();
		assertThat(this.out).contains("bundle in force: b1, newest revision 5, minimum 5, hosts known to be behind: 0")
			.contains("no alarms");
	}

	@Test
	public void printsABundleThatCanBeProposedAgain() throws IOException {
		String file = write("b1.yaml", BUNDLE.formatted(CREDENTIAL, ""));
		assertThat(run("bundle", "propose", file, "--settings", this.oliveSettings)).isZero();
		assertThat(run("bundle", "show", "b1", "--settings", this.oliveSettings)).isZero();
		String shown = write("shown.yaml", this.out);
		assertThat(run("bundle", "propose", shown, "--settings", this.oliveSettings)).isZero();
		String first = this.out;
		assertThat(run("bundle", "show", "b1", "--settings", this.oliveSettings)).isZero();
		assertThat(this.out).isEqualTo(Files.readString(Path.of(shown))).isNotEqualTo(first);
	}

	@Test
	public void takesAZoneOutAndBack() {
		assertThat(run("zone", "out", "west-a", "--settings", this.oliveSettings)).isZero();
		assertThat(run("status", "--settings", this.oliveSettings)).isZero();
		assertThat(this.out).containsPattern("west-a +west +out");
		assertThat(run("zone", "back", "west-a", "--settings", this.oliveSettings)).isZero();
		assertThat(run("zone", "out", "wset-a", "--settings", this.oliveSettings)).isEqualTo(2);
		assertThat(this.err).contains("known: west-a");
		assertThat(run("host", "drain", "entry-1", "--settings", this.oliveSettings)).isZero();
		assertThat(run("host", "list", "--settings", this.oliveSettings)).isZero();
	}

	@Test
	public void distinguishesPendingUnknownAndAcceptedChanges() {
		this.administration.setPending(true);
		assertThat(run("zone", "out", "west-a", "--settings", this.oliveSettings, "--timeout", "1")).isEqualTo(3);
		assertThat(this.out).contains("pending");
		Matcher id = Pattern.compile("change ([-0-9a-f]+):").matcher(this.out);
		assertThat(id.find()).isTrue();
		assertThat(run("watch", "--settings", this.oliveSettings, "--timeout", "1")).isEqualTo(3);
		assertThat(this.out).contains("minimum in force 0, 1 live hosts, known to be behind: entry-1");
		this.administration.setPending(false);
		assertThat(run("change", "show", id.group(1), "--settings", this.oliveSettings)).isZero();
		assertThat(run("watch", "--settings", this.oliveSettings)).isZero();
		this.administration.setFailing(true);
		assertThat(run("zone", "back", "west-a", "--settings", this.oliveSettings, "--timeout", "1")).isEqualTo(3);
		assertThat(this.out).contains("unknown");
	}

	@Test
	public void resendsAChangeWhileItsOutcomeIsUnknown() throws InterruptedException {
		this.administration.setFailing(true);
		Thread recovery = new Thread(() -> {
			sleep(1000);
			this.administration.setFailing(false);
		});
		recovery.start();
		assertThat(run("zone", "out", "west-a", "--settings", this.oliveSettings, "--timeout", "20")).isZero();
		recovery.join();
		assertThat(this.out).contains("accepted at revision 1");
	}

	@Test
	public void reportsWhenNoEntryHostAnswers() {
		this.administration.close();
		assertThat(run("status", "--settings", this.oliveSettings)).isEqualTo(4);
		assertThat(this.err).contains("no entry host answered");
	}

	@Test
	public void reportsAllErrorsOfAFileWithTheirPositions() throws IOException {
		String file = write("entry.yaml", "host: e1\nzoen: a\nlisten: localhost:7000\ndrain_ms: soon\n");
		assertThat(run("check", "--kind", "entry", file)).isEqualTo(2);
		assertThat(this.err).contains(file + ":2:1: error 2", file + ":3:9: error 8", file + ":4:11: error 3");
	}

	@Test
	public void printsHelpAndVersionAndRejectsWrongUsage() {
		assertThat(run("--help")).isZero();
		assertThat(this.out).contains("zone out", "bundle sign-off");
		assertThat(run("zone", "out", "--help")).isZero();
		assertThat(this.out).contains("wigeontally zone out");
		assertThat(run("--version")).isZero();
		assertThat(this.out).containsPattern("wigeontally \\d");
		assertThat(run("zone", "sideways")).isEqualTo(2);
		assertThat(run()).isEqualTo(2);
		assertThat(run("status", "--timeout", "0", "--settings", this.oliveSettings)).isEqualTo(2);
	}

	private int run(String... args) {
		ByteArrayOutputStream outBytes = new ByteArrayOutputStream();
		ByteArrayOutputStream errBytes = new ByteArrayOutputStream();
		int code = Wigeontally.run(new PrintStream(outBytes, true, StandardCharsets.UTF_8),
				new PrintStream(errBytes, true, StandardCharsets.UTF_8), args);
		this.out = outBytes.toString(StandardCharsets.UTF_8);
		this.err = errBytes.toString(StandardCharsets.UTF_8);
		return code;
	}

	private static void sleep(long ms) {
		try {
			Thread.sleep(ms);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private String createKeys(String name) {
		assertThat(run("key", "new", name)).isZero();
		return this.out;
	}

	private static OperatorKey publicKey(String name, String keys) {
		Matcher matcher = Pattern.compile("public_key: ([0-9a-f]+)").matcher(keys);
		assertThat(matcher.find()).isTrue();
		return OperatorKey.newBuilder().setName(name).setPublicKey(matcher.group(1)).build();
	}

	private String write(String name, String text) throws IOException {
		return Files.writeString(this.directory.resolve(name), text).toString();
	}

}
