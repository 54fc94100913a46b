package org.wigeontally.gateway;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;

import org.wigeontally.platform.standin.FakeBackend;

/**
 * What an engine has sent of its answer when it crashes.
 */
enum EngineCrash {

	/** Nothing. */
	BEFORE_THE_HEAD,
	/** The head of a chunked response and half of the first event. */
	WITHIN_THE_FIRST_EVENT,
	/** The head of a response that ends with its connection, and no event. */
	AFTER_AN_UNFRAMED_HEAD,
	/** The same and half of the first event. */
	WITHIN_THE_FIRST_UNFRAMED_EVENT;

	private static final String HALF_EVENT = "id: 0\ndata: e";

	/**
	 * Crashes an engine that received a request.
	 * @param engine the engine
	 * @param arrival the request
	 * @param socket connection on which it arrived
	 */
	void strike(FakeBackend engine, FakeBackend.ReceivedRequest arrival, NetSocket socket) {
		String unframed = FakeBackend.signedResponseHead(arrival) + "Content-Type: text/event-stream\r\n\r\n";
		String sent = switch (this) {
			case BEFORE_THE_HEAD -> "";
			case WITHIN_THE_FIRST_EVENT -> FakeBackend.partialEventStream(arrival, "s", 0, 0)
					+ Integer.toHexString(HALF_EVENT.length()) + "\r\n" + HALF_EVENT + "\r\n";
			case AFTER_AN_UNFRAMED_HEAD -> unframed;
			case WITHIN_THE_FIRST_UNFRAMED_EVENT -> unframed + HALF_EVENT;
		};
		socket.write(Buffer.buffer(sent)).onComplete((written) -> engine.crash());
	}

}
