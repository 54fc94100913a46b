package org.wigeontally.fleet;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Splits the bytes of an event stream into complete events. Only complete events are
 * forwarded, so a stream that breaks within an event can be resumed at another backend
 * server. Used by one thread.
 */
public final class EventStreamSplitter {

	private static final int INITIAL_CAPACITY_BYTES = 512;

	private byte[] buffer = new byte[INITIAL_CAPACITY_BYTES];

	private int length;

	private int scannedLength;

	private EventStreamSplitter() {
	}

	/**
	 * Creates an empty splitter.
	 * @return the splitter
	 */
	public static EventStreamSplitter create() {
		return new EventStreamSplitter();
	}

	/**
	 * Appends received bytes.
	 * @param added the bytes
	 */
	public void add(byte[] added) {
		if (this.length + added.length > this.buffer.length) {
			this.buffer = Arrays.copyOf(this.buffer, Math.max(this.buffer.length * 2, this.length + added.length));
		}
		System.arraycopy(added, 0, this.buffer, this.length, added.length);
		this.length += added.length;
	}

	/**
	 * Removes and returns the next complete event.
	 * @return the event with the empty line that ends it, or null if there is no complete
	 * event
	 */
	public Event next() {
		for (int i = Math.max(1, this.scannedLength); i < this.length; i++) {
			if (this.buffer[i] == '\n' && endsEvent(i)) {
				return removeEvent(i + 1);
			}
		}
		this.scannedLength = this.length;
		return null;
	}

	/**
	 * Returns whether the buffer holds part of an event.
	 * @return true if it does
	 */
	public boolean hasPartialEvent() {
		return this.length > 0;
	}

	/**
	 * Returns the size of the incomplete event in the buffer.
	 * @return bytes
	 */
	public int partialEventBytes() {
		return this.length;
	}

	private boolean endsEvent(int index) {
		int before = index - 1;
		if (this.buffer[before] == '\r') {
			before--;
		}
		return before >= 0 && this.buffer[before] == '\n';
	}

	private Event removeEvent(int end) {
		byte[] event = Arrays.copyOf(this.buffer, end);
		System.arraycopy(this.buffer, end, this.buffer, 0, this.length - end);
		this.length -= end;
		this.scannedLength = 0;
		return new Event(event, parseEventId(event));
	}

	private static long parseEventId(byte[] event) {
		String text = new String(event, StandardCharsets.ISO_8859_1);
		int start = text.startsWith("id:") ? 0 : text.indexOf("\nid:") + 1;
		if (start == 0 && !text.startsWith("id:")) {
			return Event.NO_ID;
		}
		return parseId(text.substring(start + "id:".length(), text.indexOf('\n', start)));
	}

	/**
	 * Returns the number that an id stands for.
	 * @param id text of the id, or null
	 * @return the number, or {@link Event#NO_ID} if it is none
	 */
	public static long parseId(String id) {
		if (id == null) {
			return Event.NO_ID;
		}
		try {
			return Long.parseLong(id.strip());
		}
		catch (NumberFormatException ex) {
			return Event.NO_ID;
		}
	}

	/**
	 * A complete event.
	 *
	 * @param bytes its bytes, with the empty line that ends it
	 * @param id its id, or {@link #NO_ID}
	 */
	public record Event(byte[] bytes, long id) {

		/** Id of an event that has none, or whose id is not a number. */
		public static final long NO_ID = -1;

	}

}
