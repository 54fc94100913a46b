package org.wigeontally.emulator.experiment;

import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.JsonObject;

import org.wigeontally.http.Headers;
import org.wigeontally.schema.generated.Address;
import org.wigeontally.settings.Addresses;

/**
 * A caller: asks the system which addresses to use, keeps the answer a while, and sends
 * requests to them in turn. Safe for use by several threads.
 */
public final class CallerClient implements AutoCloseable {

	private static final int CONNECT_TIMEOUT_MS = 1000;

	private static final long REFRESH_MS = 2000;

	private static final int MAX_CONNECTIONS = 512;

	private static final double NANOS_PER_MS = TimeUnit.MILLISECONDS.toNanos(1);

	private final Vertx vertx;

	private final HttpClient client;

	private final List<Address> known;

	private final AtomicInteger turn = new AtomicInteger();

	private volatile List<Address> addresses;

	private long timer;

	private CallerClient(Vertx vertx, HttpClient client, List<Address> known) {
		this.vertx = vertx;
		this.client = client;
		this.known = List.copyOf(known);
		this.addresses = this.known;
	}

	/**
	 * Creates a caller.
	 * @param vertx the Vert.x instance to run on
	 * @param known entry hosts that the caller knows from the start
	 * @return the caller
	 */
	public static CallerClient create(Vertx vertx, List<Address> known) {
		HttpClientOptions options = new HttpClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MS).setTcpNoDelay(true);
		PoolOptions pool = new PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS);
		CallerClient caller = new CallerClient(vertx, vertx.httpClientBuilder().with(options).with(pool).build(),
				known);
		caller.timer = vertx.setPeriodic(1, REFRESH_MS, (id) -> caller.refresh());
		return caller;
	}

	private void refresh() {
		Address ask = this.known.get(this.turn.getAndIncrement() % this.known.size());
		RequestOptions options = options(HttpMethod.GET, ask, "/v1/addresses");
		this.client.request(options)
			.compose((request) -> request.send())
			.compose(HttpClientResponse::body)
			.onSuccess(this::take);
	}

	private void take(Buffer body) {
		List<Address> next = body.toJsonObject()
			.getJsonArray("addresses")
			.stream()
			.map((entry) -> Addresses.parse(((JsonObject) entry).getString("address")).orElseThrow())
			.toList();
		if (!next.isEmpty()) {
			this.addresses = next;
		}
	}

	/**
	 * Returns the address to use next.
	 * @return an entry host
	 */
	public Address nextAddress() {
		List<Address> now = this.addresses;
		return now.get(Math.floorMod(this.turn.getAndIncrement(), now.size()));
	}

	/**
	 * Sends a request once.
	 * @param to the entry host
	 * @param method the method
	 * @param path path and query
	 * @param headers headers
	 * @param body the body; empty for none
	 * @return the answer; never fails
	 */
	public Future<CallerAnswer> send(Address to, HttpMethod method, String path, Map<String, String> headers,
			String body) {
		RequestOptions options = options(method, to, path);
		headers.forEach(options::putHeader);
		Promise<CallerAnswer> promise = Promise.promise();
		this.vertx.getOrCreateContext().runOnContext((ignored) -> sendOnContext(options, body, promise));
		return promise.future();
	}

	private void sendOnContext(RequestOptions options, String body, Promise<CallerAnswer> promise) {
		long start = System.nanoTime();
		this.client.request(options)
			.compose((request) -> sendBody(request, body))
			.compose((response) -> read(response, start))
			.recover((failure) -> Future.succeededFuture(
					new CallerAnswer(CallerAnswer.Kind.BROKEN, 0, failure.toString(), "", 0, 0, elapsed(start))))
			.onComplete(promise);
	}

	private static Future<HttpClientResponse> sendBody(HttpClientRequest request, String body) {
		return body.isEmpty() ? request.send() : request.send(body);
	}

	private static Future<CallerAnswer> read(HttpClientResponse response, long start) {
		Promise<CallerAnswer> promise = Promise.promise();
		Buffer body = Buffer.buffer();
		double[] firstByteMs = { -1 };
		response.handler((chunk) -> {
			if (firstByteMs[0] < 0) {
				firstByteMs[0] = elapsed(start);
			}
			body.appendBuffer(chunk);
		});
		response.exceptionHandler(promise::tryFail);
		response.endHandler(
				(end) -> promise.tryComplete(answer(response, body.toString(), firstByteMs[0], elapsed(start))));
		return promise.future();
	}

	private static CallerAnswer answer(HttpClientResponse response, String body, double firstByteMs, double totalMs) {
		String after = response.getHeader(Headers.RETRY_AFTER_MS);
		String version = response.getHeader("Model-Version");
		return new CallerAnswer(kind(response, body), response.statusCode(), body, (version != null) ? version : "",
				(after != null) ? Long.parseLong(after) : -1, firstByteMs, totalMs);
	}

	private static CallerAnswer.Kind kind(HttpClientResponse response, String body) {
		String outcome = response.getHeader(Headers.OUTCOME);
		if (outcome == null) {
			return CallerAnswer.Kind.BROKEN;
		}
		if (body.contains("event: error")) {
			return CallerAnswer.Kind.UNKNOWN;
		}
		return switch (outcome) {
			case "done" -> CallerAnswer.Kind.DONE;
			case "not-run" -> CallerAnswer.Kind.NOT_RUN;
			default -> CallerAnswer.Kind.UNKNOWN;
		};
	}

	private static RequestOptions options(HttpMethod method, Address to, String path) {
		return new RequestOptions().setMethod(method).setHost(to.getIp()).setPort(to.getPort()).setURI(path);
	}

	private static double elapsed(long start) {
		return (System.nanoTime() - start) / NANOS_PER_MS;
	}

	@Override
	public void close() {
		this.vertx.cancelTimer(this.timer);
		this.client.close();
	}

}
