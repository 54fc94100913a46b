package org.wigeontally.tool;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

import com.google.protobuf.util.JsonFormat;
import io.vertx.core.Vertx;
import org.testng.annotations.Test;

import org.wigeontally.emulator.experiment.Ports;
import org.wigeontally.emulator.platform.LogServer;
import org.wigeontally.emulator.platform.MemoryLog;
import org.wigeontally.gateway.GatewayFixture;
import org.wigeontally.misc.Clock;
import org.wigeontally.schema.generated.Address;
import org.wigeontally.schema.generated.EntrySettings;
import org.wigeontally.schema.generated.PlatformSettings;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * A daemon of the project's own interface that is terminated while it starts.
 */
public class DaemonStopAtStartTests {

	/** Loaded just before the entry listens for callers. */
	private static final String LISTENS_SOON = "org.wigeontally.entry.CallerApi";

	private static final long END_TIMEOUT_S = 20;

	private static final long SEED = 1;

	/** Guards against a termination that cuts the first requests of a process. */
	@Test
	public void entryThatIsTerminatedAsItListensIsDrained() throws Exception {
		Path directory = Files.createTempDirectory("wigeontally-start");
		Path output = directory.resolve("entry.log");
		Vertx vertx = Vertx.vertx();
		Address log = Ports.free();
		GatewayFixture.await(LogServer.start(vertx, log, MemoryLog.create(Clock.system(), SEED)));
		LoadedClasses classes = LoadedClasses.createLog();
		Process process = start(writeSettings(directory, log), classes, output);
		try {
			classes.await(LISTENS_SOON);
			process.destroy();
			assertThat(process.waitFor(END_TIMEOUT_S, TimeUnit.SECONDS)).isTrue();
			assertThat(output).content().contains("is draining");
		}
		finally {
			process.destroyForcibly();
			classes.close();
			GatewayFixture.await(vertx.close());
		}
	}

	private static Path writeSettings(Path directory, Address log) throws IOException {
		EntrySettings settings = EntrySettings.newBuilder()
			.setHost("entry-0")
			.setRegion("region-a")
			.setZone("zone-a")
			.setListen(Ports.free())
			.setPlatform(PlatformSettings.newBuilder()
				.setLog(log)
				.setHostList(Ports.free())
				.setOrigin(Ports.free())
				.setStore(Ports.free()))
			.build();
		String text = JsonFormat.printer().preservingProtoFieldNames().print(settings);
		return Files.writeString(directory.resolve("entry.yaml"), text);
	}

	private static Process start(Path settings, LoadedClasses classes, Path output) throws IOException {
		List<String> command = List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString(),
				classes.jvmOption(), "-cp", System.getProperty("java.class.path"), Wigeontally.class.getName(), "entry",
				"--settings", settings.toString());
		return new ProcessBuilder(command).redirectErrorStream(true).redirectOutput(output.toFile()).start();
	}

}
