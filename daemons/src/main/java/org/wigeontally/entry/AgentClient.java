package org.wigeontally.entry;

import java.util.HexFormat;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.JsonObject;

import org.wigeontally.errors.ErrorType;
import org.wigeontally.http.Headers;
import org.wigeontally.http.Outcome;
import org.wigeontally.http.Refusal;
import org.wigeontally.schema.generated.Address;

/**
 * Sends dispatches to agents. Every dispatch has a unique id that the answer must repeat.
 * An answer with another id is discarded and its connection closed, so that a caller
 * never gets the answer to another request. Thread-safe.
 */
final class AgentClient implements AutoCloseable {

	private static final int CONNECT_TIMEOUT_MS = 500;

	private static final int MAX_CONNECTIONS = 1024;

	/**
	 * Idle time after which a connection is closed. Together with the interval of the
	 * checks shorter than an agent announces its end (3 s): a connection that is still
	 * kept when the agent closes was used meanwhile, and that answer has closed it.
	 */
	private static final int KEEP_ALIVE_S = 1;

	private static final int KEEP_ALIVE_CHECK_INTERVAL_MS = 500;

	/**
	 * Equals the connect timeout: within that time, a busy agent accepts the connection,
	 * and one that does not accept it is taken to be down.
	 */
	private static final long RETRY_AFTER_MS = CONNECT_TIMEOUT_MS;

	private final HttpClient client;

	private AgentClient(HttpClient client) {
		this.client = client;
	}

	static AgentClient create(Vertx vertx) {
		HttpClientOptions options = new HttpClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MS)
			.setKeepAliveTimeout(KEEP_ALIVE_S)
			.setTcpNoDelay(true);
		PoolOptions pool = new PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS)
			.setCleanerPeriod(KEEP_ALIVE_CHECK_INTERVAL_MS);
		return new AgentClient(vertx.httpClientBuilder().with(options).with(pool).build());
	}

	/**
	 * Sends one dispatch.
	 * @param agent address of the agent
	 * @param dispatch the dispatch
	 * @return the result; never fails
	 */
	Future<DispatchResult> send(Address agent, Dispatch dispatch) {
		RequestOptions options = new RequestOptions().setMethod(dispatch.request().method())
			.setHost(agent.getIp())
			.setPort(agent.getPort())
			.setConnectTimeout(CONNECT_TIMEOUT_MS)
			.setURI("/dispatch/" + dispatch.request().service().getName() + dispatch.request().path());
		return this.client.request(options).transform((connected) -> {
			if (connected.failed()) {
				return Future.succeededFuture(connectionFailed(connected.cause()));
			}
			return sendOn(connected.result(), dispatch);
		});
	}

	private static DispatchResult connectionFailed(Throwable cause) {
		return new DispatchResult.NotRun(Refusal.notRun(ErrorType.NOT_SERVING, RETRY_AFTER_MS, cause.getMessage()),
				null);
	}

	private static Future<DispatchResult> sendOn(HttpClientRequest request, Dispatch dispatch) {
		if (!dispatch.tryBegin(request)) {
			request.reset();
			return Future
				.succeededFuture(new DispatchResult.NotRun(Refusal.notRun(ErrorType.DEADLINE, Refusal.NO_RETRY), null));
		}
		request.putHeader(Headers.DISPATCH, dispatch.id())
			.putHeader(Headers.ORGANISATION, dispatch.request().organisation().getName())
			.putHeader(Headers.PRIORITY, dispatch.request().priority())
			.putHeader(Headers.VERSION, dispatch.version())
			.putHeader(Headers.REVISION, Long.toString(dispatch.configurationRevision()))
			.putHeader(Headers.DEADLINE_MS, Long.toString(dispatch.remainingMs()))
			.putHeader(Headers.CLAIM, dispatch.claimHeader())
			.putHeader(Headers.FINGERPRINT, HexFormat.of().formatHex(dispatch.fingerprint().bytes().toByteArray()))
			.putHeader(Headers.SUSPECT, Boolean.toString(dispatch.isSuspect()));
		return request.send(dispatch.request().body()).transform((answered) -> {
			if (answered.failed()) {
				return Future.succeededFuture(new DispatchResult.Unknown(answered.cause().getMessage()));
			}
			return classify(answered.result(), dispatch);
		});
	}

	private static Future<DispatchResult> classify(HttpClientResponse response, Dispatch dispatch) {
		if (!dispatch.id().equals(response.getHeader(Headers.DISPATCH))) {
			response.request().connection().close();
			return Future.succeededFuture(new DispatchResult.Unknown("the answer belongs to another dispatch"));
		}
		String outcome = response.getHeader(Headers.OUTCOME);
		if (Outcome.DONE.headerValue().equals(outcome)) {
			response.pause();
			return Future.succeededFuture(new DispatchResult.Answered(response));
		}
		if (Outcome.NOT_RUN.headerValue().equals(outcome)) {
			return response.body().transform((body) -> Future.succeededFuture(parseRefusal(response, body.result())));
		}
		return response.end()
			.transform((end) -> Future.succeededFuture(new DispatchResult.Unknown("the agent lost track")));
	}

	private static DispatchResult parseRefusal(HttpClientResponse response, io.vertx.core.buffer.Buffer body) {
		ErrorType error = ErrorType.NOT_SERVING;
		String number = response.getHeader(Headers.ERROR);
		for (ErrorType type : ErrorType.values()) {
			if (Integer.toString(type.number()).equals(number)) {
				error = type;
				break;
			}
		}
		String retryAfter = response.getHeader(Headers.RETRY_AFTER_MS);
		long retryAfterMs = (retryAfter != null) ? Long.parseLong(retryAfter) : Refusal.NO_RETRY;
		String message = (body != null) ? new JsonObject(body).getString("message", "") : "";
		return new DispatchResult.NotRun(new Refusal(error, message, Outcome.NOT_RUN, retryAfterMs),
				response.getHeader(Headers.LOAD));
	}

	@Override
	public void close() {
		this.client.close();
	}

}
