package org.wigeontally.streams;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.wigeontally.fleet.EventStreamSplitter;

/**
 * Decides which run of a request writes the next event of its stream, and after which
 * event another run may take the stream over. Used by one thread.
 *
 * <p>
 * Engines that are cut off or silent for a moment go on afterwards, so a request can have
 * several runs at once: the silent one, and others that were started at other engines,
 * each after the last event that the caller had by then. Two runs generate different
 * tokens, so an event of one of them is not the event of the same id of another one, and
 * ids do not tell whether an event may be written. What tells it is where its run began.
 *
 * <p>
 * The <em>writer</em> is the run that brought the last written event. Its events are
 * written as they arrive. Any other run can take over only while nothing has been written
 * since it began; each written event makes all other runs useless that began before it.
 * So a caller receives the events of one run, and after them those of a run that began at
 * exactly this point.
 *
 * <p>
 * Taking over thus gives up the silent runs, and an engine that crashes on a request can
 * send one event of it before. So the first event of a run is held while others run
 * beside it, and written together with the second one, with the end of the stream, or
 * when all others have failed. Events of a writer, and of a run that is alone, are never
 * held.
 *
 * @param <R> identifies a run
 */
public final class StreamSuccession<R> {

	/**
	 * Events that show that a run goes on. An engine that crashes on a request may still
	 * send the first one.
	 */
	private static final int MIN_SOUND_EVENTS = 2;

	// Runs that have begun and not ended.
	private final Map<R, Run> runs = new HashMap<>();

	private R writer;

	private long writerEvents;

	private long writtenEvents;

	private long lastEventId;

	private long longestStep;

	private boolean hasEventsWithoutId;

	private StreamSuccession(long lastEventId) {
		this.lastEventId = lastEventId;
	}

	/**
	 * Creates the succession of a stream without any run.
	 * @param lastEventId id of the event after which the caller resumes the stream, or
	 * {@link EventStreamSplitter.Event#NO_ID}
	 * @param <R> identifies a run
	 * @return the succession
	 */
	public static <R> StreamSuccession<R> create(long lastEventId) {
		return new StreamSuccession<>(lastEventId);
	}

	/**
	 * Records a run that begins now, after the last written event.
	 * @param run the run
	 */
	public void begin(R run) {
		this.runs.put(run, new Run(this.writtenEvents));
	}

	/**
	 * Receives an event of a run.
	 * @param run the run
	 * @param event the event; not a comment
	 * @return the events to write now, possibly after earlier ones of the same run; empty
	 * if the event cannot follow those that were written
	 */
	public Optional<List<EventStreamSplitter.Event>> receive(R run, EventStreamSplitter.Event event) {
		Run received = this.runs.get(run);
		if (!mayWrite(run)) {
			return Optional.empty();
		}
		if (isRepeated(received, event)) {
			received.hasLastEvent |= received.held.isEmpty() && event.id() == this.lastEventId;
			return Optional.of(List.of());
		}
		if (!isWriter(run) && received.held.isEmpty() && !isNext(received, event)) {
			return Optional.empty();
		}
		received.held.add(event);
		boolean written = isWriter(run) || isOnly(run) || received.held.size() >= MIN_SOUND_EVENTS;
		return Optional.of(written ? takeOver(run) : List.of());
	}

	private boolean mayTakeOver(Run run) {
		return run != null && run.begunAfterEvents == this.writtenEvents;
	}

	private boolean isRepeated(Run run, EventStreamSplitter.Event event) {
		long previousId = run.lastIdOr(this.lastEventId);
		return event.id() != EventStreamSplitter.Event.NO_ID && event.id() <= previousId;
	}

	// An engine that skips events must not take over. Ids may count something else than
	// events, such as tokens; the distance is that of the events before.
	private boolean isNext(Run run, EventStreamSplitter.Event event) {
		if (this.writtenEvents == 0 || run.hasLastEvent) {
			return true;
		}
		if (event.id() == EventStreamSplitter.Event.NO_ID) {
			return false;
		}
		return this.longestStep == 0 || event.id() - this.lastEventId <= this.longestStep;
	}

	// Whether no other run can bring the next event.
	private boolean isOnly(R run) {
		return this.runs.keySet().stream().allMatch((other) -> other.equals(run) || !mayWrite(other));
	}

	private boolean mayWrite(R run) {
		return isWriter(run) || mayTakeOver(this.runs.get(run));
	}

	private List<EventStreamSplitter.Event> takeOver(R run) {
		if (!isWriter(run)) {
			this.writer = run;
			this.writerEvents = 0;
		}
		List<EventStreamSplitter.Event> events = this.runs.get(run).takeHeld();
		events.forEach(this::recordWritten);
		return events;
	}

	private void recordWritten(EventStreamSplitter.Event event) {
		this.writtenEvents++;
		this.writerEvents++;
		if (event.id() == EventStreamSplitter.Event.NO_ID) {
			this.hasEventsWithoutId = true;
			return;
		}
		if (this.lastEventId != EventStreamSplitter.Event.NO_ID) {
			this.longestStep = Math.max(this.longestStep, event.id() - this.lastEventId);
		}
		this.lastEventId = event.id();
	}

	/**
	 * Records that a stream ended normally.
	 * @param run the run
	 * @return the events to write before the end; empty if the stream of the caller does
	 * not end there. A run that had neither a new event nor the last one says nothing of
	 * events after it.
	 */
	public Optional<List<EventStreamSplitter.Event>> complete(R run) {
		Run completed = this.runs.get(run);
		if (isWriter(run)) {
			return Optional.of(List.of());
		}
		if (!mayTakeOver(completed)) {
			return Optional.empty();
		}
		boolean isEmptyStream = this.writtenEvents == 0 && !hasHeldEvents();
		if (completed.held.isEmpty() && !completed.hasLastEvent && !isEmptyStream) {
			return Optional.empty();
		}
		return Optional.of(takeOver(run));
	}

	/**
	 * Records that a run has ended before the stream was complete.
	 * @param run the run
	 */
	public void remove(R run) {
		this.runs.remove(run);
	}

	/**
	 * Returns the run whose held events can be written, since it runs alone now.
	 * @return the run, or nothing if no events are held or several runs can go on
	 */
	public Optional<R> successor() {
		return this.runs.keySet()
			.stream()
			.filter((run) -> mayWrite(run) && isOnly(run) && !this.runs.get(run).held.isEmpty())
			.findFirst();
	}

	/**
	 * Makes a run the writer.
	 * @param successor the run, as of {@link #successor()}
	 * @return its held events, to be written
	 */
	public List<EventStreamSplitter.Event> succeed(R successor) {
		return takeOver(successor);
	}

	/**
	 * Returns whether a comment of a run is written. Comments of others would only
	 * pretend that the stream goes on.
	 * @param run the run
	 * @return true if the run is the writer, or the only one before the first event
	 */
	public boolean mayComment(R run) {
		return isWriter(run) || (this.writer == null && isOnly(run));
	}

	/**
	 * Returns whether a run has brought the stream far enough that other attempts are
	 * given up for it.
	 * @param run the run
	 * @return true if it has
	 */
	public boolean isSound(R run) {
		return isWriter(run) && this.writerEvents >= MIN_SOUND_EVENTS;
	}

	private boolean isWriter(R run) {
		return run.equals(this.writer);
	}

	/**
	 * Returns whether events of any run wait until it is known who takes over.
	 * @return true if some do
	 */
	public boolean hasHeldEvents() {
		return this.runs.values().stream().anyMatch((run) -> mayTakeOver(run) && !run.held.isEmpty());
	}

	/**
	 * Returns the size of the held events of a run.
	 * @param run the run
	 * @return bytes
	 */
	public long heldBytes(R run) {
		Run holder = this.runs.get(run);
		return (holder != null) ? holder.held.stream().mapToLong((event) -> event.bytes().length).sum() : 0;
	}

	/**
	 * Returns whether another run can go on after the last written event.
	 * @return true if all written events have an id
	 */
	public boolean isResumable() {
		return !this.hasEventsWithoutId;
	}

	public long writtenEvents() {
		return this.writtenEvents;
	}

	/**
	 * Returns the id of the last event that the caller has.
	 * @return the id, or {@link EventStreamSplitter.Event#NO_ID}
	 */
	public long lastEventId() {
		return this.lastEventId;
	}

	/**
	 * A run that has begun.
	 */
	private static final class Run {

		private final long begunAfterEvents;

		private List<EventStreamSplitter.Event> held = new ArrayList<>();

		// Whether it has repeated the last written event.
		private boolean hasLastEvent;

		private Run(long begunAfterEvents) {
			this.begunAfterEvents = begunAfterEvents;
		}

		private long lastIdOr(long writtenId) {
			long lastId = writtenId;
			for (EventStreamSplitter.Event event : this.held) {
				lastId = (event.id() != EventStreamSplitter.Event.NO_ID) ? event.id() : lastId;
			}
			return lastId;
		}

		private List<EventStreamSplitter.Event> takeHeld() {
			List<EventStreamSplitter.Event> taken = List.copyOf(this.held);
			this.held.clear();
			return taken;
		}

	}

}
