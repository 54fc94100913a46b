package org.wigeontally.gateway;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;

import org.wigeontally.emulator.limits.LimitWindows;
import org.wigeontally.misc.Clock;
import org.wigeontally.platform.standin.FakeBackend;

/**
 * Responds with a limit that can be changed and ended, in one kind of response, and
 * records when requests arrive.
 */
final class LimitedBackend implements FakeBackend.Behaviour {

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
		this.limitHeader = (value != null) ? FakeBackend.limitHeader(value) : "";
	}

	@Override
	public void respond(FakeBackend.ReceivedRequest request, NetSocket socket) {
		this.arrivalsMs.add(nowMs());
		String signature = FakeBackend.signatureHeader("s") + this.limitHeader;
		String response = switch (this.answer) {
			case WHOLE -> FakeBackend.response(request, "200 OK", signature, "ok");
			case ERROR -> FakeBackend.response(request, "500 Internal Server Error", signature, "");
			case STREAM -> FakeBackend.eventStreamHead(request, signature) + FakeBackend.eventChunks(0, 4)
					+ FakeBackend.LAST_CHUNK;
		};
		socket.write(Buffer.buffer(response));
	}

	static long nowMs() {
		return Clock.system().monotonicMs();
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
		return LimitWindows.most(this.arrivalsMs.stream().filter((atMs) -> atMs >= fromMs).toList());
	}

	/**
	 * Kinds of responses.
	 */
	enum Answer {

		WHOLE, STREAM, ERROR

	}

}
