package org.wigeontally.emulator.harmful;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.Function;

import com.google.protobuf.ByteString;

import org.wigeontally.emulator.traffic.VirtualTime;
import org.wigeontally.harmful.Fingerprint;
import org.wigeontally.harmful.PromptPart;
import org.wigeontally.misc.Clock;

/**
 * Entries and engines in virtual time, with sound requests and requests whose prompts
 * have a part that crashes each engine as it begins to answer.
 *
 * <p>
 * Prompts have three parts: one of the route, one of its sixty subjects, some of which
 * are asked for far more often than others, and one of their own. The harmful part is a
 * subject of the first route. An engine takes 80 to 500 ms to begin an answer and about
 * one second to end it. An engine that crashes closes all its connections; entries
 * confirm it after 35 ms and are back on it three seconds later. A request whose answer
 * had not begun is sent to another engine once. Entries tell each other of changes within
 * 6 ms, and of everything each 500 ms; news during an exchange is told right after it.
 * Used by one thread.
 */
public final class HarmfulPartSimulation {

	private static final double LENGTH_MS = 30_000;

	private static final double CONTACT_MS = 3_000;

	private static final double NEWS_DELAY_MS = 6;

	private static final double EXCHANGE_INTERVAL_MS = 500;

	private static final double CRASH_CHECK_MS = 35;

	private static final double RESTART_MS = 3_000;

	private static final double CRASHES_TOGETHER_INTERVAL_MS = 5_000;

	private static final int MAX_SENDS = 2;

	private static final int FIFTH_CRASH = 5;

	private static final int ROUTES = 3;

	private static final int SUBJECTS = 60;

	private final HarmfulPartSetting setting;

	private final Random random;

	private final VirtualTime time = VirtualTime.create();

	private final List<PartPolicy> policies = new ArrayList<>();

	private final List<Engine> engines = new ArrayList<>();

	private final Map<PromptPart, Integer> crashesByPart = new HashMap<>();

	private final Map<PromptPart, Double> fifthCrashMs = new HashMap<>();

	private final Set<Pair> exchanges = new HashSet<>();

	private final Set<Pair> exchangesDue = new HashSet<>();

	private int requests;

	private int losses;

	private int sentAfterFifthCrash;

	private int sound;

	private int soundBegun;

	private int falseRefusals;

	private HarmfulPartSimulation(HarmfulPartSetting setting, long seed, Function<Clock, PartPolicy> policy) {
		this.setting = setting;
		this.random = new Random(seed);
		for (int i = 0; i < setting.entries(); i++) {
			this.policies.add(policy.apply(this.time));
		}
		for (int i = 0; i < setting.engines(); i++) {
			this.engines.add(new Engine());
		}
	}

	/**
	 * Runs the decisions that entries make.
	 * @param setting load and disruptions
	 * @param seed seed of all random choices
	 * @return the result
	 */
	public static HarmfulPartResult withTrials(HarmfulPartSetting setting, long seed) {
		return new HarmfulPartSimulation(setting, seed, TrialPolicy::new).run();
	}

	/**
	 * Runs a memory of whole requests.
	 * @param setting load and disruptions
	 * @param seed seed of all random choices
	 * @return the result
	 */
	public static HarmfulPartResult withWholeRequests(HarmfulPartSetting setting, long seed) {
		return new HarmfulPartSimulation(setting, seed, WholeRequestPolicy::new).run();
	}

	/**
	 * Runs a count of losses for each part.
	 * @param setting load and disruptions
	 * @param seed seed of all random choices
	 * @return the result
	 */
	public static HarmfulPartResult withCounts(HarmfulPartSetting setting, long seed) {
		return new HarmfulPartSimulation(setting, seed, (clock) -> new CountPolicy()).run();
	}

	private HarmfulPartResult run() {
		scheduleArrivals(this.setting.soundPerSecond(), this::soundRequest);
		scheduleArrivals(this.setting.harmfulPerSecond(), () -> harmfulRequest("bad0"));
		scheduleArrivals(this.setting.secondPartPerSecond(), () -> harmfulRequest("bad1"));
		for (double atMs = EXCHANGE_INTERVAL_MS; atMs < LENGTH_MS; atMs += EXCHANGE_INTERVAL_MS) {
			this.time.after(atMs, () -> {
				for (int entry = 0; entry < this.policies.size(); entry++) {
					tellOthers(entry);
				}
			});
		}
		if (this.setting.crashedTogether() > 0) {
			for (double atMs = CRASHES_TOGETHER_INTERVAL_MS; atMs < LENGTH_MS; atMs += CRASHES_TOGETHER_INTERVAL_MS) {
				this.time.after(atMs, () -> crashTogether(this.setting.crashedTogether()));
			}
		}
		this.time.runUntil(LENGTH_MS);
		int crashes = this.crashesByPart.values().stream().mapToInt(Integer::intValue).sum();
		return new HarmfulPartResult(crashes, this.sentAfterFifthCrash, this.sound, this.soundBegun,
				this.falseRefusals);
	}

	private void scheduleArrivals(double perSecond, Runnable arrival) {
		double atMs = 0;
		while (perSecond > 0 && atMs < LENGTH_MS) {
			atMs += -Math.log(1 - this.random.nextDouble()) * 1_000 / perSecond;
			this.time.after(atMs, arrival);
		}
	}

	private void soundRequest() {
		int route = this.random.nextInt(ROUTES);
		int subject = (int) (SUBJECTS * Math.pow(this.random.nextDouble(), 2));
		SimulatedRequest request = request(route, "subject-" + route + "-" + subject, false);
		this.sound += (route == 0) ? 1 : 0;
		place(request);
	}

	private void harmfulRequest(String part) {
		place(request(0, part, true));
	}

	private SimulatedRequest request(int route, String subject, boolean harmful) {
		this.requests++;
		Set<PromptPart> parts = new LinkedHashSet<>();
		parts.add(new PromptPart("engines", "route-" + route));
		parts.add(new PromptPart("engines", subject));
		Fingerprint fingerprint = new Fingerprint(ByteString.copyFromUtf8("request-" + this.requests));
		return new SimulatedRequest(this.random.nextInt(this.policies.size()), parts, fingerprint, harmful);
	}

	private void place(SimulatedRequest request) {
		Set<PromptPart> tried = this.policies.get(request.entry()).admit(request);
		List<Engine> running = this.engines.stream().filter((engine) -> !engine.down).toList();
		if (tried == null || running.isEmpty()) {
			this.falseRefusals += (tried == null && !request.isHarmful()) ? 1 : 0;
			return;
		}
		request.sent(tried);
		if (!tried.isEmpty()) {
			this.policies.get(request.entry()).trialStarted(tried);
			tellOthers(request.entry());
		}
		if (request.isHarmful()) {
			double sinceMs = this.time.nowMs() - this.fifthCrashMs.getOrDefault(harmfulPart(request), Double.MAX_VALUE);
			this.sentAfterFifthCrash += (sinceMs > CONTACT_MS) ? 1 : 0;
		}
		Engine engine = running.get(this.random.nextInt(running.size()));
		engine.running.add(request);
		int life = engine.lives;
		double firstEventMs = 80 + 420 * this.random.nextDouble() * this.random.nextDouble();
		this.time.after(firstEventMs, () -> begin(request, engine, life));
	}

	private static PromptPart harmfulPart(SimulatedRequest request) {
		return request.parts().stream().filter((part) -> part.id().startsWith("bad")).findFirst().orElseThrow();
	}

	private void begin(SimulatedRequest request, Engine engine, int life) {
		if (engine.lives != life || !engine.running.contains(request)) {
			return;
		}
		if (request.isHarmful()) {
			int crashes = this.crashesByPart.merge(harmfulPart(request), 1, Integer::sum);
			if (crashes == FIFTH_CRASH) {
				this.fifthCrashMs.put(harmfulPart(request), this.time.nowMs());
			}
			crash(engine);
			return;
		}
		request.begin();
		this.soundBegun += (request.sends() == 1 && request.parts().contains(new PromptPart("engines", "route-0"))) ? 1
				: 0;
		if (this.policies.get(request.entry()).answerBegun(request)) {
			tellOthers(request.entry());
		}
		this.time.after(400 + 1_200 * this.random.nextDouble(), () -> {
			if (engine.lives == life) {
				engine.running.remove(request);
			}
		});
	}

	private void crashTogether(int count) {
		List<Engine> running = new ArrayList<>(this.engines.stream().filter((engine) -> !engine.down).toList());
		for (int i = 0; i < count && running.size() > 1; i++) {
			crash(running.remove(this.random.nextInt(running.size())));
		}
	}

	private void crash(Engine engine) {
		List<SimulatedRequest> lost = new ArrayList<>(engine.running);
		engine.running.clear();
		engine.lives++;
		engine.down = true;
		this.time.after(RESTART_MS, () -> engine.down = false);
		String lossId = "loss-" + this.losses++;
		long lostAtMs = this.time.monotonicMs();
		for (int i = 0; i < this.policies.size(); i++) {
			int entry = i;
			List<SimulatedRequest> suspects = lost.stream()
				.filter((request) -> request.entry() == entry && !request.isBegun())
				.toList();
			if (!suspects.isEmpty()) {
				this.time.after(CRASH_CHECK_MS, () -> {
					this.policies.get(entry).engineLost(lossId, lostAtMs, suspects);
					tellOthers(entry);
				});
			}
		}
		for (SimulatedRequest request : lost) {
			if (!request.isBegun() && request.triedParts().isEmpty() && request.sends() < MAX_SENDS) {
				place(request);
			}
		}
	}

	private void tellOthers(int from) {
		for (int to = 0; to < this.policies.size(); to++) {
			if (to != from) {
				tell(new Pair(from, to));
			}
		}
	}

	private void tell(Pair pair) {
		if (!this.exchanges.add(pair)) {
			this.exchangesDue.add(pair);
			return;
		}
		this.time.after(NEWS_DELAY_MS, () -> {
			this.exchanges.remove(pair);
			if (this.policies.get(pair.to()).merge(this.policies.get(pair.from()))) {
				tellOthers(pair.to());
			}
			if (this.exchangesDue.remove(pair)) {
				tell(pair);
			}
		});
	}

	/**
	 * An entry that tells another one what it knows.
	 *
	 * @param from the one
	 * @param to the other
	 */
	private record Pair(int from, int to) {

	}

	private static final class Engine {

		private final Set<SimulatedRequest> running = new LinkedHashSet<>();

		private int lives;

		private boolean down;

	}

}
