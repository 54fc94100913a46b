package org.wigeontally.streams;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;

import org.testng.annotations.Test;

import org.wigeontally.fleet.EventStreamSplitter;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a stream that joins events of two runs. Plays all orders in which up to
 * three runs of a request begin, bring events, fail and end: an engine is cut off for a
 * moment, is taken over, or goes on at the same time as its successor. Fails if a run may
 * take over wherever the id of its event follows.
 */
public class StreamSuccessionTests {

	/** Length of the stream, which is also the id of its last event. */
	private static final int EVENTS = 4;

	private static final int RUNS = 3;

	private static final int CALLERS_EVENT = 10;

	@Test
	public void noOrderOfTwoRunsJoinsEventsOfBoth() {
		assertThat(playAll(2, 0)).isPositive();
	}

	@Test
	public void noOrderOfThreeRunsJoinsEventsOfTwo() {
		assertThat(playAll(RUNS, 0)).isPositive();
	}

	/** The caller resumes the stream itself. */
	@Test
	public void noOrderJoinsRunsThatBeganAfterTheEventOfTheCaller() {
		assertThat(playAll(2, CALLERS_EVENT)).isPositive();
	}

	/** Returns the number of orders in which one run took over from another one. */
	private static long playAll(int runs, int callersEvent) {
		long takeovers = 0;
		List<Integer> choices = new ArrayList<>();
		boolean left = true;
		while (left) {
			Play play = new Play(runs, callersEvent);
			List<Integer> widths = new ArrayList<>();
			for (List<Runnable> steps = play.steps(); !steps.isEmpty(); steps = play.steps()) {
				int depth = widths.size();
				if (depth == choices.size()) {
					choices.add(0);
				}
				widths.add(steps.size());
				steps.get(choices.get(depth)).run();
				play.check();
			}
			takeovers += play.hasTakeover() ? 1 : 0;
			left = advance(choices, widths);
		}
		return takeovers;
	}

	// Depth first: the last choice that has another one left is changed.
	private static boolean advance(List<Integer> choices, List<Integer> widths) {
		for (int depth = widths.size() - 1; depth >= 0; depth--) {
			if (choices.get(depth) + 1 < widths.get(depth)) {
				choices.set(depth, choices.get(depth) + 1);
				choices.subList(depth + 1, choices.size()).clear();
				return true;
			}
		}
		return false;
	}

	/** Guards against joining a run that leaves out events. */
	@Test
	public void runThatSkipsEventsDoesNotTakeOver() {
		StreamSuccession<String> succession = startedBy("a", 2);
		succession.remove("a");
		succession.begin("b");
		assertThat(succession.receive("b", event("b", 4))).isEmpty();
	}

	/** Guards against dropping or joining events whose place is not known. */
	@Test
	public void eventWithoutIdFollowsOnlyEventsOfItsRun() {
		StreamSuccession<String> succession = startedBy("a", 2);
		succession.begin("b");
		long noId = EventStreamSplitter.Event.NO_ID;
		assertThat(succession.receive("b", event("b", noId))).isEmpty();
		assertThat(succession.receive("a", event("a", noId)).orElseThrow()).hasSize(1);
		assertThat(succession.isResumable()).isFalse();
		assertThat(succession.receive("b", event("b", 3))).isEmpty();
	}

	/** An engine that does not know where to go on repeats what the caller has. */
	@Test
	public void eventsUpToThatOfTheCallerAreDropped() {
		StreamSuccession<String> succession = StreamSuccession.create(CALLERS_EVENT);
		succession.begin("a");
		assertThat(succession.receive("a", event("a", CALLERS_EVENT)).orElseThrow()).isEmpty();
		assertThat(succession.receive("a", event("a", CALLERS_EVENT + 1)).orElseThrow()).hasSize(1);
	}

	private static StreamSuccession<String> startedBy(String run, int events) {
		StreamSuccession<String> succession = StreamSuccession.create(EventStreamSplitter.Event.NO_ID);
		succession.begin(run);
		for (int id = 1; id <= events; id++) {
			assertThat(succession.receive(run, event(run, id)).orElseThrow()).hasSize(1);
		}
		return succession;
	}

	private static EventStreamSplitter.Event event(String run, long id) {
		return new EventStreamSplitter.Event(run.getBytes(StandardCharsets.ISO_8859_1), id);
	}

	/** One order of steps, with what the caller has received. */
	private static final class Play {

		private final StreamSuccession<String> succession;

		private final int runs;

		private final int firstEvent;

		private final Map<String, Integer> begunAfter = new HashMap<>();

		private final Map<String, Integer> brought = new HashMap<>();

		private final TreeSet<String> running = new TreeSet<>();

		private final List<EventStreamSplitter.Event> received = new ArrayList<>();

		private final List<String> history = new ArrayList<>();

		private boolean complete;

		private Play(int runs, int callersEvent) {
			this.runs = runs;
			this.firstEvent = callersEvent + 1;
			this.succession = StreamSuccession
				.create((callersEvent > 0) ? callersEvent : EventStreamSplitter.Event.NO_ID);
		}

		private int lastEvent() {
			return this.firstEvent - 1 + this.received.size();
		}

		private List<Runnable> steps() {
			List<Runnable> steps = new ArrayList<>();
			if (this.complete) {
				return steps;
			}
			if (this.begunAfter.size() < this.runs) {
				steps.add(() -> begin("run-" + this.begunAfter.size()));
			}
			for (String run : this.running) {
				boolean atEnd = this.brought.get(run) == this.firstEvent - 1 + EVENTS;
				steps.add(atEnd ? () -> end(run) : () -> bring(run));
				steps.add(() -> fail(run));
			}
			return steps;
		}

		private void begin(String run) {
			this.history.add("begin " + run);
			this.begunAfter.put(run, lastEvent());
			this.brought.put(run, lastEvent());
			this.running.add(run);
			this.succession.begin(run);
		}

		private void bring(String run) {
			this.history.add("event " + run);
			int id = this.brought.merge(run, 1, Integer::sum);
			boolean mayFollow = mayFollow(run);
			boolean hasRival = this.running.stream().anyMatch((other) -> !other.equals(run) && mayFollow(other));
			Optional<List<EventStreamSplitter.Event>> written = this.succession.receive(run, event(run, id));
			assertThat(written.isPresent()).as("%s", this.history).isEqualTo(mayFollow);
			if (!mayFollow) {
				fail(run);
				return;
			}
			if (isLast(run)) {
				assertThat(written.get()).as("event of the writer: %s", this.history).hasSize(1);
			}
			else if (hasRival) {
				assertThat(written.get().size()).as("rivals given up too soon: %s", this.history).isNotEqualTo(1);
			}
			this.received.addAll(written.get());
		}

		private boolean mayFollow(String run) {
			return isLast(run) || this.begunAfter.get(run) == lastEvent();
		}

		private boolean isLast(String run) {
			return !this.received.isEmpty() && runOf(this.received.get(this.received.size() - 1)).equals(run);
		}

		private void end(String run) {
			this.history.add("end " + run);
			Optional<List<EventStreamSplitter.Event>> written = this.succession.complete(run);
			if (written.isPresent()) {
				this.received.addAll(written.get());
				this.complete = true;
				assertThat(this.received).as("%s", this.history).hasSize(EVENTS);
				return;
			}
			fail(run);
		}

		private void fail(String run) {
			this.history.add("fail " + run);
			this.running.remove(run);
			this.succession.remove(run);
			this.succession.successor().ifPresent((left) -> this.received.addAll(this.succession.succeed(left)));
		}

		private boolean hasTakeover() {
			return this.received.stream().map(Play::runOf).distinct().count() > 1;
		}

		private static String runOf(EventStreamSplitter.Event event) {
			return new String(event.bytes(), StandardCharsets.ISO_8859_1);
		}

		private void check() {
			String last = null;
			for (int index = 0; index < this.received.size(); index++) {
				EventStreamSplitter.Event event = this.received.get(index);
				String run = runOf(event);
				assertThat(event.id()).as("%s", this.history).isEqualTo(this.firstEvent + index);
				if (!run.equals(last)) {
					assertThat(this.begunAfter.get(run)).as("%s", this.history).isEqualTo(this.firstEvent + index - 1);
				}
				last = run;
			}
			if (this.running.stream().filter(this::mayFollow).count() <= 1) {
				assertThat(this.succession.hasHeldEvents()).as("held without need: %s", this.history).isFalse();
			}
		}

	}

}
