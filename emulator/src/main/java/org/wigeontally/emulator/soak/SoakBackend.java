package org.wigeontally.emulator.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.JsonObject;
import io.vertx.core.net.NetSocket;

import org.wigeontally.emulator.limits.LimitWindows;
import org.wigeontally.platform.standin.FakeBackend;
import org.wigeontally.platform.standin.Silence;

/**
 * A backend server that answers in many ways, some of them wrong, names a limit from time
 * to time, and crashes and starts again. Used by the thread of its Vert.x instance, but
 * for the settings.
 */
final class SoakBackend implements FakeBackend.Behaviour {

	/** Service of the engines. */
	static final String ENGINES = "engines";

	private static final int SLOTS = 16;

	private static final int MAX_DELAY_MS = 60;

	private static final int MAX_EVENT_PAUSE_MS = 60;

	private static final int LATE_COPY_MS = 40;

	/** One of this many events is sent in two halves. */
	private static final int SPLIT_INTERVAL = 4;

	/** Time between two silences. */
	private static final long SILENCE_INTERVAL_MS = 1_500;

	private final Vertx vertx;

	private final String id;

	private final String service;

	private final boolean engine;

	private final String zone;

	private final SoakHistory history;

	private final Random random;

	private final LoopbackProxy proxy;

	private FakeBackend server;

	private int starts;

	private long soundsUntilMs;

	private volatile boolean faulty;

	private volatile double limit;

	private volatile long limitedSinceMs;

	// Requests that this process runs now.
	private final Set<String> running = ConcurrentHashMap.newKeySet();

	private volatile boolean reachable = true;

	private final List<Long> limitedArrivalsMs = new CopyOnWriteArrayList<>();

	private SoakBackend(Vertx vertx, String id, String service, String zone, SoakHistory history, long seed,
			LoopbackProxy proxy) {
		this.vertx = vertx;
		this.id = id;
		this.service = service;
		this.engine = service.equals(ENGINES);
		this.zone = zone;
		this.history = history;
		this.random = new Random(seed);
		this.proxy = proxy;
	}

	static Future<SoakBackend> start(Vertx vertx, String id, String service, String zone, SoakHistory history,
			long seed) {
		return LoopbackProxy.start(vertx, 0)
			.map((proxy) -> new SoakBackend(vertx, id, service, zone, history, seed, proxy))
			.compose((backend) -> backend.startServer().map(backend));
	}

	Future<Void> startServer() {
		this.starts++;
		return FakeBackend.start(this.vertx, this.id, this).onSuccess((started) -> {
			this.server = started;
			this.proxy.setTargetPort(started.port());
		}).mapEmpty();
	}

	String id() {
		return this.id;
	}

	int connections() {
		return this.proxy.connections();
	}

	String zone() {
		return this.zone;
	}

	boolean isEngine() {
		return this.engine;
	}

	JsonObject registration() {
		return registration("ready");
	}

	/**
	 * Returns the registration in a state.
	 * @param state the state
	 * @return the content of the store record
	 */
	JsonObject registration(String state) {
		return FakeBackend.registration(this.proxy.port(), this.service, this.zone, state, this.engine ? 1 : 0)
			.put("born", this.starts);
	}

	/**
	 * Ends the process with all its requests.
	 * @return completes when it no longer listens
	 */
	Future<Void> crash() {
		this.running.forEach(this.history::spoiled);
		this.running.clear();
		this.proxy.resetAll();
		setLimit(0);
		return this.server.crash();
	}

	/**
	 * Disrupts the connections, or lets them go on. What runs meanwhile may stay without
	 * an answer.
	 * @param mode what becomes of their bytes
	 */
	void setConnections(LoopbackProxy.Mode mode) {
		this.reachable = mode == LoopbackProxy.Mode.PASS;
		this.running.forEach(this.history::spoiled);
		this.proxy.setMode(mode);
	}

	/**
	 * Falls silent, unless it did so a short time ago.
	 * @param lengthMs length of the silence
	 * @return ends the silence; empty if there is none
	 */
	Optional<Runnable> fallSilent(long lengthMs) {
		long nowMs = SoakHistory.nowMs();
		if (nowMs < this.soundsUntilMs) {
			return Optional.empty();
		}
		this.soundsUntilMs = nowMs + lengthMs + SILENCE_INTERVAL_MS;
		Silence silence = this.server.silence();
		silence.begin();
		return Optional.of(silence::end);
	}

	void setFaulty(boolean isFaulty) {
		this.faulty = isFaulty;
	}

	boolean isLimited() {
		return this.limit > 0;
	}

	/**
	 * Names a limit from now on.
	 * @param perSecond requests per second; 0 for none
	 */
	void setLimit(double perSecond) {
		this.limitedArrivalsMs.clear();
		this.limitedSinceMs = SoakHistory.nowMs();
		this.limit = perSecond;
	}

	/**
	 * Returns the requests of the worst four seconds since a limit was named, divided by
	 * what the platform allows.
	 * @param contactMs time for which it may be exceeded at first
	 * @return the share; 0 without a limit
	 */
	double worstShare(long contactMs) {
		if (this.limit == 0) {
			return 0;
		}
		long fromMs = this.limitedSinceMs + contactMs;
		List<Long> times = this.limitedArrivalsMs.stream().filter((atMs) -> atMs >= fromMs).toList();
		return LimitWindows.most(times) / LimitWindows.allowed(this.limit);
	}

	@Override
	public void respond(FakeBackend.ReceivedRequest request, NetSocket socket) {
		if (request.attemptId() == null) {
			socket.write(FakeBackend.response(request, "200 OK", "", ""));
			return;
		}
		if (this.limit > 0) {
			this.limitedArrivalsMs.add(SoakHistory.nowMs());
		}
		int draw = this.faulty ? this.random.nextInt(100) : 100;
		String headers = FakeBackend.signatureHeader("s-" + this.id)
				+ FakeBackend.loadHeader(this.running.size(), SLOTS)
				+ (isLimited() ? FakeBackend.limitHeader("" + this.limit) : "");
		if (draw < 4) {
			socket.write(FakeBackend.notRunResponse(request, ""));
			return;
		}
		this.history.ran(request.attemptId());
		if (!this.reachable) {
			this.history.spoiled(request.attemptId());
		}
		this.running.add(request.attemptId());
		if (draw < 8) {
			this.running.remove(request.attemptId());
			socket.write(FakeBackend.response(request, "500 Internal Server Error", headers, "failed"));
			return;
		}
		if (draw < 12) {
			breakOff(request);
			socket.close();
			return;
		}
		if (this.engine) {
			respondWithStream(request, socket, headers, draw);
			return;
		}
		String answer = FakeBackend.response(request, "200 OK", headers, SoakHistory.plainBody(request.attemptId()));
		later(1 + this.random.nextInt(MAX_DELAY_MS), () -> {
			if (draw < 16) {
				breakOff(request);
				socket.write(answer.substring(0, answer.length() - 3)).onComplete((written) -> socket.close());
				return;
			}
			this.running.remove(request.attemptId());
			socket.write(answer);
			if (draw < 22) {
				later(LATE_COPY_MS, () -> socket.write(answer));
			}
		});
	}

	private void breakOff(FakeBackend.ReceivedRequest request) {
		this.history.spoiled(request.attemptId());
		this.running.remove(request.attemptId());
	}

	private void later(long delayMs, Runnable action) {
		Silence silence = this.server.silence();
		this.vertx.setTimer(delayMs, (timer) -> silence.whenOver(action));
	}

	private void respondWithStream(FakeBackend.ReceivedRequest request, NetSocket socket, String headers, int draw) {
		String last = request.headers().get("last-event-id");
		int first = (last != null) ? Integer.parseInt(last) + 1 : 0;
		int run = this.history.streamBegan(request.attemptId(), first);
		List<Buffer> pieces = new ArrayList<>();
		pieces.add(Buffer.buffer(FakeBackend.eventStreamHead(request, headers)));
		for (int number = first; number < this.history.eventCount(request.attemptId()); number++) {
			Buffer chunk = Buffer.buffer(FakeBackend.chunk(SoakHistory.event(request.attemptId(), number, run)));
			int split = (this.random.nextInt(SPLIT_INTERVAL) == 0) ? chunk.length() / 2 : 0;
			if (split > 0) {
				pieces.add(chunk.slice(0, split));
			}
			pieces.add(chunk.slice(split, chunk.length()));
		}
		pieces.add(Buffer.buffer(FakeBackend.LAST_CHUNK));
		int cutAfter = (draw < 20) ? this.random.nextInt(pieces.size()) : pieces.size();
		writePieces(request, socket, pieces, 0, cutAfter);
	}

	private void writePieces(FakeBackend.ReceivedRequest request, NetSocket socket, List<Buffer> pieces, int next,
			int cutAfter) {
		if (next == pieces.size()) {
			this.running.remove(request.attemptId());
			return;
		}
		if (next == cutAfter) {
			// Breaks off within an event.
			breakOff(request);
			socket.write(pieces.get(next).slice(0, pieces.get(next).length() / 2))
				.onComplete((written) -> socket.close());
			return;
		}
		socket.write(pieces.get(next));
		later(1 + this.random.nextInt(MAX_EVENT_PAUSE_MS),
				() -> writePieces(request, socket, pieces, next + 1, cutAfter));
	}

}
