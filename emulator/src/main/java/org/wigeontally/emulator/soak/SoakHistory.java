package org.wigeontally.emulator.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

import org.wigeontally.misc.Clock;
import org.wigeontally.platform.standin.TestCaller;

/**
 * What callers and backend servers saw, and which promises it breaks. Thread-safe.
 */
final class SoakHistory {

	/** Routes of the soak. */
	enum Route {

		/** May run more than once. */
		PLAIN("plain"),
		/** Runs at most once. */
		ONCE("once"),
		/** A stream that may be resumed. */
		EVENTS("events");

		private final String pathName;

		Route(String pathName) {
			this.pathName = pathName;
		}

		String pathName() {
			return this.pathName;
		}

	}

	private static final int NOT_SENT = -1;

	private static final int SHORT_STREAM_EVENTS = 6;

	private static final int LONG_STREAM_EVENTS = 40;

	/** One of this many streams is a long one. */
	private static final int LONG_STREAM_INTERVAL = 2;

	/**
	 * Time before the timeout of a route from which on an entry may end a request for it.
	 */
	private static final long TIMEOUT_TOLERANCE_MS = 100;

	/** Share of its time after which a request may end without an answer. */
	private static final double LOST_SHARE = 0.7;

	/** Time after which a request that was sent has been read. */
	private static final long READ_MS = 200;

	private final SoakDisruptions disruptions;

	private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();

	// Requests whose backend server broke off, lost the answer or crashed.
	private final Map<String, Boolean> spoiled = new ConcurrentHashMap<>();

	private final List<Call> calls = new CopyOnWriteArrayList<>();

	private final List<String> violations = new CopyOnWriteArrayList<>();

	/**
	 * Creates an empty history.
	 * @param disruptions what disrupts the entries
	 */
	SoakHistory(SoakDisruptions disruptions) {
		this.disruptions = disruptions;
	}

	static long nowMs() {
		return Clock.system().monotonicMs();
	}

	void ran(String attemptId) {
		this.runs.computeIfAbsent(attemptId, (key) -> new AtomicInteger()).incrementAndGet();
	}

	void spoiled(String attemptId) {
		this.spoiled.put(attemptId, true);
	}

	void violation(String text) {
		this.violations.add(text);
	}

	/**
	 * Returns the body of a complete answer.
	 * @param attemptId id of the request
	 * @return the body
	 */
	static String plainBody(String attemptId) {
		return "answer of " + attemptId;
	}

	/**
	 * Returns the number of events of a stream. Long ones are likely to meet a silence.
	 * @param attemptId id of the request
	 * @return the number
	 */
	int eventCount(String attemptId) {
		boolean isLong = this.disruptions.hasSilences() && attemptId.hashCode() % LONG_STREAM_INTERVAL == 0;
		return isLong ? LONG_STREAM_EVENTS : SHORT_STREAM_EVENTS;
	}

	static String event(String attemptId, int number) {
		return "id: " + number + "\ndata: " + attemptId + "/" + number + "\n\n";
	}

	private String expectedBody(Route route, String attemptId) {
		if (route != Route.EVENTS) {
			return plainBody(attemptId);
		}
		StringBuilder body = new StringBuilder();
		for (int number = 0; number < eventCount(attemptId); number++) {
			body.append(event(attemptId, number));
		}
		return body.toString();
	}

	/**
	 * Records a response.
	 * @param call the request
	 * @param response the response
	 */
	void answered(Call call, TestCaller.Response response) {
		this.calls.add(call.ended(response.status(), null));
		boolean success = response.status() / 100 == 2;
		if (success && !response.body().equals(expectedBody(call.route(), call.attemptId()))) {
			violation("crossed or incomplete: " + call + " got \"" + response.body().replace("\n", "|") + "\"");
		}
		if (success && response.signature() == null) {
			violation("success without a signature: " + call);
		}
	}

	/**
	 * Records that there was no complete response.
	 * @param call the request
	 * @param reason what the caller saw
	 */
	void broken(Call call, String reason) {
		this.calls.add(call.ended(0, reason));
	}

	/**
	 * Records that there was no connection to send a request on.
	 * @param call the request
	 * @param reason what the caller saw
	 */
	void notSent(Call call, String reason) {
		this.calls.add(call.ended(NOT_SENT, reason));
	}

	/**
	 * Checks what can be told only at the end: requests that ran twice, refusals of
	 * requests that ran or that the configuration allows, and requests that an entry left
	 * without an answer, or gave up before their time, although their backend servers
	 * were sound.
	 */
	void checkAtEnd() {
		for (Call call : this.calls) {
			int ran = this.runs.getOrDefault(call.attemptId(), new AtomicInteger()).get();
			if (call.route() == Route.ONCE && ran > 1) {
				violation("ran " + ran + " times: " + call);
			}
			boolean promisesNotRun = call.status() == 429 || call.status() == 503 || call.status() == 408
					|| call.status() == 421;
			if (call.route() == Route.ONCE && promisesNotRun && ran > 0) {
				violation("refused as not run, but ran: " + call);
			}
			if (ran == 0 && call.status() == 0 && !call.entry().wasDisturbedSince(call.sentAtMs())
					&& call.lengthMs() > READ_MS && call.lengthMs() < LOST_SHARE * this.disruptions.timeoutMs()) {
				violation("lost before it ran: " + call);
			}
			if (call.status() / 100 == 4 && !promisesNotRun) {
				violation("denied: " + call);
			}
			boolean sound = ran > 0 && !this.spoiled.containsKey(call.attemptId());
			if (!sound || call.entry().wasDisturbedSince(call.sentAtMs())
					|| call.lengthMs() >= this.disruptions.timeoutMs() - TIMEOUT_TOLERANCE_MS) {
				continue;
			}
			if (call.status() == 0) {
				violation("cut without an answer: " + call);
			}
			if (call.status() == 502 || call.status() == 504) {
				violation("given up although its backend servers were sound: " + call);
			}
		}
	}

	List<String> violations() {
		return new ArrayList<>(this.violations);
	}

	int countCalls() {
		return this.calls.size();
	}

	long countCalls(long fromMs) {
		return this.calls.stream().filter((call) -> call.sentAtMs() >= fromMs).count();
	}

	double servedShare(long fromMs, long toMs) {
		List<Call> sent = this.calls.stream()
			.filter((call) -> call.sentAtMs() >= fromMs && call.sentAtMs() < toMs)
			.toList();
		long served = sent.stream().filter((call) -> call.status() / 100 == 2).count();
		return sent.isEmpty() ? 0 : (double) served / sent.size();
	}

	/**
	 * A request of a caller.
	 *
	 * @param attemptId its id
	 * @param route its route
	 * @param entry the entry that it was sent to
	 * @param sentAtMs when it was sent
	 * @param lengthMs time until its end, milliseconds
	 * @param status status of the response; 0 for none, negative if it was not sent
	 * @param failure why there was no response, or null
	 */
	record Call(String attemptId, Route route, SoakEntry entry, long sentAtMs, long lengthMs, int status,
			String failure) {

		Call ended(int newStatus, String newFailure) {
			return new Call(this.attemptId, this.route, this.entry, this.sentAtMs, nowMs() - this.sentAtMs, newStatus,
					newFailure);
		}

		@Override
		public String toString() {
			return this.route.pathName() + " " + this.attemptId + " at " + this.entry.name() + " sent " + this.sentAtMs
					+ " after " + this.lengthMs + " status " + this.status
					+ ((this.failure != null) ? " (" + this.failure + ")" : "");
		}

	}

}
