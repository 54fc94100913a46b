package org.wigeontally.gateway;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;

import io.vertx.core.net.NetClient;

import org.wigeontally.eventlog.EventLog;
import org.wigeontally.eventlog.LogEvent;
import org.wigeontally.fleet.AnnouncedVersions;
import org.wigeontally.fleet.BackendRecord;
import org.wigeontally.fleet.CompactedTopic;
import org.wigeontally.fleet.FleetConfiguration;
import org.wigeontally.fleet.Service;
import org.wigeontally.fleet.StorePosition;
import org.wigeontally.fleet.WarmupShare;
import org.wigeontally.misc.Clock;
import org.wigeontally.placement.EngineProfile;
import org.wigeontally.platform.wire.BackendDecoder;
import org.wigeontally.platform.wire.ConfigurationDecoder;
import org.wigeontally.platform.wire.PlatformException;
import org.wigeontally.rpc.PeerClient;
import org.wigeontally.schema.generated.Address;
import org.wigeontally.schema.generated.EngineStatus;
import org.wigeontally.schema.generated.EntryNews;
import org.wigeontally.schema.generated.HostSettings;
import org.wigeontally.settings.Addresses;

/**
 * State of the platform as this entry knows it: the configuration in force, evacuated
 * zones, announced versions of weights and backend servers. It is built from the store's
 * records, which come from the store or from another entry. Runs on the event loop.
 */
final class FleetState {

	/**
	 * Lower bound of the entry count by which the limits for all entries together are
	 * divided. Deployments do not state the number of entries, and entries that cannot be
	 * reached use the limits too, so the count of known entries may be too low.
	 */
	static final int MIN_ENTRY_COUNT = 9;

	/** Fraction of a backend server's connections that all entries together may open. */
	private static final double MAX_CONNECTION_FRACTION = 0.9;

	private static final int MIN_CONNECTIONS = 2;

	/** Unreadable records that are remembered; after more, they are reported again. */
	private static final int MAX_UNREADABLE_RECORDS = 1_024;

	private final HostSettings settings;

	private final NetClient client;

	private final Clock clock;

	private final EventLog log;

	private final CompactedTopic operatorRecords = CompactedTopic.create();

	private final CompactedTopic backendRecords = CompactedTopic.create();

	private final Map<String, Backend> backends = new HashMap<>();

	private final Map<String, Backend> backendsByAddress = new HashMap<>();

	private final Set<String> evacuatedZones = new HashSet<>();

	private final Map<String, AnnouncedVersions> announcedVersions = new HashMap<>();

	private final LeavingBackends leaving;

	private final AgentReports agentReports;

	private final RegistrationGrace grace;

	// Why records were unreadable, by their key, to report each once.
	private final Map<String, String> unreadableRecords = new HashMap<>();

	private FleetConfiguration configuration;

	// Record that the configuration in force was decoded from.
	private CompactedTopic.TopicRecord configurationRecord;

	private final Map<String, String> regions = new HashMap<>();

	private final EntryNews ownEntry;

	private List<EntryNews> otherEntries = List.of();

	private int entryCount = MIN_ENTRY_COUNT;

	private Consumer<Backend> backendListener = (backend) -> {
	};

	FleetState(HostSettings settings, NetClient client, Clock clock, EventLog log) {
		this.settings = settings;
		this.grace = new RegistrationGrace(settings.getBounds().getDrainMs(), clock, log);
		settings.getZonesList().forEach((place) -> this.regions.putIfAbsent(place.getZone(), place.getRegion()));
		this.ownEntry = EntryNews.newBuilder()
			.setControl(settings.getControl())
			.setRegion(settings.getRegion())
			.build();
		this.client = client;
		this.clock = clock;
		this.log = log;
		this.leaving = new LeavingBackends(this, clock, log);
		this.agentReports = new AgentReports(this.backendsByAddress::get, this.leaving, clock, log);
	}

	LeavingBackends leaving() {
		return this.leaving;
	}

	RegistrationGrace grace() {
		return this.grace;
	}

	/**
	 * Sets who is told of registrations and of reports on backend servers.
	 * @param listener receives the backend server
	 */
	void onBackendNews(Consumer<Backend> listener) {
		this.backendListener = listener;
	}

	FleetConfiguration configuration() {
		return this.configuration;
	}

	long configurationVersion() {
		return (this.configuration == null) ? 0 : this.configuration.version();
	}

	/**
	 * Returns the record that the configuration in force was decoded from.
	 * @return the record, or null if there is no configuration
	 */
	CompactedTopic.TopicRecord configurationRecord() {
		return this.configurationRecord;
	}

	CompactedTopic operatorRecords() {
		return this.operatorRecords;
	}

	CompactedTopic backendRecords() {
		return this.backendRecords;
	}

	int entryCount() {
		return this.entryCount;
	}

	void setEntryCount(int knownEntries) {
		int newCount = Math.max(MIN_ENTRY_COUNT, knownEntries);
		if (newCount != this.entryCount) {
			this.entryCount = newCount;
			this.backends.values().forEach(this::applyLimits);
		}
	}

	/**
	 * Sets the entries that share the rates of cold backend servers.
	 * @param entries entries that were heard of lately, without this one
	 */
	void setOtherEntries(List<EntryNews> entries) {
		if (!controlAddresses(entries).equals(controlAddresses(this.otherEntries))) {
			this.otherEntries = List.copyOf(entries);
			this.backends.values().forEach(this::applyLimits);
		}
	}

	private static Set<Address> controlAddresses(List<EntryNews> entries) {
		return entries.stream().map(EntryNews::getControl).collect(Collectors.toSet());
	}

	Iterable<Backend> backends() {
		return this.backends.values();
	}

	boolean isZoneEvacuated(String zone) {
		return this.evacuatedZones.contains(zone);
	}

	/**
	 * Returns the versions of weights that were announced for a model.
	 * @param model name of the model
	 * @return the versions; empty if the model is not known
	 */
	AnnouncedVersions announcedVersions(String model) {
		return this.announcedVersions.computeIfAbsent(model, (key) -> AnnouncedVersions.create());
	}

	/**
	 * Applies changed operator records.
	 * @param keys keys of the changed records
	 * @param source the store or entry that sent them, for the log
	 * @param sinceMs time after which they changed
	 */
	void applyOperatorRecords(List<String> keys, String source, long sinceMs) {
		for (String key : keys) {
			CompactedTopic.TopicRecord topicRecord = this.operatorRecords.record(key);
			try {
				applyOperatorRecord(topicRecord, source, sinceMs);
				this.unreadableRecords.remove(key);
			}
			catch (PlatformException ex) {
				logUnreadable(topicRecord, source, ex.getMessage());
			}
			catch (RuntimeException | StackOverflowError ex) {
				logFault(key, source, ex);
			}
		}
	}

	private void applyOperatorRecord(CompactedTopic.TopicRecord topicRecord, String source, long sinceMs)
			throws PlatformException {
		if (ConfigurationDecoder.isConfigurationKey(topicRecord.key())) {
			if (!topicRecord.removed()) {
				applyConfiguration(topicRecord, source);
			}
			return;
		}
		String zone = ConfigurationDecoder.evacuatedZone(topicRecord.key()).orElse(null);
		if (zone != null) {
			boolean changed = topicRecord.removed() ? this.evacuatedZones.remove(zone) : this.evacuatedZones.add(zone);
			if (changed) {
				this.log.write(LogEvent.ZONE, "zone", zone, "out", !topicRecord.removed(), "position",
						StorePosition.format(topicRecord.position()), "source", source);
			}
			return;
		}
		String model = ConfigurationDecoder.announcedModel(topicRecord.key()).orElse(null);
		if (model != null && !topicRecord.removed()) {
			addAnnouncedVersion(model, ConfigurationDecoder.decodeVersion(topicRecord.value()), sinceMs, source);
		}
	}

	/**
	 * Applies a configuration that another entry holds, if it is newer than the one in
	 * force.
	 * @param topicRecord record of the configuration
	 * @param source the entry that sent it, for the log
	 */
	void applyConfigurationRecord(CompactedTopic.TopicRecord topicRecord, String source) {
		try {
			applyConfiguration(topicRecord, source);
		}
		catch (PlatformException ex) {
			logUnreadable(topicRecord, source, ex.getMessage());
		}
		catch (RuntimeException | StackOverflowError ex) {
			logFault(topicRecord.key(), source, ex);
		}
	}

	// A record that is read is not read again, so a fault in one must not end the round
	// for the others.
	private void logFault(String key, String source, Throwable fault) {
		this.log.write(LogEvent.FAULT, "key", key, "source", source, "reason", fault);
	}

	// Its writer may renew an unreadable record every second.
	private void logUnreadable(CompactedTopic.TopicRecord topicRecord, String source, String reason) {
		if (this.unreadableRecords.size() >= MAX_UNREADABLE_RECORDS) {
			this.unreadableRecords.clear();
		}
		if (reason.equals(this.unreadableRecords.put(topicRecord.key(), reason))) {
			return;
		}
		this.log.write(LogEvent.RECORD_UNREADABLE, "key", topicRecord.key(), "position",
				StorePosition.format(topicRecord.position()), "source", source, "reason", reason);
	}

	private void applyConfiguration(CompactedTopic.TopicRecord topicRecord, String source) throws PlatformException {
		FleetConfiguration newest = ConfigurationDecoder.decodeConfiguration(topicRecord.value());
		if (this.configuration != null && newest.version() <= this.configuration.version()) {
			return;
		}
		this.configuration = newest;
		this.configurationRecord = topicRecord;
		this.backends.values().forEach(this::applyLimits);
		this.log.write(LogEvent.CONFIGURATION, "version", newest.version(), "bytes", topicRecord.value().length,
				"position", StorePosition.format(topicRecord.position()), "source", source);
	}

	// A version in the first snapshot may have been announced at any earlier time. It
	// is required at once, unless an entry that saw the announcement reports its age.
	private void addAnnouncedVersion(String model, long version, long sinceMs, String source) {
		if (announcedVersions(model).add(version, sinceMs)) {
			this.log.write(LogEvent.VERSION, "model", model, "version", version, "seen",
					sinceMs != AnnouncedVersions.UNKNOWN_TIME_MS, "source", source);
		}
	}

	Map<String, AnnouncedVersions> announcedVersionsByModel() {
		return this.announcedVersions;
	}

	/**
	 * Applies changed registrations of backend servers.
	 * @param keys ids of the changed backend servers
	 * @param source the store or entry that sent them, for the log
	 * @param knownBeforeMs time as of which all earlier changes were known
	 */
	void applyBackendRecords(List<String> keys, String source, long knownBeforeMs) {
		for (String id : keys) {
			try {
				applyBackendRecord(id, source, knownBeforeMs);
			}
			catch (RuntimeException | StackOverflowError ex) {
				logFault(id, source, ex);
			}
		}
	}

	private void applyBackendRecord(String id, String source, long knownBeforeMs) {
		CompactedTopic.TopicRecord topicRecord = this.backendRecords.record(id);
		if (!topicRecord.removed()) {
			this.grace.renewed(id);
			registerBackend(id, topicRecord, source, knownBeforeMs);
			return;
		}
		Backend backend = this.backends.get(id);
		boolean leaving = backend != null && backend.isLeaving();
		if (leaving || !this.grace.keep(id, knownBeforeMs)) {
			removeBackend(id, topicRecord.position(), source, knownBeforeMs);
		}
	}

	/**
	 * Removes backend servers whose registration lapsed and was not renewed in time.
	 */
	void removeLapsedBackends() {
		this.grace.takeDue()
			.forEach((removal) -> removeBackend(removal.id(), this.backendRecords.endPosition(), "lapsed",
					removal.knownBeforeMs()));
	}

	private void registerBackend(String id, CompactedTopic.TopicRecord topicRecord, String source, long knownBeforeMs) {
		BackendRecord record;
		try {
			record = BackendDecoder.decode(id, topicRecord.value());
		}
		catch (PlatformException ex) {
			logUnreadable(topicRecord, source, ex.getMessage());
			removeBackend(id, topicRecord.position(), "unreadable", knownBeforeMs);
			return;
		}
		this.unreadableRecords.remove(id);
		Backend known = this.backends.get(id);
		if (known != null && known.record().address().equals(record.address())
				&& known.record().processStartMs() == record.processStartMs()
				&& known.record().service().equals(record.service())) {
			if (known.record().draining() != record.draining()) {
				this.log.write(LogEvent.BACKEND, "backend", id, "draining", record.draining(), "position",
						StorePosition.format(topicRecord.position()), "source", source, "max-age-ms",
						this.clock.monotonicMs() - knownBeforeMs);
			}
			known.setRecord(record);
			this.backendListener.accept(known);
			return;
		}
		Address address = Addresses.parse(record.address()).orElse(null);
		if (address == null) {
			logUnreadable(topicRecord, source, "invalid address \"" + record.address() + "\"");
			removeBackend(id, topicRecord.position(), "unreadable", knownBeforeMs);
			return;
		}
		removeBackend(id, topicRecord.position(), "restarted", knownBeforeMs);
		BackendConnectionPool pool = new BackendConnectionPool(this.client, PeerClient.socketAddress(address),
				this.clock);
		Backend backend = new Backend(record, pool);
		applyLimits(backend);
		this.backends.put(id, backend);
		this.backendsByAddress.put(record.address(), backend);
		this.log.write(LogEvent.BACKEND, "backend", id, "service", record.service(), "address", record.address(),
				"zone", record.zone(), "draining", record.draining(), "cold-ms", record.remainingColdMs(), "position",
				StorePosition.format(topicRecord.position()), "source", source);
		this.backendListener.accept(backend);
	}

	private void applyLimits(Backend backend) {
		Service service = service(backend.record().service());
		if (service == null) {
			return;
		}
		backend.pool()
			.setMaxConnections(Math.max(MIN_CONNECTIONS,
					(int) (service.maxConnections() * MAX_CONNECTION_FRACTION / this.entryCount)));
		backend.load().setPlaces(service.engine().map(EngineProfile::batchSlots).orElse(0));
		if (service.warmupRequestsPerSecond() > 0) {
			double warmupPerSecond = service.warmupRequestsPerSecond() * this.settings.getBounds().getColdFactor()
					+ this.settings.getBounds().getColdSlack();
			String region = region(backend.record().zone());
			backend.warmupLimiter()
				.setLimit(WarmupShare.requestsPerSecond(warmupPerSecond, backend.record().id(), region, this.ownEntry,
						this.otherEntries));
		}
	}

	/**
	 * Returns a service of the configuration.
	 * @param name name of the service
	 * @return the service, or null if there is no configuration or it lacks the service
	 */
	Service service(String name) {
		return (this.configuration == null) ? null : this.configuration.service(name).orElse(null);
	}

	/**
	 * Returns the number of addresses at which backend servers of a service are
	 * registered. After a loss of power two processes may be registered at one address,
	 * until the registration of the earlier one lapses.
	 * @param service name of the service
	 * @return number of addresses
	 */
	int countBackendAddresses(String service) {
		return (int) this.backends.values()
			.stream()
			.filter((backend) -> backend.record().service().equals(service))
			.map((backend) -> backend.record().address())
			.distinct()
			.count();
	}

	private void removeBackend(String id, long position, String reason, long knownBeforeMs) {
		Backend backend = this.backends.remove(id);
		if (backend == null) {
			return;
		}
		backend.setRemoved(true);
		backend.pool().closeIdle();
		this.backendsByAddress.remove(backend.record().address(), backend);
		this.log.write(LogEvent.BACKEND, "backend", id, "gone", true, "position", StorePosition.format(position),
				"reason", reason, "draining", backend.isLeaving(), "max-age-ms",
				this.clock.monotonicMs() - knownBeforeMs);
	}

	/**
	 * Returns a process of a backend server.
	 * @param id id of the backend server
	 * @param processStartMs start of the process, Unix milliseconds
	 * @return the backend server, or null if this process is not registered
	 */
	Backend backend(String id, long processStartMs) {
		Backend backend = this.backends.get(id);
		return (backend != null && backend.record().processStartMs() == processStartMs) ? backend : null;
	}

	/**
	 * Returns the region of an availability zone.
	 * @param zone name of the zone
	 * @return name of the region; empty if the zone is not in the settings
	 */
	String region(String zone) {
		return this.regions.getOrDefault(zone, "");
	}

	/**
	 * Records an agent's report on its backend server.
	 * @param status the report
	 */
	void recordAgentReport(EngineStatus status) {
		this.agentReports.record(status).ifPresent(this.backendListener);
	}

	AgentReports agentReports() {
		return this.agentReports;
	}

}
