package org.wigeontally.emulator.experiment;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import com.google.protobuf.MessageOrBuilder;
import com.google.protobuf.util.JsonFormat;

import org.wigeontally.misc.Closer;
import org.wigeontally.schema.generated.Address;
import org.wigeontally.schema.generated.AgentSettings;
import org.wigeontally.schema.generated.BackendKind;
import org.wigeontally.schema.generated.BackendSettings;
import org.wigeontally.schema.generated.EntrySettings;
import org.wigeontally.schema.generated.PlatformSettings;
import org.wigeontally.settings.Addresses;

/**
 * A deployment of real processes on the loopback address: log, engines, plain services,
 * agents and entries. Settings and output go to a directory. Closing it ends every
 * process that it started.
 */
public final class Deployment implements AutoCloseable {

	private static final String EMULATOR = "org.wigeontally.emulator.Emulator";

	private static final String TOOL = "org.wigeontally.tool.Wigeontally";

	private static final List<String> PLATFORM = List.of("log", "origin", "store", "hosts");

	private static final int HEAP_MB = 64;

	private static final int AGENT_HEAP_MB = 128;

	private static final int CHUNK_MEMORY_MB = 32;

	private static final int DRAIN_MS = 10_000;

	private static final int BODY_LIMIT_BYTES = 1 << 20;

	private final Plan plan;

	private final Path directory;

	private final Closer closer = Closer.create();

	private final Map<String, ManagedProcess> processes = new LinkedHashMap<>();

	private final Map<String, Address> addresses = new LinkedHashMap<>();

	private final List<Keys> operators = List.of(Keys.create("ada"), Keys.create("ben"));

	private Deployment(Plan plan, Path directory) {
		this.plan = plan;
		this.directory = directory;
	}

	/**
	 * Starts all processes.
	 * @param plan what to deploy
	 * @param directory where settings and output go
	 * @return the deployment
	 * @throws IOException if a process cannot be started
	 */
	public static Deployment start(Plan plan, Path directory) throws IOException {
		Deployment deployment = new Deployment(plan, directory);
		Files.createDirectories(directory);
		deployment.chooseAddresses();
		deployment.startPlatform();
		deployment.startHosts();
		deployment.startEntries();
		return deployment;
	}

	private void chooseAddresses() throws IOException {
		for (String service : PLATFORM) {
			this.addresses.put(service, Ports.free());
		}
		for (Plan.Zone zone : this.plan.zones()) {
			for (int number = 1; number <= this.plan.entriesPerZone(); number++) {
				this.addresses.put(entryName(zone, number), Ports.free());
			}
			for (int number = 1; number <= this.plan.hostsPerZone(); number++) {
				String host = hostName(zone, number);
				this.addresses.put(host, Ports.free());
				this.addresses.put("engine-" + host, Ports.free());
				this.addresses.put("service-" + host, Ports.free());
			}
		}
	}

	private static String entryName(Plan.Zone zone, int number) {
		return "entry-" + zone.name() + "-" + number;
	}

	private static String hostName(Plan.Zone zone, int number) {
		return "host-" + zone.name() + "-" + number;
	}

	private void startPlatform() throws IOException {
		emulator("log", "log");
		emulator("hosts", "hosts");
		emulator("origin", "origin", "--model", Plan.MODEL, "--version", Plan.SECOND_VERSION, "--version",
				Plan.THIRD_VERSION, "--bytes", Integer.toString(Plan.WEIGHT_BYTES));
	}

	private void startHosts() throws IOException {
		for (Plan.Zone zone : this.plan.zones()) {
			for (int number = 1; number <= this.plan.hostsPerZone(); number++) {
				startHost(zone, hostName(zone, number));
			}
		}
	}

	private void startHost(Plan.Zone zone, String host) throws IOException {
		List<String> engineArgs = new ArrayList<>(this.plan.engineArgs());
		engineArgs.addAll(
				List.of("--version", this.plan.version(), "--capacity", Integer.toString(this.plan.engineCapacity())));
		emulator("engine-" + host, "engine", engineArgs.toArray(String[]::new));
		emulator("service-" + host, "service");
		AgentSettings settings = AgentSettings.newBuilder()
			.setHost(host)
			.setRegion(zone.region())
			.setZone(zone.name())
			.setListen(address(host))
			.addAllEntries(entryAddresses())
			.setPlatform(platform())
			.setDrainMs(DRAIN_MS)
			.setChunkMemoryMb(CHUNK_MEMORY_MB)
			.addBackends(backend(Bundles.MODEL_SERVICE, BackendKind.MODEL_ENGINE, "engine-" + host,
					this.plan.engineCapacity()))
			.addBackends(backend(Bundles.PLAIN_SERVICE, BackendKind.PLAIN_SERVICE, "service-" + host,
					this.plan.engineCapacity()))
			.build();
		writeSettings(host, settings);
		startDaemon(host);
	}

	private BackendSettings backend(String service, BackendKind kind, String process, int capacity) {
		return BackendSettings.newBuilder()
			.setService(service)
			.setKind(kind)
			.setAddress(address(process))
			.setCapacity(capacity)
			.setColdCapacity(2)
			.build();
	}

	private void startEntries() throws IOException {
		for (Plan.Zone zone : this.plan.zones()) {
			for (int number = 1; number <= this.plan.entriesPerZone(); number++) {
				String host = entryName(zone, number);
				EntrySettings settings = EntrySettings.newBuilder()
					.setHost(host)
					.setRegion(zone.region())
					.setZone(zone.name())
					.setListen(address(host))
					.addAllPeers(entryAddresses())
					.setPlatform(platform())
					.setDrainMs(DRAIN_MS)
					.setBodyLimitBytes(BODY_LIMIT_BYTES)
					.addAllOperatorKeys(this.operators.stream().map(Keys::operatorKey).toList())
					.build();
				writeSettings(host, settings);
				startDaemon(host);
			}
		}
	}

	private PlatformSettings platform() {
		return PlatformSettings.newBuilder()
			.setLog(address("log"))
			.setOrigin(address("origin"))
			.setStore(address("store"))
			.setHostList(address("hosts"))
			.build();
	}

	private void writeSettings(String name, MessageOrBuilder settings) throws IOException {
		// JSON is a subset of YAML.
		String text = JsonFormat.printer().preservingProtoFieldNames().print(settings);
		Files.writeString(this.directory.resolve(name + ".yaml"), text);
	}

	private void emulator(String name, String standIn, String... options) throws IOException {
		List<String> args = new ArrayList<>(List.of(standIn, "--listen", Addresses.format(address(name))));
		args.addAll(List.of(options));
		run(ManagedProcess.java(name, this.directory, HEAP_MB, EMULATOR, args.toArray(String[]::new)));
	}

	/**
	 * Starts, or starts again, the daemon of a host with the settings that it had.
	 * @param host name of an entry host or a backend server host
	 * @throws IOException if it cannot be started
	 */
	public void startDaemon(String host) throws IOException {
		boolean isEntry = host.startsWith("entry-");
		String settings = this.directory.resolve(host + ".yaml").toString();
		run(ManagedProcess.java(host, this.directory, isEntry ? HEAP_MB : AGENT_HEAP_MB, TOOL,
				isEntry ? "entry" : "agent", "--settings", settings));
	}

	private void run(ManagedProcess process) {
		this.processes.put(process.name(), this.closer.add(process));
	}

	/**
	 * Returns a process.
	 * @param name name of the host or stand-in
	 * @return the process that runs under the name now
	 */
	public ManagedProcess process(String name) {
		return this.processes.get(name);
	}

	/**
	 * Returns the names of the entry hosts.
	 * @return the names
	 */
	public List<String> entries() {
		return this.addresses.keySet().stream().filter((name) -> name.startsWith("entry-")).toList();
	}

	/**
	 * Returns the names of the backend server hosts.
	 * @return the names
	 */
	public List<String> hosts() {
		return this.addresses.keySet().stream().filter((name) -> name.startsWith("host-")).toList();
	}

	/**
	 * Returns the addresses of the entry hosts.
	 * @return the addresses
	 */
	public List<Address> entryAddresses() {
		return entries().stream().map(this::address).toList();
	}

	/**
	 * Returns the address of a process.
	 * @param name name of the host or stand-in
	 * @return the address
	 */
	public Address address(String name) {
		return this.addresses.get(name);
	}

	/**
	 * Returns the operators: the first writes bundles and owns services, the second signs
	 * off.
	 * @return two operators
	 */
	public List<Keys> operators() {
		return this.operators;
	}

	/**
	 * Returns the plan.
	 * @return what is deployed
	 */
	public Plan plan() {
		return this.plan;
	}

	@Override
	public void close() throws Exception {
		this.closer.close();
	}

}
