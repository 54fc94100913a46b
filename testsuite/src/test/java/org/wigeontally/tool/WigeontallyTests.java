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
 * Runs the command line against an administration API that judges by the fold alone.
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

	private InMemoryAdministration entry;

	private Path folder;

	private String olive;

	private String piet;

	private String out;

	private String err;

	@BeforeMethod
	public void start() throws Exception {
		this.folder = Files.createTempDirectory("wigeontally");
		String oliveKeys = keys("olive");
		String pietKeys = keys("piet");
		this.entry = InMemoryAdministration.start(List.of(publicKey("olive", oliveKeys), publicKey("piet", pietKeys)));
		int dead;
		try (ServerSocket socket = new ServerSocket(0)) {
			dead = socket.getLocalPort();
		}
		String entries = "entries: [127.0.0.1:" + dead + ", 127.0.0.1:" + this.entry.port() + "]\n";
		this.olive = write("olive.yaml", entries + oliveKeys);
		this.piet = write("piet.yaml", entries + pietKeys);
	}

	@AfterMethod(alwaysRun = true)
	public void stop() throws IOException {
		this.entry.close();
		try (var files = Files.list(this.folder)) {
			for (Path file : files.toList()) {
				Files.delete(file);
			}
		}
		Files.delete(this.folder);
	}

	@Test
	public void carriesABundleFromProposalToForce() throws IOException {
		assertThat(run("approve", "resorts", "desk", "--settings", this.olive, "--output", "json")).isZero();
		String file = write("b1.yaml", BUNDLE.formatted(CREDENTIAL, this.out.strip()));
		assertThat(run("bundle", "check", file)).isZero();
		assertThat(run("bundle", "propose", file, "--settings", this.olive)).isZero();
		assertThat(run("bundle", "roll", "b1", "--settings", this.olive)).isEqualTo(1);
		assertThat(this.err).contains("error 103");
		assertThat(run("bundle", "sign-off", "b1", "--settings", this.olive)).isEqualTo(1);
		assertThat(this.err).contains("error 104");
		assertThat(run("bundle", "sign-off", "b1", "--settings", this.piet, "--digest", "00")).isEqualTo(2);
		assertThat(run("bundle", "sign-off", "b1", "--settings", this.piet)).isZero();
		assertThat(run("bundle", "list", "--settings", this.olive)).isZero();
		assertThat(this.out).containsPattern("b1 +signed off +- +olive +piet");
		assertThat(run("--settings", this.olive, "bundle", "roll", "b1")).isZero();
		assertThat(this.out).contains(": accepted at revision 5");
		assertThat(run("status", "--settings", this.olive)).isZero();
		assertThat(this.out).contains("bundle in force: b1, newest revision 5, minimum 5, hosts known to be behind: 0")
			.contains("no alarms");
	}

	@Test
	public void printsABundleThatCanBeProposedAgain() throws IOException {
		String file = write("b1.yaml", BUNDLE.formatted(CREDENTIAL, ""));
		assertThat(run("bundle", "propose", file, "--settings", this.olive)).isZero();
		assertThat(run("bundle", "show", "b1", "--settings", this.olive)).isZero();
		String shown = write("shown.yaml", this.out);
		assertThat(run("bundle", "propose", shown, "--settings", this.olive)).isZero();
		String first = this.out;
		assertThat(run("bundle", "show", "b1", "--settings", this.olive)).isZero();
		assertThat(this.out).isEqualTo(Files.readString(Path.of(shown))).isNotEqualTo(first);
	}

	@Test
	public void takesAZoneOutAndBack() {
		assertThat(run("zone", "out", "west-a", "--settings", this.olive)).isZero();
		assertThat(run("status", "--settings", this.olive)).isZero();
		assertThat(this.out).containsPattern("west-a +west +out");
		assertThat(run("zone", "back", "west-a", "--settings", this.olive)).isZero();
		assertThat(run("zone", "out", "wset-a", "--settings", this.olive)).isEqualTo(2);
		assertThat(this.err).contains("known: west-a");
		assertThat(run("host", "drain", "entry-1", "--settings", this.olive)).isZero();
		assertThat(run("host", "list", "--settings", this.olive)).isZero();
	}

	@Test
	public void tellsPendingAndUnknownApartFromDone() {
		this.entry.setPending(true);
		assertThat(run("zone", "out", "west-a", "--settings", this.olive, "--timeout", "1")).isEqualTo(3);
		assertThat(this.out).contains("pending");
		Matcher id = Pattern.compile("change ([-0-9a-f]+):").matcher(this.out);
		assertThat(id.find()).isTrue();
		assertThat(run("watch", "--settings", this.olive, "--timeout", "1")).isEqualTo(3);
		assertThat(this.out).contains("minimum in force 0, 1 live hosts, known to be behind: entry-1");
		this.entry.setPending(false);
		assertThat(run("change", "show", id.group(1), "--settings", this.olive)).isZero();
		assertThat(run("watch", "--settings", this.olive)).isZero();
		this.entry.setFailing(true);
		assertThat(run("zone", "back", "west-a", "--settings", this.olive, "--timeout", "1")).isEqualTo(3);
		assertThat(this.out).contains("unknown");
	}

	@Test
	public void sendsAChangeAgainWhileItsOutcomeIsUnknown() throws InterruptedException {
		this.entry.setFailing(true);
		Thread mend = new Thread(() -> {
			pause(1000);
			this.entry.setFailing(false);
		});
		mend.start();
		assertThat(run("zone", "out", "west-a", "--settings", this.olive, "--timeout", "20")).isZero();
		mend.join();
		assertThat(this.out).contains("accepted at revision 1");
	}

	@Test
	public void tellsWhenNoEntryHostAnswers() {
		this.entry.close();
		assertThat(run("status", "--settings", this.olive)).isEqualTo(4);
		assertThat(this.err).contains("no entry host answered");
	}

	@Test
	public void reportsAllFaultsOfAFileWithTheirPlaces() throws IOException {
		String file = write("entry.yaml", "host: e1\nzoen: a\nlisten: localhost:7000\ndrain_ms: soon\n");
		assertThat(run("check", "--kind", "entry", file)).isEqualTo(2);
		assertThat(this.err).contains(file + ":2:1: error 2", file + ":3:9: error 8", file + ":4:11: error 3");
	}

	@Test
	public void explainsItself() {
		assertThat(run("--help")).isZero();
		assertThat(this.out).contains("zone out", "bundle sign-off");
		assertThat(run("zone", "out", "--help")).isZero();
		assertThat(this.out).contains("wigeontally zone out");
		assertThat(run("--version")).isZero();
		assertThat(this.out).containsPattern("wigeontally \\d");
		assertThat(run("zone", "sideways")).isEqualTo(2);
		assertThat(run()).isEqualTo(2);
		assertThat(run("status", "--timeout", "0", "--settings", this.olive)).isEqualTo(2);
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

	private static void pause(long ms) {
		try {
			Thread.sleep(ms);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private String keys(String name) {
		assertThat(run("key", "new", name)).isZero();
		return this.out;
	}

	private static OperatorKey publicKey(String name, String keys) {
		Matcher matcher = Pattern.compile("public_key: ([0-9a-f]+)").matcher(keys);
		assertThat(matcher.find()).isTrue();
		return OperatorKey.newBuilder().setName(name).setPublicKey(matcher.group(1)).build();
	}

	private String write(String name, String text) throws IOException {
		return Files.writeString(this.folder.resolve(name), text).toString();
	}

}
