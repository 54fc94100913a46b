package org.wigeontally.emulator.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

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

	private static final Pattern EVENT = Pattern.compile("id: (\\d+)\ndata: (\\S+)/\\d+/(\\d+)\n\n");

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

	// Number of the first event of each run of a stream.
	private final Map<String, List<Integer>> streams = new ConcurrentHashMap<>();

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

	/**
	 * Records that an engine begins a stream.
	 * @param attemptId id of the request
	 * @param firstEvent number of the first event that it generates
	 * @return number of the run, which each of its events names
	 */
	int streamBegan(String attemptId, int firstEvent) {
		List<Integer> begun = this.streams.computeIfAbsent(attemptId, (key) -> new CopyOnWriteArrayList<>());
		synchronized (begun) {
			begun.add(firstEvent);
			return begun.size() - 1;
		}
	}

	static String event(String attemptId, int number, int run) {
		return "id: " + number + "\ndata: " + attemptId + "/" + number + "/" + run + "\n\n";
	}

	// A stream has all events, each once and in order, of runs of which each began where
	// the one before was left.
	private boolean isWhole(Route route, String attemptId, String body) {
		if (route != Route.EVENTS) {
			return body.equals(plainBody(attemptId));
		}
		List<Integer> begun = this.streams.getOrDefault(attemptId, List.of());
		int number = 0;
		int lastRun = -1;
		Matcher events = EVENT.matcher(body);
		while (events.lookingAt()) {
			int run = Integer.parseInt(events.group(3));
			boolean follows = run == lastRun || (run < begun.size() && begun.get(run) == number);
			if (!follows || !events.group().equals(event(attemptId, number, run))) {
				return false;
			}
			number++;
			lastRun = run;
			events.region(events.end(), body.length());
		}
		return events.regionStart() == body.length() && number == eventCount(attemptId);
	}

	/**
	 * Records a response.
	 * @param call the request
	 * @param response the response
	 */
	void answered(Call call, TestCaller.Response response) {
		this.calls.add(call.ended(response.status(), null));
		boolean success = response.status() / 100 == 2;
		if (success && !isWhole(call.route(), call.attemptId(), response.body())) {
			violation("crossed, joined or incomplete: " + call + " got \"" + response.body().replace("\n", "|") + "\"");
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
