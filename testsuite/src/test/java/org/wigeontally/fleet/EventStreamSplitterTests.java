package org.wigeontally.fleet;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import org.testng.annotations.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Splitting of a byte stream with arbitrary fragmentation into complete events. */
public class EventStreamSplitterTests {

	@Test
	public void eventsAreCompleteForAnyFragmentation() {
		String stream = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nx-weight-versions: 3\nid: 3\ndata: c\n\ndata: d\n\n";
		for (int seed = 0; seed < 100; seed++) {
			Random random = new Random(seed);
			EventStreamSplitter frames = EventStreamSplitter.create();
			List<Long> ids = new ArrayList<>();
			StringBuilder out = new StringBuilder();
			byte[] bytes = stream.getBytes(StandardCharsets.US_ASCII);
			int at = 0;
			while (at < bytes.length) {
				int length = Math.min(bytes.length - at, 1 + random.nextInt(9));
				frames.add(java.util.Arrays.copyOfRange(bytes, at, at + length));
				at += length;
				for (EventStreamSplitter.Event event = frames.next(); event != null; event = frames.next()) {
					ids.add(event.id());
					out.append(new String(event.bytes(), StandardCharsets.US_ASCII));
				}
			}
			assertThat(out.toString()).as("seed %s", seed).isEqualTo(stream);
			assertThat(ids).as("seed %s", seed).containsExactly(1L, 2L, 3L, EventStreamSplitter.Event.NO_ID);
			assertThat(frames.hasPartialEvent()).isFalse();
		}
	}

	@Test
	public void partialEventIsNotReturned() {
		EventStreamSplitter frames = EventStreamSplitter.create();
		frames.add("id: 1\ndata: a\n".getBytes(StandardCharsets.US_ASCII));
		assertThat(frames.next()).isNull();
		assertThat(frames.hasPartialEvent()).isTrue();
	}

}
