package org.wigeontally.emulator.soak;

import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.URI;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Predicate;

import io.vertx.core.Future;
import io.vertx.core.Vertx;

import org.wigeontally.platform.standin.FakeStore;
import org.wigeontally.platform.standin.TestCaller;
import org.wigeontally.settings.Addresses;

/**
 * Runs entries as real processes under load and disrupts them: signals, restarts, store
 * outages, broken connections, faulty, limited and silent backend servers, new
 * configurations. Disruptions overlap. Checks while it runs, and at the end, what callers
 * and backend servers saw against the promises of the platform's pages. The sequence of
 * disruptions follows from the seed; their effects depend on the timing of the machine.
 */
public final class SoakRun implements AutoCloseable {

	private static final long START_TIMEOUT_MS = 30_000;

	/** Grace period, after which the platform kills a process. */
	private static final long GRACE_MS = 8_000;

	private static final long MAX_GAP_MS = 900;

	private static final long CALM_MS = 3_000;

	private static final double MIN_SERVED_AFTER_RECOVERY = 0.95;

	private static final long CONTACT_MS = 3_000;

	private static final long LIMIT_MS = 9_000;

	private static final int MAX_SEEDS = 3;

	private static final int MAX_HANGUPS = 8;

	private static final int MAX_HANGUP_INTERVAL_MS = 400;

	private static final int MAX_CONFIGURATIONS = 6;

	private static final int MAX_CONFIGURATION_INTERVAL_MS = 500;

	private static final long RELEASE_MS = 1_500;

	private static final int MIN_SILENCE_MS = 800;

	private static final int MAX_SILENCE_MS = 2_500;

	private static final long POLL_MS = 50;

	private static final long NEVER_MS = Long.MAX_VALUE;

	private final SoakSetting setting;

	private final Vertx vertx = Vertx.vertx();

	private final SoakHistory history;

	private final Random random;

	private final List<SoakEntry> entries = new ArrayList<>();

	private final List<SoakBackend> backends = new ArrayList<>();

	private final List<String> disruptions = new ArrayList<>();

	// Backend servers that are being replaced.
	private final Set<SoakBackend> replaced = new HashSet<>();

	private FakeStore store;

	private final SoakConfigurations configurations;

	// Disruptions that end later, in order of their ends.
	private final List<Ending> endings = new ArrayList<>();

	private SoakRun(SoakSetting setting) {
		this.setting = setting;
		this.history = new SoakHistory(setting.disruptions());
		this.random = new Random(setting.seed());
		this.configurations = new SoakConfigurations(setting);
	}

	/**
	 * Runs a soak.
	 * @param setting size, length and seed
	 * @param directory where the processes write their logs
	 * @return the result
	 * @throws Exception if the processes cannot be started
	 */
	public static SoakResult run(SoakSetting setting, Path directory) throws Exception {
		try (SoakRun run = new SoakRun(setting)) {
			run.start(directory);
			return run.soak();
		}
	}

	private void start(Path directory) throws Exception {
		this.store = await(FakeStore.start(this.vertx));
		writeConfiguration();
		for (int i = 0; i < this.setting.plainBackends() + this.setting.engines(); i++) {
			String zone = (this.setting.disruptions().hasSilences() && i % 2 == 1) ? "zone-b" : "zone-a";
			SoakBackend backend = await(SoakBackend.start(this.vertx, "backend-" + i, service(i), zone, this.history,
					this.random.nextLong()));
			this.backends.add(backend);
			this.store.write("servers", backend.id(), backend.registration());
		}
		for (int i = 0; i < this.setting.entries(); i++) {
			this.entries
				.add(new SoakEntry("entry-" + i, directory, await(LoopbackProxy.start(this.vertx, this.store.port()))));
		}
		for (SoakEntry entry : this.entries) {
			start(entry);
		}
		long deadlineMs = SoakHistory.nowMs() + START_TIMEOUT_MS;
		for (SoakEntry entry : this.entries) {
			awaitReady(entry, deadlineMs);
		}
	}

	private String service(int backendIndex) {
		if (backendIndex >= this.setting.plainBackends()) {
			return SoakBackend.ENGINES;
		}
		boolean isOther = this.setting.disruptions().hasChanges() && backendIndex % 2 == 1;
		return isOther ? SoakConfigurations.OTHER_DESK : "desk";
	}

	private static void awaitReady(SoakEntry entry, long deadlineMs) throws Exception {
		while (!isReady(entry)) {
			if (SoakHistory.nowMs() > deadlineMs) {
				throw new IllegalStateException(entry.name() + " is not ready in time");
			}
			Thread.sleep(POLL_MS);
		}
	}

	private static boolean isReady(SoakEntry entry) {
		try {
			HttpURLConnection connection = (HttpURLConnection) URI
				.create("http://" + Addresses.format(entry.ready()) + TestCaller.READINESS_PATH)
				.toURL()
				.openConnection();
			connection.setConnectTimeout(500);
			connection.setReadTimeout(500);
			return connection.getResponseCode() == 200;
		}
		catch (IOException ex) {
			// Not listening yet; the caller asks again.
			return false;
		}
	}

	private SoakResult soak() throws Exception {
		SoakCallers callers = new SoakCallers(this.vertx, this.entries, this.history, this.configurations,
				this.setting);
		callers.start(this.setting.callers());
		StallDetector stalls = StallDetector.start(this.vertx);
		long startMs = SoakHistory.nowMs();
		while (SoakHistory.nowMs() < startMs + this.setting.lengthMs()) {
			disrupt();
			sleepAndEnd(50 + this.random.nextInt((int) MAX_GAP_MS));
		}
		endAll();
		sleepAndEnd(this.setting.disruptions().recoveryMs());
		long calmFromMs = SoakHistory.nowMs();
		sleepAndEnd(CALM_MS);
		double served = this.history.servedShare(calmFromMs, SoakHistory.nowMs() - 500);
		if (served < MIN_SERVED_AFTER_RECOVERY) {
			this.history.violation("served after recovery: " + served + " of " + this.history.countCalls(calmFromMs));
		}
		callers.stop();
		Thread.sleep(CALM_MS);
		this.history.checkAtEnd();
		for (SoakEntry entry : this.entries) {
			long faults = entry.countFaultLines();
			if (faults > 0) {
				this.history.violation(entry.name() + " logged " + faults + " faults");
			}
		}
		return new SoakResult(this.history.countCalls(), this.history.servedShare(startMs, Long.MAX_VALUE),
				this.backends.stream().mapToInt(SoakBackend::connections).sum(), stalls.longestMs(),
				List.copyOf(this.disruptions), this.history.violations());
	}

	private void disrupt() throws Exception {
		SoakDisruptions kinds = this.setting.disruptions();
		if (kinds.hasChanges() && this.random.nextInt(3) == 0) {
			configureInSeries(1 + this.random.nextInt(MAX_CONFIGURATIONS));
			release(this.backends.get(this.random.nextInt(this.backends.size())));
			return;
		}
		if (kinds.hasSignals() && (!kinds.hasFaults() || this.random.nextInt(4) == 0)) {
			signalOrPlannedWork();
			return;
		}
		if (!kinds.hasFaults() || (kinds.hasSilences() && this.random.nextInt(4) == 0)) {
			silenceOrPlannedWork();
			return;
		}
		fault();
	}

	private void signalOrPlannedWork() {
		SoakEntry entry = this.entries.get(this.random.nextInt(this.entries.size()));
		switch (this.random.nextInt(8)) {
			case 0, 1, 2 -> hangUp(entry, 1 + this.random.nextInt(MAX_HANGUPS));
			case 3, 4, 5 -> terminate(entry);
			case 6 -> {
				terminate(entry);
				at(this.random.nextInt((int) GRACE_MS), entry::terminateAgain);
			}
			default -> configure();
		}
	}

	private void configureInSeries(int count) {
		if (count == 0) {
			return;
		}
		configure();
		at(this.random.nextInt(MAX_CONFIGURATION_INTERVAL_MS), () -> configureInSeries(count - 1));
	}

	// A backend server leaves, and a new one takes its place.
	private void release(SoakBackend backend) {
		if (!this.replaced.add(backend)) {
			return;
		}
		disruption("release " + backend.id());
		this.store.write("servers", backend.id(), backend.registration("draining"));
		at(RELEASE_MS, () -> {
			// Requests still cross its end where the store is disturbed.
			backend.setConnections(LoopbackProxy.Mode.RESET);
			await(backend.crash());
			await(backend.startServer());
			backend.setConnections(LoopbackProxy.Mode.PASS);
			this.store.write("servers", backend.id(), backend.registration());
			this.replaced.remove(backend);
		});
	}

	// A series that goes on while the process is stopped and started again.
	private void hangUp(SoakEntry entry, int count) {
		if (count == 0) {
			return;
		}
		disruption("SIGHUP " + entry.name());
		at(this.random.nextInt(MAX_HANGUP_INTERVAL_MS), () -> {
			if (this.random.nextBoolean()) {
				entry.changeSettings(this.entries.subList(0, 1 + this.random.nextInt(this.entries.size())));
			}
			if (entry.isRunning()) {
				entry.hangUp();
			}
			hangUp(entry, count - 1);
		});
	}

	// Until the Java runtime has called the main method, a signal ends the process.
	// Nobody
	// has had an answer of it then.
	private void startAgainWhatEnded() throws IOException {
		for (SoakEntry entry : this.entries) {
			if (entry.hasEndedByItself()) {
				if (entry.isAnswering()) {
					this.history.violation(entry.name() + " ended by itself");
				}
				disruption("end of " + entry.name());
				start(entry);
			}
		}
	}

	private void start(SoakEntry entry) throws IOException {
		entry.start(this.entries.subList(0, Math.min(MAX_SEEDS, this.entries.size())));
	}

	private void silenceOrPlannedWork() {
		SoakBackend backend = this.backends.get(this.random.nextInt(this.backends.size()));
		switch (this.random.nextInt(8)) {
			case 0, 1, 2 -> silence(backend.id(), (other) -> other == backend);
			case 3, 4 -> silence("service of " + backend.id(), (other) -> other.isEngine() == backend.isEngine());
			case 5 -> silence(backend.zone(), (other) -> other.zone().equals(backend.zone()));
			case 6 -> configure();
			default -> terminate(this.entries.get(this.random.nextInt(this.entries.size())));
		}
	}

	private void fault() throws Exception {
		SoakEntry entry = this.entries.get(this.random.nextInt(this.entries.size()));
		SoakBackend backend = this.backends.get(this.random.nextInt(this.backends.size()));
		long lengthMs = 300 + this.random.nextInt(3_700);
		switch (this.random.nextInt(12)) {
			case 0, 1 -> terminate(entry);
			case 2 -> kill(entry);
			case 3 -> pause(entry, lengthMs);
			case 4, 5 -> cut(entry.name() + " store", entry.store()::setMode, lengthMs);
			case 6 -> storeMode(lengthMs);
			case 7 -> cut(backend.id(), backend::setConnections, Math.min(lengthMs, 2_000));
			case 8 -> faulty(backend, lengthMs * 2);
			case 9 -> crash(backend, lengthMs);
			case 10 -> limit(backend);
			default -> configure();
		}
	}

	private void disruption(String text) {
		this.disruptions.add(SoakHistory.nowMs() + " " + text);
	}

	// At least one entry stays as it is, so that callers have somewhere to go.
	private boolean mayStop(SoakEntry entry) {
		long others = this.entries.stream()
			.filter((other) -> other != entry && other.isRunning() && !other.isStopping())
			.filter((other) -> !other.isPaused())
			.count();
		return entry.isRunning() && !entry.isStopping() && others > 0;
	}

	private void terminate(SoakEntry entry) {
		if (!mayStop(entry)) {
			return;
		}
		disruption("SIGTERM " + entry.name());
		entry.terminate();
		startAgainWhenEnded(entry, SoakHistory.nowMs() + GRACE_MS);
	}

	// A paused process has its grace period from when it goes on.
	private void startAgainWhenEnded(SoakEntry entry, long deadlineMs) {
		at(POLL_MS, () -> {
			long nowMs = SoakHistory.nowMs();
			if (!entry.isRunning()) {
				start(entry);
			}
			else if (entry.isPaused()) {
				startAgainWhenEnded(entry, Math.max(deadlineMs, nowMs + GRACE_MS));
			}
			else if (nowMs > deadlineMs) {
				this.history.violation(entry.name() + " did not end in time after SIGTERM");
				entry.kill(nowMs);
				startAgainWhenEnded(entry, NEVER_MS);
			}
			else {
				startAgainWhenEnded(entry, deadlineMs);
			}
		});
	}

	private void kill(SoakEntry entry) {
		if (!mayStop(entry)) {
			return;
		}
		disruption("SIGKILL " + entry.name());
		entry.kill(SoakHistory.nowMs());
		startAgainWhenEnded(entry, NEVER_MS);
	}

	private void pause(SoakEntry entry, long lengthMs) throws IOException {
		if (!mayStop(entry) || entry.isPaused()) {
			return;
		}
		disruption("SIGSTOP " + entry.name() + " for " + lengthMs);
		entry.pause(SoakHistory.nowMs());
		at(lengthMs, () -> entry.resume(SoakHistory.nowMs()));
	}

	private void cut(String name, Consumer<LoopbackProxy.Mode> connections, long lengthMs) {
		LoopbackProxy.Mode mode = LoopbackProxy.Mode.values()[1
				+ this.random.nextInt(LoopbackProxy.Mode.values().length - 1)];
		disruption(mode + " " + name + " for " + lengthMs);
		connections.accept(mode);
		at(lengthMs, () -> connections.accept(LoopbackProxy.Mode.PASS));
	}

	private void storeMode(long lengthMs) {
		FakeStore.Mode mode = FakeStore.Mode.values()[1 + this.random.nextInt(FakeStore.Mode.values().length - 1)];
		disruption("store " + mode + " for " + lengthMs);
		this.store.setMode(mode);
		at(lengthMs, () -> this.store.setMode(FakeStore.Mode.SERVING));
	}

	private void faulty(SoakBackend backend, long lengthMs) {
		disruption("faulty " + backend.id() + " for " + lengthMs);
		backend.setFaulty(true);
		at(lengthMs, () -> backend.setFaulty(false));
	}

	// All begin together, and each goes on at a time of its own.
	private void silence(String name, Predicate<SoakBackend> affected) {
		for (SoakBackend backend : this.backends) {
			long lengthMs = MIN_SILENCE_MS + this.random.nextInt(MAX_SILENCE_MS - MIN_SILENCE_MS);
			if (affected.test(backend)) {
				backend.fallSilent(lengthMs).ifPresent((end) -> {
					disruption("silence of " + backend.id() + " for " + lengthMs + " (" + name + ")");
					at(lengthMs, end::run);
				});
			}
		}
	}

	private void crash(SoakBackend backend, long lengthMs) throws Exception {
		if (!this.replaced.add(backend)) {
			return;
		}
		disruption("crash " + backend.id() + " for " + lengthMs);
		await(backend.crash());
		at(lengthMs, () -> {
			await(backend.startServer());
			this.store.write("servers", backend.id(), backend.registration());
			this.replaced.remove(backend);
		});
	}

	private void limit(SoakBackend backend) {
		double perSecond = 0.5 + this.random.nextInt(10);
		if (backend.isLimited()) {
			return;
		}
		disruption("limit " + backend.id() + " " + perSecond);
		backend.setLimit(perSecond);
		long sinceMs = SoakHistory.nowMs();
		at(LIMIT_MS, () -> {
			// Disruptions of an entry excuse it, and arrivals do not tell whose they are.
			boolean calm = this.entries.stream().noneMatch((entry) -> entry.wasDisturbedSince(sinceMs));
			double share = backend.worstShare(CONTACT_MS);
			if (calm && share > 1) {
				this.history.violation("limit of " + backend.id() + " exceeded: " + share + " of what is allowed");
			}
			backend.setLimit(0);
		});
	}

	private void configure() {
		writeConfiguration();
		disruption("configuration " + this.configurations.version() + " with an idle limit of "
				+ this.configurations.idleLimitMs());
	}

	private void writeConfiguration() {
		this.store.write("op", "config", this.configurations.next());
	}

	private void at(long delayMs, Action action) {
		this.endings.add(new Ending(SoakHistory.nowMs() + delayMs, action));
	}

	private void sleepAndEnd(long lengthMs) throws Exception {
		long endMs = SoakHistory.nowMs() + lengthMs;
		while (SoakHistory.nowMs() < endMs) {
			for (Ending ending : List.copyOf(this.endings)) {
				if (SoakHistory.nowMs() >= ending.atMs()) {
					this.endings.remove(ending);
					ending.action().run();
				}
			}
			startAgainWhatEnded();
			Thread.sleep(10);
		}
	}

	private void endAll() throws Exception {
		while (!this.endings.isEmpty()) {
			sleepAndEnd(POLL_MS);
		}
	}

	private static <T> T await(Future<T> future) throws Exception {
		return future.toCompletionStage().toCompletableFuture().get(START_TIMEOUT_MS, TimeUnit.MILLISECONDS);
	}

	@Override
	public void close() throws Exception {
		for (SoakEntry entry : this.entries) {
			entry.close();
		}
		await(this.vertx.close());
	}

	/** Something that a run does later. */
	@FunctionalInterface
	private interface Action {

		void run() throws Exception;

	}

	private record Ending(long atMs, Action action) {

	}

}
