package org.wigeontally.emulator;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;

import com.beust.jcommander.IStringConverter;
import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.ParametersDelegate;
import io.vertx.core.Future;
import io.vertx.core.Vertx;

import org.wigeontally.emulator.backend.EngineOptions;
import org.wigeontally.emulator.backend.EngineServer;
import org.wigeontally.emulator.backend.PlainServiceServer;
import org.wigeontally.emulator.platform.HostListServer;
import org.wigeontally.emulator.platform.LogServer;
import org.wigeontally.emulator.platform.MemoryLog;
import org.wigeontally.emulator.platform.OriginServer;
import org.wigeontally.emulator.platform.SyntheticWeights;
import org.wigeontally.misc.Clock;
import org.wigeontally.schema.generated.Address;
import org.wigeontally.settings.Addresses;
import org.wigeontally.spread.UploadTransport;

/**
 * Runs one stand-in as a process of its own: the log, the origin of weights, a model
 * engine or a plain service.
 */
public final class Emulator {

	private static final int EXIT_USAGE = 2;

	private Emulator() {
	}

	/**
	 * Runs a stand-in until the process is ended.
	 * @param args name of the stand-in and its options
	 * @throws Exception if it cannot be started
	 */
	public static void main(String[] args) throws Exception {
		StandIn log = new LogStandIn();
		StandIn engine = new EngineStandIn();
		StandIn service = new ServiceStandIn();
		StandIn origin = new OriginStandIn();
		StandIn hosts = new HostsStandIn();
		JCommander commander = JCommander.newBuilder()
			.programName("bin/emulator")
			.addCommand("log", log)
			.addCommand("engine", engine)
			.addCommand("service", service)
			.addCommand("origin", origin)
			.addCommand("hosts", hosts)
			.build();
		try {
			commander.parse(args);
		}
		catch (ParameterException ex) {
			System.err.println(ex.getMessage());
			System.exit(EXIT_USAGE);
		}
		if (commander.getParsedCommand() == null) {
			commander.usage();
			System.exit(EXIT_USAGE);
		}
		run((StandIn) commander.getCommands().get(commander.getParsedCommand()).getObjects().get(0));
	}

	private static void run(StandIn standIn) throws InterruptedException {
		Vertx vertx = Vertx.vertx();
		try {
			standIn.start(vertx).toCompletionStage().toCompletableFuture().get();
		}
		catch (ExecutionException ex) {
			System.err.println("emulator: cannot listen: " + ex.getCause().getMessage());
			System.exit(1);
		}
		new CountDownLatch(1).await();
	}

	/**
	 * A stand-in with the options of its command.
	 */
	private abstract static class StandIn {

		@Parameter(names = "--listen", required = true, converter = AddressConverter.class,
				description = "IP number and port to listen on")
		private Address listen;

		Address listen() {
			return this.listen;
		}

		abstract Future<?> start(Vertx vertx);

	}

	/**
	 * The log.
	 */
	private static final class LogStandIn extends StandIn {

		@Parameter(names = "--seed", description = "Seed of the choice of lost replies")
		private long seed = 1;

		@Override
		Future<?> start(Vertx vertx) {
			return LogServer.start(vertx, listen(), MemoryLog.create(Clock.system(), this.seed));
		}

	}

	/**
	 * A model engine.
	 */
	private static final class EngineStandIn extends StandIn {

		@ParametersDelegate
		private EngineOptions options = new EngineOptions();

		@Override
		Future<?> start(Vertx vertx) {
			return EngineServer.start(vertx, listen(), this.options);
		}

	}

	/**
	 * A plain service.
	 */
	private static final class ServiceStandIn extends StandIn {

		@Override
		Future<?> start(Vertx vertx) {
			return PlainServiceServer.start(vertx, listen());
		}

	}

	/**
	 * The list of hosts.
	 */
	private static final class HostsStandIn extends StandIn {

		@Parameter(names = "--lag-ms", description = "Time until a change shows")
		private long lagMs = 2000;

		@Override
		Future<?> start(Vertx vertx) {
			return HostListServer.start(vertx, listen(), this.lagMs);
		}

	}

	/**
	 * The origin of weights.
	 */
	private static final class OriginStandIn extends StandIn {

		@Parameter(names = "--model", description = "Name of the model")
		private String model = "assist";

		@Parameter(names = "--version", description = "Versions to publish")
		private List<String> versions = new ArrayList<>();

		@Parameter(names = "--bytes", description = "Size of each version")
		private int bytes = 1 << 20;

		@Parameter(names = "--kbps", description = "Rate limit in kbit/s; 0 for none")
		private int kbps;

		@Override
		Future<?> start(Vertx vertx) {
			OriginServer server = OriginServer.create(vertx, Clock.system(), this.kbps, UploadTransport.DIRECT);
			for (String version : this.versions) {
				SyntheticWeights weights = new SyntheticWeights(this.model, version, this.bytes);
				server.publish(weights.manifest(), weights.bytes());
			}
			return server.listen(listen());
		}

	}

	/**
	 * Reads addresses on the command line.
	 */
	public static final class AddressConverter implements IStringConverter<Address> {

		@Override
		public Address convert(String text) {
			return Addresses.parse(text)
				.orElseThrow(() -> new ParameterException("'" + text + "' is not an IP number and port"));
		}

	}

}
