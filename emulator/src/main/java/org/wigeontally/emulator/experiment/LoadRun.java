package org.wigeontally.emulator.experiment;

import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;

import org.wigeontally.emulator.backend.Tokens;
import org.wigeontally.http.Headers;

/**
 * Sends a load at a fixed rate and checks every answer. A caller sends a request again
 * after "not run", at the time that it was told, and after a broken connection; a booking
 * keeps its key. It gives up at its deadline. A request is lost if it ends without any
 * outcome, and crossed if its answer is not its own or not whole.
 */
public final class LoadRun {

	private static final long TICK_MS = 5;

	private static final long RESEND_MS = 100;

	private final Vertx vertx;

	private final CallerClient client;

	private final LoadOptions options;

	private final Random random;

	private final LoadResult result = new LoadResult();

	private final Promise<LoadResult> done = Promise.promise();

	private final String run;

	private long startNs;

	private long started;

	private long open;

	private LoadRun(Vertx vertx, CallerClient client, LoadOptions options, long seed) {
		this.vertx = vertx;
		this.client = client;
		this.options = options;
		this.random = new Random(seed);
		this.run = Long.toHexString(this.random.nextLong());
	}

	/**
	 * Starts a load on a context of its own.
	 * @param vertx the Vert.x instance to run on
	 * @param client the caller
	 * @param options what to send
	 * @param seed seed of the mix
	 * @return what came of it, once every request has ended
	 */
	public static Future<LoadResult> start(Vertx vertx, CallerClient client, LoadOptions options, long seed) {
		LoadRun load = new LoadRun(vertx, client, options, seed);
		vertx.getOrCreateContext().runOnContext((ignored) -> {
			load.startNs = System.nanoTime();
			load.tick();
		});
		return load.done.future();
	}

	private void tick() {
		long elapsedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - this.startNs);
		long due = (long) (Math.min(elapsedMs, this.options.durationMs()) * this.options.perSecond() / 1000);
		while (this.started < due) {
			this.started++;
			this.open++;
			this.result.sent();
			startOne();
		}
		if (elapsedMs < this.options.durationMs()) {
			this.vertx.setTimer(TICK_MS, (id) -> tick());
			return;
		}
		finishIfDone();
	}

	private void finishIfDone() {
		long elapsedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - this.startNs);
		if (this.open == 0 && elapsedMs >= this.options.durationMs()) {
			this.done.tryComplete(this.result);
		}
	}

	private void startOne() {
		String id = this.run + "-" + this.started;
		double kind = this.random.nextDouble();
		Sending sending;
		if (kind < this.options.streamShare()) {
			sending = stream(id);
		}
		else if (kind < this.options.streamShare() + this.options.bookingShare()) {
			sending = booking(id);
		}
		else {
			sending = read(id);
		}
		send(sending, now());
	}

	private Sending stream(String id) {
		String body = new JsonObject().put("prompt", id).put("max_tokens", this.options.tokens()).encode();
		return new Sending(Kind.STREAM, id, HttpMethod.POST, "/v1/services/assist-llm/v1/generate", body, headers());
	}

	private Sending booking(String id) {
		String body = new JsonObject().put("booking", id).encode();
		Map<String, String> headers = headers();
		headers.put(Headers.IDEMPOTENCY_KEY, id);
		headers.put(Headers.KEY_TIME, Long.toString(System.currentTimeMillis()));
		return new Sending(Kind.BOOKING, id, HttpMethod.POST, "/v1/services/order-desk/bookings", body, headers);
	}

	private Sending read(String id) {
		return new Sending(Kind.READ, id, HttpMethod.GET, "/v1/services/order-desk/stock", "", headers());
	}

	private Map<String, String> headers() {
		Map<String, String> headers = new java.util.HashMap<>();
		headers.put("Authorization", "Bearer " + this.options.credential());
		headers.put(Headers.DEADLINE_MS, Long.toString(this.options.deadlineMs()));
		return headers;
	}

	private void send(Sending sending, long firstMs) {
		this.client.send(this.client.nextAddress(), sending.method(), sending.path(), sending.headers(), sending.body())
			.onSuccess((answer) -> answered(sending, answer, firstMs));
	}

	private void answered(Sending sending, CallerAnswer answer, long firstMs) {
		boolean timeLeft = now() - firstMs < this.options.deadlineMs();
		if (answer.kind() == CallerAnswer.Kind.DONE) {
			check(sending, answer);
			end();
			return;
		}
		boolean comeBack = answer.kind() == CallerAnswer.Kind.NOT_RUN && answer.retryAfterMs() >= 0;
		boolean sendAgain = comeBack || answer.kind() == CallerAnswer.Kind.BROKEN
				|| (answer.kind() == CallerAnswer.Kind.UNKNOWN && sending.kind() != Kind.BOOKING);
		if (timeLeft && sendAgain) {
			this.result.resent();
			long delayMs = Math.max(RESEND_MS, answer.retryAfterMs());
			this.vertx.setTimer(delayMs, (id) -> send(sending, firstMs));
			return;
		}
		ended(sending, answer);
		end();
	}

	private void ended(Sending sending, CallerAnswer answer) {
		switch (answer.kind()) {
			case NOT_RUN -> {
				this.result.refused();
				if (sending.kind() == Kind.BOOKING) {
					this.result.bookingNotRun(sending.id());
				}
			}
			case UNKNOWN -> this.result.unknown();
			default -> this.result.lost();
		}
	}

	private void check(Sending sending, CallerAnswer answer) {
		if (isOwn(sending, answer)) {
			this.result.served(answer);
			if (sending.kind() == Kind.BOOKING) {
				this.result.bookingDone(sending.id());
			}
			return;
		}
		this.result.crossed();
	}

	private boolean isOwn(Sending sending, CallerAnswer answer) {
		if (answer.status() != 200) {
			return false;
		}
		try {
			return switch (sending.kind()) {
				case STREAM -> answer.body().equals(expectedStream(sending.id(), answer.version()));
				case BOOKING -> sending.id().equals(new JsonObject(answer.body()).getString("booking"));
				case READ -> new JsonObject(answer.body()).containsKey("pellets");
			};
		}
		catch (DecodeException ex) {
			return false;
		}
	}

	private String expectedStream(String prompt, String version) {
		StringBuilder text = new StringBuilder();
		for (int index = 0; index < this.options.tokens(); index++) {
			JsonObject event = new JsonObject().put("index", index).put("token", Tokens.token(version, prompt, index));
			text.append("data: ").append(event.encode()).append("\n\n");
		}
		return text.append("data: [DONE]\n\n").toString();
	}

	private void end() {
		this.open--;
		finishIfDone();
	}

	private static long now() {
		return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
	}

	/**
	 * Kinds of requests.
	 */
	private enum Kind {

		STREAM, BOOKING, READ

	}

	private record Sending(Kind kind, String id, HttpMethod method, String path, String body,
			Map<String, String> headers) {

	}

}
