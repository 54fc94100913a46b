package org.wigeontally.emulator.soak;

import java.net.ConnectException;
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

	/** One of this many callers lets its connection rest. */
	private static final int RESTING_INTERVAL = 3;

	/** One of this many rests is as long as callers may let a connection rest. */
	private static final int LONGEST_REST_INTERVAL = 3;

	private final Vertx vertx;

	private final List<SoakEntry> entries;

	private final SoakHistory history;

	private final Random random;

	private final HttpClient client;

	private final SoakConfigurations configurations;

	private final boolean someRest;

	private final long timeoutMs;

	private final boolean staysWithStopping;

	private volatile boolean stopped;

	private int requests;

	SoakCallers(Vertx vertx, List<SoakEntry> entries, SoakHistory history, SoakConfigurations configurations,
			SoakSetting setting) {
		this.vertx = vertx;
		this.entries = entries;
		this.history = history;
		this.random = new Random(setting.seed());
		this.timeoutMs = setting.disruptions().callerTimeoutMs();
		this.configurations = configurations;
		this.someRest = setting.disruptions().hasChanges();
		this.staysWithStopping = setting.disruptions().hasSignals();
		this.client = createClient(setting.callers());
	}

	private HttpClient createClient(int connections) {
		return this.vertx.createHttpClient(new HttpClientOptions().setKeepAliveTimeout(20),
				new PoolOptions().setHttp1MaxSize(connections));
	}

	void start(int callers) {
		this.vertx.runOnContext((v) -> {
			for (int i = 0; i < callers; i++) {
				boolean rests = this.someRest && i % RESTING_INTERVAL == 0;
				send(new Caller(rests ? createClient(1) : this.client, rests),
						this.random.nextInt(this.entries.size()));
			}
		});
	}

	void stop() {
		this.stopped = true;
	}

	private void send(Caller caller, int entryIndex) {
		if (this.stopped) {
			return;
		}
		SoakEntry entry = this.entries.get(entryIndex);
		SoakHistory.Route route = SoakHistory.Route.values()[this.random.nextInt(SoakHistory.Route.values().length)];
		String attemptId = "soak-" + this.requests++;
		SoakHistory.Call call = new SoakHistory.Call(attemptId, route, entry, SoakHistory.nowMs(), 0, 0, null);
		TestCaller
			.sendRequest(caller.client(), entry.front(), "/" + route.pathName() + "/x", attemptId,
					FakeConfiguration.API_KEY, null, "body of " + attemptId, this.timeoutMs)
			.onComplete((result) -> {
				if (result.succeeded()) {
					this.history.answered(call, result.result());
					entry.answered();
					boolean leaves = result.result().status() == REFUSED && !staysWith(entry);
					if (leaves) {
						move(caller, entryIndex, 1 + this.random.nextInt(MAX_PAUSE_MS));
					}
					else {
						sendLater(caller, entryIndex, pauseMs(caller));
					}
					return;
				}
				String reason = result.cause().getMessage();
				if (result.cause() instanceof ConnectException) {
					this.history.notSent(call, reason);
				}
				else {
					this.history.broken(call, reason);
				}
				boolean overdue = SoakHistory.nowMs() - call.sentAtMs() >= this.timeoutMs;
				if (overdue && !entry.wasDisturbedSince(call.sentAtMs() - this.timeoutMs)) {
					this.history.violation("no answer until the deadline: " + call);
				}
				move(caller, entryIndex, PAUSE_AFTER_FAILURE_MS);
			});
	}

	// Some callers use an entry that stops until its process is gone.
	private boolean staysWith(SoakEntry entry) {
		return this.staysWithStopping && entry.isStopping() && this.random.nextBoolean();
	}

	private int otherThan(int entryIndex) {
		return (entryIndex + 1 + this.random.nextInt(this.entries.size() - 1)) % this.entries.size();
	}

	private long pauseMs(Caller caller) {
		if (!caller.rests()) {
			return 1 + this.random.nextInt(MAX_PAUSE_MS);
		}
		// The protocol lets callers use connections that rested so long.
		long longestMs = this.configurations.idleLimitMs() * 4 / 5;
		boolean isLongest = this.random.nextInt(LONGEST_REST_INTERVAL) == 0;
		return isLongest ? longestMs : 1 + this.random.nextLong(longestMs);
	}

	// A connection that is left would rest longer than it may.
	private void move(Caller caller, int entryIndex, long delayMs) {
		Caller moved = caller;
		if (caller.rests()) {
			caller.client().close();
			moved = new Caller(createClient(1), true);
		}
		sendLater(moved, otherThan(entryIndex), delayMs);
	}

	private void sendLater(Caller caller, int entryIndex, long delayMs) {
		this.vertx.setTimer(delayMs, (id) -> send(caller, entryIndex));
	}

	/** A caller that lets its connection rest has it for itself. */
	private record Caller(HttpClient client, boolean rests) {

	}

}
