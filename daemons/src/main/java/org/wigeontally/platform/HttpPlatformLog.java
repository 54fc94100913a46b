package org.wigeontally.platform;

import java.util.concurrent.CompletionStage;

import com.google.protobuf.InvalidProtocolBufferException;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;

import org.wigeontally.log.LogPage;
import org.wigeontally.log.PlatformLog;
import org.wigeontally.schema.generated.Address;
import org.wigeontally.schema.generated.LogRecord;
import org.wigeontally.schema.generated.RecordPage;

/**
 * Client of the platform's log over HTTP: {@code POST /streams/NAME} appends the body,
 * {@code GET /streams/NAME?from=N&most=N&wait_ms=N} reads records. Records and pages are
 * protobuf; the response to an append is the offset as text.
 */
public final class HttpPlatformLog implements PlatformLog, AutoCloseable {

	private static final long TIMEOUT_MS = 2000;

	private static final int MAX_CONNECTIONS = 8;

	private final HttpClient client;

	private final Address address;

	private HttpPlatformLog(HttpClient client, Address address) {
		this.client = client;
		this.address = address;
	}

	/**
	 * Creates a client; connections are opened on first use.
	 * @param vertx the Vert.x instance to use
	 * @param address address of the log service
	 * @return the client
	 */
	public static HttpPlatformLog create(Vertx vertx, Address address) {
		HttpClientOptions options = new HttpClientOptions().setConnectTimeout((int) TIMEOUT_MS);
		HttpClient client = vertx.httpClientBuilder()
			.with(options)
			.with(new io.vertx.core.http.PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS))
			.build();
		return new HttpPlatformLog(client, address);
	}

	@Override
	public CompletionStage<Long> append(String stream, LogRecord record) {
		RequestOptions options = options(HttpMethod.POST, "/streams/" + stream, TIMEOUT_MS);
		return this.client.request(options)
			.compose((request) -> request.send(Buffer.buffer(record.toByteArray())))
			.compose(HttpPlatformLog::body)
			.map((body) -> Long.valueOf(body.toString()))
			.toCompletionStage();
	}

	@Override
	public CompletionStage<LogPage> read(String stream, long from, int maxRecords, long waitMs) {
		String uri = "/streams/" + stream + "?from=" + from + "&most=" + maxRecords + "&wait_ms=" + waitMs;
		RequestOptions options = options(HttpMethod.GET, uri, TIMEOUT_MS + waitMs);
		return this.client.request(options)
			.compose((request) -> request.send())
			.compose(HttpPlatformLog::body)
			.compose(HttpPlatformLog::page)
			.toCompletionStage();
	}

	private RequestOptions options(HttpMethod method, String uri, long timeoutMs) {
		return new RequestOptions().setMethod(method)
			.setHost(this.address.getIp())
			.setPort(this.address.getPort())
			.setURI(uri)
			.setConnectTimeout(TIMEOUT_MS)
			.setIdleTimeout(timeoutMs);
	}

	private static Future<Buffer> body(HttpClientResponse response) {
		if (response.statusCode() != 200) {
			return response.end()
				.compose((end) -> Future.failedFuture("log service responded with status " + response.statusCode()));
		}
		return response.body();
	}

	private static Future<LogPage> page(Buffer body) {
		try {
			RecordPage page = RecordPage.parseFrom(body.getBytes());
			return Future.succeededFuture(new LogPage(page.getRecordsList(), page.getOldest(), page.getHead()));
		}
		catch (InvalidProtocolBufferException ex) {
			return Future.failedFuture(ex);
		}
	}

	@Override
	public void close() {
		this.client.close();
	}

}
