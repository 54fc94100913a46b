package org.wigeontally.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;

import org.wigeontally.platform.standin.FakeBackend;

/**
 * Responds with a limit that can be changed and ended, in one kind of response, and
 * records when requests arrive.
 */
final class LimitedBackend implements FakeBackend.Behaviour {

	private static final long WINDOW_MS = 4_000;

	private final List<Long> arrivalsMs = new CopyOnWriteArrayList<>();

	private final Answer answer;

	private volatile String limitHeader = "";

	LimitedBackend(Answer answer) {
		this.answer = answer;
	}

	/**
	 * Sets the limit that the responses name.
	 * @param value value of the header; null for none
	 */
	void setLimit(String value) {
		this.limitHeader = (value != null) ? "Server-Limit: " + value + "\r\n" : "";
	}

	@Override
	public void respond(FakeBackend.ReceivedRequest request, NetSocket socket) {
		this.arrivalsMs.add(nowMs());
		String signature = FakeBackend.signatureHeader("s") + this.limitHeader;
		String response = switch (this.answer) {
			case WHOLE -> FakeBackend.response(request, "200 OK", signature, "ok");
			case ERROR -> FakeBackend.response(request, "500 Internal Server Error", signature, "");
			case STREAM -> FakeBackend.partialEventStream(request, "s", 0, 4)
				.replace("\r\nContent-Type", "\r\n" + this.limitHeader + "Content-Type") + "0\r\n\r\n";
		};
		socket.write(Buffer.buffer(response));
	}

	static long nowMs() {
		return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
	}

	int arrivals(long fromMs, long toMs) {
		return (int) this.arrivalsMs.stream().filter((atMs) -> atMs >= fromMs && atMs < toMs).count();
	}

	/**
	 * Returns the most requests that arrived within four seconds.
	 * @param fromMs start of the first such time
	 * @return number of requests
	 */
	int mostArrivals(long fromMs) {
		List<Integer> counts = new ArrayList<>();
		counts.add(0);
		this.arrivalsMs.stream()
			.filter((atMs) -> atMs >= fromMs)
			.forEach((atMs) -> counts.add(arrivals(atMs, atMs + WINDOW_MS)));
		return counts.stream().mapToInt(Integer::intValue).max().getAsInt();
	}

	/**
	 * Kinds of responses.
	 */
	enum Answer {

		WHOLE, STREAM, ERROR

	}

}
