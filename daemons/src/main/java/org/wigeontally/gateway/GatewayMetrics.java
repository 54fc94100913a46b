package org.wigeontally.gateway;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/**
 * Metrics of an entry. The number of label values is bounded: routes, organisations and
 * services come from the configuration, outcomes from a fixed list.
 */
final class GatewayMetrics {

	private static final double[] BUCKET_BOUNDS_SECONDS = { 0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 0.75, 1, 1.5, 2,
			3, 6 };

	private static final double[] RATIO_BOUNDS = { 0.25, 0.5, 0.75, 0.9, 1.1, 1.35, 2, 4, 8 };

	private static final double MS_PER_SECOND = 1000.0;

	private final PrometheusRegistry registry = new PrometheusRegistry();

	private final Counter answers = Counter.builder()
		.name("wigeontally_answers_total")
		.help("Answers to callers by route, organisation and outcome")
		.labelNames("route", "organisation", "outcome")
		.register(this.registry);

	private final Counter attempts = Counter.builder()
		.name("wigeontally_attempts_total")
		.help("Attempts at backend servers by service and outcome")
		.labelNames("service", "outcome")
		.register(this.registry);

	private final Histogram firstByteSeconds = Histogram.builder()
		.name("wigeontally_first_byte_seconds")
		.help("Time from the request to the first byte or event that was passed on")
		.labelNames("service")
		.classicOnly()
		.classicUpperBounds(BUCKET_BOUNDS_SECONDS)
		.register(this.registry);

	private final Histogram answerSeconds = Histogram.builder()
		.name("wigeontally_answer_seconds")
		.help("Time from the request to the end of its answer")
		.labelNames("service")
		.classicOnly()
		.classicUpperBounds(BUCKET_BOUNDS_SECONDS)
		.register(this.registry);

	private final Histogram firstEventRatio = Histogram.builder()
		.name("wigeontally_first_event_ratio")
		.help("Time to the first event of a stream, relative to its prediction; only services placed by work")
		.labelNames("service")
		.classicOnly()
		.classicUpperBounds(RATIO_BOUNDS)
		.register(this.registry);

	private final Histogram answerTokensRatio = Histogram.builder()
		.name("wigeontally_answer_tokens_ratio")
		.help("Tokens of a stream, relative to their estimate; only services placed by work")
		.labelNames("service")
		.classicOnly()
		.classicUpperBounds(RATIO_BOUNDS)
		.register(this.registry);

	private final Gauge configurationVersion = Gauge.builder()
		.name("wigeontally_configuration_version")
		.help("Version of the configuration in force")
		.register(this.registry);

	private final Gauge inFlight = Gauge.builder()
		.name("wigeontally_requests_in_flight")
		.help("Requests that were taken and are not answered")
		.register(this.registry);

	private final Gauge storeAgeSeconds = Gauge.builder()
		.name("wigeontally_store_age_seconds")
		.help("Time since the store last answered, by topic")
		.labelNames("topic")
		.register(this.registry);

	private final Gauge entries = Gauge.builder()
		.name("wigeontally_entries")
		.help("Entries heard of lately, this one included")
		.register(this.registry);

	private final Gauge harmfulParts = Gauge.builder()
		.name("wigeontally_harmful_prompt_parts")
		.help("Parts of prompts whose requests are refused, because they crash backend servers")
		.register(this.registry);

	private final Counter backendCrashes = Counter.builder()
		.name("wigeontally_backend_crashes_total")
		.help("Crashes of backend servers that ran requests of this entry, by service")
		.labelNames("service")
		.register(this.registry);

	private final Gauge limitedBackends = Gauge.builder()
		.name("wigeontally_limited_backends")
		.help("Backend servers that name a limit for the requests of all entries")
		.register(this.registry);

	private final Counter permits = Counter.builder()
		.name("wigeontally_permits_total")
		.help("Permits for requests to limited backend servers by service and outcome")
		.labelNames("service", "outcome")
		.register(this.registry);

	private final Counter directoryAnswers = Counter.builder()
		.name("wigeontally_directory_answers_total")
		.help("Answers of the directory by whether they named an entry")
		.labelNames("named")
		.register(this.registry);

	private final Gauge reservedSlots = Gauge.builder()
		.name("wigeontally_reserved_slots")
		.help("Slots of each engine that are kept from requests of a rank, by service and rank")
		.labelNames("service", "rank")
		.register(this.registry);

	private final Counter rankedRefusals = Counter.builder()
		.name("wigeontally_ranked_refusals_total")
		.help("Requests for engines of ranked services that were refused, by service, rank and reason")
		.labelNames("service", "rank", "reason")
		.register(this.registry);

	private final Counter overdueRequests = Counter.builder()
		.name("wigeontally_requests_overdue_total")
		.help("Requests without an answer a second after their callers' timeouts")
		.register(this.registry);

	PrometheusRegistry registry() {
		return this.registry;
	}

	void recordAnswer(String route, String organisation, String outcome) {
		this.answers.labelValues(route, organisation, outcome).inc();
	}

	void recordDirectoryAnswer(boolean namesEntry) {
		this.directoryAnswers.labelValues(Boolean.toString(namesEntry)).inc();
	}

	void recordOverdueRequest() {
		this.overdueRequests.inc();
	}

	void recordAttempt(String service, String outcome) {
		this.attempts.labelValues(service, outcome).inc();
	}

	void recordFirstByteTime(String service, long ms) {
		this.firstByteSeconds.labelValues(service).observe(ms / MS_PER_SECOND);
	}

	void recordAnswerTime(String service, long ms) {
		this.answerSeconds.labelValues(service).observe(ms / MS_PER_SECOND);
	}

	void recordFirstEventRatio(String service, double ratio) {
		this.firstEventRatio.labelValues(service).observe(ratio);
	}

	void recordAnswerTokensRatio(String service, double ratio) {
		this.answerTokensRatio.labelValues(service).observe(ratio);
	}

	void setHarmfulParts(int count) {
		this.harmfulParts.set(count);
	}

	void recordBackendCrash(String service) {
		this.backendCrashes.labelValues(service).inc();
	}

	void setLimitedBackends(int count) {
		this.limitedBackends.set(count);
	}

	void recordPermits(String service, String outcome, int count) {
		if (count > 0) {
			this.permits.labelValues(service, outcome).inc(count);
		}
	}

	void setReservedSlots(String service, int rank, int slots) {
		this.reservedSlots.labelValues(service, Integer.toString(rank)).set(slots);
	}

	void recordRankedRefusal(String service, int rank, String reason) {
		this.rankedRefusals.labelValues(service, Integer.toString(rank), reason).inc();
	}

	void setState(long configurationVersion, int requestsInFlight, int knownEntries) {
		this.configurationVersion.set(configurationVersion);
		this.inFlight.set(requestsInFlight);
		this.entries.set(knownEntries);
	}

	void setStoreAge(String topic, long ms) {
		this.storeAgeSeconds.labelValues(topic).set(ms / MS_PER_SECOND);
	}

}
