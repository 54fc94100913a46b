package org.wigeontally.spread;

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

import org.wigeontally.schema.generated.Address;
import org.wigeontally.schema.generated.HostIdentity;
import org.wigeontally.weights.Fetch;

/**
 * Fetches bytes over HTTP and fails a request that stalls. A request stalls if no more
 * than 1 / {@code MIN_PROGRESS_DIVISOR} of the expected bytes arrive within
 * {@code STALL_CHECK_INTERVAL_MS}, or no bytes at all if the size is unknown. A response
 * of another size than expected fails.
 */
public final class ByteFetcher implements AutoCloseable {

	/** Header with the name of the requesting host. */
	public static final String HOST_HEADER = "wigeontally-host";

	/** Header with the region of the requesting host. */
	public static final String REGION_HEADER = "wigeontally-region";

	private static final int CONNECT_TIMEOUT_MS = 1000;

	private static final int STALL_CHECK_INTERVAL_MS = 900;

	private static final int MIN_PROGRESS_DIVISOR = 32;

	private static final int MAX_CONNECTIONS_PER_HOST = 32;

	private static final int MAX_UNSIZED_BYTES = 64 << 20;

	private final Vertx vertx;

	private final HttpClient client;

	private final HostIdentity self;

	private ByteFetcher(Vertx vertx, HttpClient client, HostIdentity self) {
		this.vertx = vertx;
		this.client = client;
		this.self = self;
	}

	/**
	 * Creates a fetcher.
	 * @param vertx the Vert.x instance
	 * @param self identity of this host, sent in the headers of each request
	 * @return the fetcher
	 */
	public static ByteFetcher create(Vertx vertx, HostIdentity self) {
		HttpClient client = vertx.httpClientBuilder()
			.with(new HttpClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MS))
			.with(new PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS_PER_HOST))
			.build();
		return new ByteFetcher(vertx, client, self);
	}

	/**
	 * Opens a GET request.
	 * @param address address of the server
	 * @param uri path of the request
	 * @return the request, not yet sent
	 */
	Future<HttpClientRequest> openRequest(Address address, String uri) {
		return this.client.request(new RequestOptions().setMethod(HttpMethod.GET)
			.setHost(address.getIp())
			.setPort(address.getPort())
			.setURI(uri)
			.putHeader(HOST_HEADER, this.self.getHost())
			.putHeader(REGION_HEADER, this.self.getRegion()));
	}

	/**
	 * Fetches the body of a GET request.
	 * @param address address of the server
	 * @param uri path of the request
	 * @param expectedBytes number of bytes expected; 0 if unknown
	 * @return the bytes; fails with a {@link FetchFailedException}
	 */
	public Future<byte[]> fetch(Address address, String uri, int expectedBytes) {
		Promise<byte[]> result = Promise.promise();
		openRequest(address, uri).onFailure((cause) -> failUnreachable(result, cause))
			.onSuccess((request) -> receive(request, expectedBytes, result));
		return result.future();
	}

	private void receive(HttpClientRequest request, int expectedBytes, Promise<byte[]> result) {
		AtomicInteger receivedBytes = new AtomicInteger();
		AtomicInteger receivedAtLastCheck = new AtomicInteger(-1);
		long timer = this.vertx.setPeriodic(STALL_CHECK_INTERVAL_MS, (id) -> {
			if (receivedBytes.get() - receivedAtLastCheck.get() <= expectedBytes / MIN_PROGRESS_DIVISOR
					&& receivedAtLastCheck.get() >= 0) {
				result.tryFail(FetchFailedException.of(Fetch.Failure.STALLED, "stalled"));
				request.reset();
			}
			receivedAtLastCheck.set(receivedBytes.get());
		});
		result.future().onComplete((done) -> this.vertx.cancelTimer(timer));
		request.exceptionHandler((cause) -> failUnreachable(result, cause));
		request.send()
			.onFailure((cause) -> failUnreachable(result, cause))
			.onSuccess((response) -> receiveBody(response, expectedBytes, receivedBytes, result));
	}

	private void receiveBody(HttpClientResponse response, int expectedBytes, AtomicInteger receivedBytes,
			Promise<byte[]> result) {
		if (response.statusCode() != 200) {
			result
				.tryFail(FetchFailedException.of(failureOf(response.statusCode()), "status " + response.statusCode()));
			return;
		}
		Buffer body = Buffer.buffer((expectedBytes > 0) ? expectedBytes : STALL_CHECK_INTERVAL_MS);
		int maxBytes = (expectedBytes > 0) ? expectedBytes : MAX_UNSIZED_BYTES;
		response.handler((buffer) -> {
			receivedBytes.addAndGet(buffer.length());
			if (receivedBytes.get() <= maxBytes) {
				body.appendBuffer(buffer);
			}
		});
		response.exceptionHandler((cause) -> failUnreachable(result, cause));
		response.endHandler((end) -> {
			if (receivedBytes.get() > maxBytes || expectedBytes > 0 && receivedBytes.get() != expectedBytes) {
				failUnreachable(result, new IllegalStateException(
						"response size mismatch: received " + receivedBytes.get() + " bytes"));
				return;
			}
			result.tryComplete(body.getBytes());
		});
	}

	private static Fetch.Failure failureOf(int status) {
		return switch (status) {
			case 404 -> Fetch.Failure.MISSING;
			case 429, 503 -> Fetch.Failure.BUSY;
			default -> Fetch.Failure.UNREACHABLE;
		};
	}

	private static void failUnreachable(Promise<byte[]> result, Throwable cause) {
		result.tryFail(FetchFailedException.of(Fetch.Failure.UNREACHABLE, String.valueOf(cause.getMessage())));
	}

	@Override
	public void close() {
		this.client.close();
	}

}
