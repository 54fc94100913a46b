package org.wigeontally.emulator.soak;

import java.util.List;
import java.util.Random;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.PoolOptions;

import org.wigeontally.platform.standin.FakeConfiguration;
import org.wigeontally.platform.standin.TestCaller;

/**
 * Callers that each send one request after the other. They keep their connections to an
 * entry until it closes them, also while it shuts down, and change to another one when it
 * refuses a request or leaves one without a response. Runs on one event loop.
 */
final class SoakCallers {

	private static final int REFUSED = 503;

	private static final long PAUSE_AFTER_FAILURE_MS = 50;

	private static final int MAX_PAUSE_MS = 40;

	private final Vertx vertx;

	private final List<SoakEntry> entries;

	private final SoakHistory history;

	private final Random random;

	private final HttpClient client;

	private final long timeoutMs;

	private final boolean staysWithStopping;

	private volatile boolean stopped;

	private int requests;

	SoakCallers(Vertx vertx, List<SoakEntry> entries, SoakHistory history, SoakSetting setting) {
		this.vertx = vertx;
		this.entries = entries;
		this.history = history;
		this.random = new Random(setting.seed());
		this.timeoutMs = setting.disruptions().callerTimeoutMs();
		this.staysWithStopping = setting.disruptions().hasSignals();
		this.client = vertx.createHttpClient(new HttpClientOptions().setKeepAliveTimeout(20),
				new PoolOptions().setHttp1MaxSize(setting.callers()));
	}

	void start(int callers) {
		this.vertx.runOnContext((v) -> {
			for (int i = 0; i < callers; i++) {
				send(this.random.nextInt(this.entries.size()));
			}
		});
	}

	void stop() {
		this.stopped = true;
	}

	private void send(int entryIndex) {
		if (this.stopped) {
			return;
		}
		SoakEntry entry = this.entries.get(entryIndex);
		SoakHistory.Route route = SoakHistory.Route.values()[this.random.nextInt(SoakHistory.Route.values().length)];
		String attemptId = "soak-" + this.requests++;
		SoakHistory.Call call = new SoakHistory.Call(attemptId, route, entry, SoakHistory.nowMs(), 0, 0, null);
		TestCaller
			.sendRequest(this.client, entry.front(), "/" + route.pathName() + "/x", attemptId,
					FakeConfiguration.API_KEY, null, "body of " + attemptId, this.timeoutMs)
			.onComplete((result) -> {
				if (result.succeeded()) {
					this.history.answered(call, result.result());
					entry.answered();
					boolean leaves = result.result().status() == REFUSED && !staysWith(entry);
					sendLater(leaves ? otherThan(entryIndex) : entryIndex, 1 + this.random.nextInt(MAX_PAUSE_MS));
					return;
				}
				String reason = result.cause().getMessage();
				this.history.broken(call, reason);
				boolean overdue = SoakHistory.nowMs() - call.sentAtMs() >= this.timeoutMs;
				if (overdue && !entry.wasDisturbedSince(call.sentAtMs() - this.timeoutMs)) {
					this.history.violation("no answer until the deadline: " + call);
				}
				sendLater(otherThan(entryIndex), PAUSE_AFTER_FAILURE_MS);
			});
	}

	// Some callers use an entry that stops until its process is gone.
	private boolean staysWith(SoakEntry entry) {
		return this.staysWithStopping && entry.isStopping() && this.random.nextBoolean();
	}

	private int otherThan(int entryIndex) {
		return (entryIndex + 1 + this.random.nextInt(this.entries.size() - 1)) % this.entries.size();
	}

	private void sendLater(int entryIndex, long delayMs) {
		this.vertx.setTimer(delayMs, (id) -> send(entryIndex));
	}

}
