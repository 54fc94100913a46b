package org.wigeontally.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import io.vertx.core.net.NetSocket;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import org.wigeontally.platform.standin.FakeBackend;
import org.wigeontally.platform.standin.TestCaller;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against streams that join events of two runs, of which the later one did not
 * begin where the earlier one was left. Engines are silent for a moment and go on while
 * another one has begun the same request. Each event names its run.
 */
public class JoinedRunsTests {

	private static final long ROUTE_TIMEOUT_MS = 3_400;

	private static final int EVENTS = 8;

	/** Longer than an entry waits for the next event before it tries another engine. */
	private static final long STREAM_SILENCE_MS = 1_600;

	/** Longer than an entry waits for the first event. */
	private static final long FIRST_EVENT_SILENCE_MS = 2_600;

	private static final Pattern EVENT = Pattern.compile("id: (\\d+)\ndata: run-(\\d+)\n\n");

	private final Map<Integer, Integer> begunAfter = new ConcurrentHashMap<>();

	private GatewayFixture fixture;

	@BeforeMethod
	public void start() throws Exception {
		this.begunAfter.clear();
		this.fixture = new GatewayFixture();
		this.fixture.writeConfigurationWithTimeout(ROUTE_TIMEOUT_MS);
	}

	@AfterMethod(alwaysRun = true)
	public void stop() throws Exception {
		this.fixture.close();
	}

	/**
	 * Bursts of events of the first run and of its successor: the time after the arrival
	 * of the request, and the number of events of the run until then.
	 */
	@DataProvider
	public Object[][] bursts() {
		long resumedMs = STREAM_SILENCE_MS;
		long begunMs = FIRST_EVENT_SILENCE_MS;
		return new Object[][] {
				{ "successor brings one event before the silent run goes on",
						List.of(burst(0, 3), burst(resumedMs, EVENTS)), List.of(burst(20, 1), burst(600, EVENTS)) },
				{ "silent run goes on with one event, then the successor",
						List.of(burst(0, 3), burst(resumedMs, 4), burst(resumedMs + 400, EVENTS)),
						List.of(burst(420, EVENTS)) },
				{ "both began at the start, the successor is first",
						List.of(burst(begunMs, 3), burst(begunMs + 100, EVENTS)),
						List.of(burst(20, 1), burst(700, EVENTS)) },
				{ "both began at the start, the silent run is first", List.of(burst(begunMs, 1), burst(2_900, EVENTS)),
						List.of(burst(280, 2), burst(380, EVENTS)) } };
	}

	@Test(dataProvider = "bursts")
	public void streamHasTheEventsOfRunsThatFollowEachOther(String name, List<Burst> first, List<Burst> later)
			throws Exception {
		AtomicInteger runs = new AtomicInteger();
		for (int number = 0; number < 2; number++) {
			this.fixture.startBackend("engine-" + number, "engines", "zone-a", (arrival, socket) -> {
				int run = runs.getAndIncrement();
				play(run, (run == 0) ? first : later, arrival, socket);
			});
		}
		this.fixture.startEntry();
		this.fixture.awaitReady(0);
		TestCaller.Response response = this.fixture.call("events");
		assertThat(response.status()).as(name).isEqualTo(200);
		assertFollowing(name, response.body());
	}

	private void play(int run, List<Burst> bursts, FakeBackend.ReceivedRequest arrival, NetSocket socket) {
		int after = Integer.parseInt(arrival.headers().getOrDefault("last-event-id", "0"));
		this.begunAfter.put(run, after);
		socket.write(FakeBackend.eventStreamHead(arrival,
				FakeBackend.signatureHeader("s" + run) + FakeBackend.loadHeader(1, 16)));
		AtomicInteger sent = new AtomicInteger(after);
		for (Burst burst : bursts) {
			int until = Math.min(EVENTS, (burst.events() == EVENTS) ? EVENTS : after + burst.events());
			this.fixture.later(Math.max(1, burst.atMs()), () -> {
				while (sent.get() < until) {
					socket.write(FakeBackend.chunk("id: " + sent.incrementAndGet() + "\ndata: run-" + run + "\n\n"));
				}
				if (until == EVENTS) {
					socket.write(FakeBackend.LAST_CHUNK);
				}
			});
		}
	}

	private void assertFollowing(String name, String body) {
		List<Integer> ids = new ArrayList<>();
		Matcher matcher = EVENT.matcher(body);
		int lastRun = -1;
		while (matcher.find()) {
			int id = Integer.parseInt(matcher.group(1));
			int run = Integer.parseInt(matcher.group(2));
			if (run != lastRun) {
				assertThat(this.begunAfter.get(run)).as("%s: run %d begins with event %d in %s", name, run, id, body)
					.isEqualTo(id - 1);
			}
			lastRun = run;
			ids.add(id);
		}
		assertThat(ids).as(name).containsExactly(1, 2, 3, 4, 5, 6, 7, 8);
	}

	private static Burst burst(long atMs, int events) {
		return new Burst(atMs, events);
	}

	/**
	 * Events that an engine sends at once.
	 *
	 * @param atMs time after the arrival of the request
	 * @param events events of the run until then; all if it is the whole stream
	 */
	private record Burst(long atMs, int events) {

	}

}
