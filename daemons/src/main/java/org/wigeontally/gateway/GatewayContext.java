package org.wigeontally.gateway;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

import io.vertx.core.Vertx;

import org.wigeontally.eventlog.EventLog;
import org.wigeontally.fleet.ConfigurationLag;
import org.wigeontally.fleet.DrainSchedule;
import org.wigeontally.fleet.FleetConfiguration;
import org.wigeontally.fleet.InitialTimeout;
import org.wigeontally.fleet.RetryBudgetShare;
import org.wigeontally.harmful.HarmfulPartTracker;
import org.wigeontally.harmful.HarmfulRequestTracker;
import org.wigeontally.limits.MemoryBudget;
import org.wigeontally.limits.RejectedRequests;
import org.wigeontally.misc.Clock;
import org.wigeontally.placement.AnswerLengthEstimator;
import org.wigeontally.placement.EnginePlacement;
import org.wigeontally.placement.EngineProfile;
import org.wigeontally.placement.LeastLoadedPlacement;
import org.wigeontally.placement.PlacementStrategy;
import org.wigeontally.placement.ServiceTraits;
import org.wigeontally.placement.WorkAwarePlacement;
import org.wigeontally.schema.generated.EntryNews;
import org.wigeontally.schema.generated.HostBounds;
import org.wigeontally.schema.generated.HostSettings;

/**
 * State and services that all requests of an entry share. Runs on the event loop.
 */
final class GatewayContext {

	/** Fraction of the heap that requests and responses may take together. */
	private static final double MESSAGE_MEMORY_FRACTION = 0.25;

	private final Vertx vertx;

	private final Clock clock;

	private final HostSettings settings;

	private final EventLog log;

	private final FleetState fleet;

	private final BackendLimits limits;

	private final GatewayMetrics metrics;

	// The rest is for what the process itself needs, and for copies.
	private final MemoryBudget memory = MemoryBudget
		.of((long) (Runtime.getRuntime().maxMemory() * MESSAGE_MEMORY_FRACTION));

	private final HarmfulRequestTracker harmfulRequests;

	private final HarmfulPartGuard harmfulParts;

	private final CrashDetector crashDetector = new CrashDetector(this);

	private final RandomGenerator random = RandomGenerator.of("L64X128MixRandom");

	private final LoadHeader loadHeader;

	private final LeastLoadedPlacement plainPlacement = LeastLoadedPlacement.create(this.random);

	private final AnswerLengthEstimator answerLengths = AnswerLengthEstimator.create();

	private final Map<EngineProfile, EnginePlacement> enginePlacements = new HashMap<>();

	private final RankReservations rankReservations = new RankReservations(this);

	private final Map<ScheduledEngines, WorkAwarePlacement> scheduledPlacements = new HashMap<>();

	private final Map<String, RetryBudgetShare> retryBudgets = new HashMap<>();

	private final Map<String, RejectedRequests> rejectedByLimits = new HashMap<>();

	private final Map<String, InitialTimeout> initialTimeouts = new HashMap<>();

	private Runnable urgentNews = () -> {
	};

	private Consumer<String> slotListener = (service) -> {
	};

	private final ConfigurationLag configurationLag;

	private final Set<RequestRelay> requestsInFlight = new LinkedHashSet<>();

	private Optional<DrainSchedule> drainSchedule = Optional.empty();

	GatewayContext(Vertx vertx, Clock clock, HostSettings settings, EventLog log, FleetState fleet,
			GatewayMetrics metrics) {
		this.vertx = vertx;
		this.clock = clock;
		this.settings = settings;
		this.log = log;
		this.loadHeader = new LoadHeader(log);
		this.fleet = fleet;
		this.limits = new BackendLimits(fleet, clock, log);
		this.metrics = metrics;
		this.harmfulRequests = HarmfulRequestTracker.create(clock);
		this.configurationLag = ConfigurationLag.create(settings.getBounds().getConfigurationMs());
		this.harmfulParts = new HarmfulPartGuard(this, HarmfulPartTracker.create(clock));
	}

	Vertx vertx() {
		return this.vertx;
	}

	Clock clock() {
		return this.clock;
	}

	long nowMs() {
		return this.clock.monotonicMs();
	}

	HostSettings settings() {
		return this.settings;
	}

	EventLog log() {
		return this.log;
	}

	FleetState fleet() {
		return this.fleet;
	}

	BackendLimits limits() {
		return this.limits;
	}

	GatewayMetrics metrics() {
		return this.metrics;
	}

	/**
	 * Returns the budget for the bytes of all requests and responses.
	 * @return the budget
	 */
	MemoryBudget memory() {
		return this.memory;
	}

	HarmfulRequestTracker harmfulRequests() {
		return this.harmfulRequests;
	}

	HarmfulPartGuard harmfulParts() {
		return this.harmfulParts;
	}

	CrashDetector crashDetector() {
		return this.crashDetector;
	}

	LoadHeader loadHeader() {
		return this.loadHeader;
	}

	/**
	 * Returns what decides how requests of a service are placed.
	 * @param service name of the service
	 * @return its traits by the configuration in force and by what its backend servers
	 * told lately
	 */
	ServiceTraits traits(String service) {
		FleetConfiguration configuration = this.fleet.configuration();
		boolean ranked = configuration != null && configuration.isRanked(service);
		boolean variableSpeed = this.loadHeader.speedReports().isVariable(service, nowMs());
		return (ranked || variableSpeed) ? new ServiceTraits(ranked, variableSpeed) : ServiceTraits.UNIFORM;
	}

	RandomGenerator random() {
		return this.random;
	}

	AnswerLengthEstimator answerLengths() {
		return this.answerLengths;
	}

	LeastLoadedPlacement plainPlacement() {
		return this.plainPlacement;
	}

	/**
	 * Returns the placement for the engines of a service.
	 * @param engine performance profile of its engines
	 * @param traits traits of the service
	 * @return placement by work if the traits ask for it, or else by load
	 */
	PlacementStrategy enginePlacement(EngineProfile engine, ServiceTraits traits) {
		if (traits.isScheduled()) {
			return this.scheduledPlacements.computeIfAbsent(new ScheduledEngines(engine, traits.ranked()),
					(key) -> WorkAwarePlacement.of(key.engine(), key.ranked(), this.random));
		}
		return this.enginePlacements.computeIfAbsent(engine, (key) -> EnginePlacement.of(key, this.random));
	}

	RankReservations rankReservations() {
		return this.rankReservations;
	}

	RetryBudgetShare retryBudget(String service) {
		HostBounds bounds = this.settings.getBounds();
		return this.retryBudgets
			.computeIfAbsent(service,
					(key) -> RetryBudgetShare.of(bounds.getRetryRatio(), bounds.getRetrySlack(),
							(long) (bounds.getRetryWindowS() * 1000)))
			.setMaxEntries(this.fleet.entryCount());
	}

	RejectedRequests rejectedByLimits(String service) {
		return this.rejectedByLimits.computeIfAbsent(service, (key) -> RejectedRequests.create());
	}

	/**
	 * Estimates how long ago a caller made its first attempt. All callers of a route are
	 * assumed to start with the same timeout, so one with less time left is retrying.
	 * @param route name of the route
	 * @param callerTimeoutMs time that the caller has left
	 * @return milliseconds since its first attempt
	 */
	long elapsedBeforeMs(String route, long callerTimeoutMs) {
		return this.initialTimeouts.computeIfAbsent(route, (key) -> InitialTimeout.create())
			.recordAndEstimateElapsedMs(callerTimeoutMs);
	}

	/**
	 * Sets how the other entries are told news at once.
	 * @param action starts an exchange with them
	 */
	void onUrgentNews(Runnable action) {
		this.urgentNews = action;
	}

	/**
	 * Tells the other entries what this one has learnt, without waiting for the next
	 * regular exchange.
	 */
	void tellOtherEntries() {
		this.urgentNews.run();
	}

	/**
	 * Sets who is told that an attempt of this entry has ended.
	 * @param listener receives the name of the service
	 */
	void onSlotFreed(Consumer<String> listener) {
		this.slotListener = listener;
	}

	void slotFreed(String service) {
		this.slotListener.accept(service);
	}

	int inFlight() {
		return this.requestsInFlight.size();
	}

	/**
	 * Returns the requests in flight at this moment.
	 * @return a copy, since requests end while it is used
	 */
	List<RequestRelay> requestsInFlight() {
		return List.copyOf(this.requestsInFlight);
	}

	void requestStarted(RequestRelay request) {
		this.requestsInFlight.add(request);
	}

	void requestEnded(RequestRelay request) {
		this.requestsInFlight.remove(request);
	}

	boolean isDraining() {
		return this.drainSchedule.isPresent();
	}

	void startDraining(DrainSchedule schedule) {
		this.drainSchedule = Optional.of(schedule);
	}

	/**
	 * Returns whether this process can run a request to its end.
	 * @param expiresAtMs time by which the request has ended in any case, on the
	 * monotonic clock
	 * @return false if the process may end earlier
	 */
	boolean outlasts(long expiresAtMs) {
		return this.drainSchedule.isEmpty() || this.drainSchedule.get().isEndingInTime(expiresAtMs);
	}

	/**
	 * Returns whether this entry takes callers.
	 * @return true if it has a configuration, which is not outdated, and is not shutting
	 * down
	 */
	boolean isReady() {
		return !isDraining() && this.fleet.configuration() != null && !isConfigurationOutdated();
	}

	/**
	 * Compares the configuration in force with those of the other entries.
	 * @param others last messages of the live entries
	 */
	void updateConfigurationLag(List<EntryNews> others) {
		this.configurationLag.update(this.fleet.configurationVersion(), this.settings.getRegion(), others, nowMs());
	}

	boolean isConfigurationBehind() {
		return this.configurationLag.isBehind(nowMs());
	}

	boolean isConfigurationOutdated() {
		return this.configurationLag.isOutdated(nowMs());
	}

	private record ScheduledEngines(EngineProfile engine, boolean ranked) {

	}

}
