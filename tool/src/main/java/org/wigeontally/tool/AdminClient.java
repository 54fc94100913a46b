package org.wigeontally.tool;

import java.net.ConnectException;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.Message;
import com.google.protobuf.util.JsonFormat;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;

import org.wigeontally.errors.ErrorType;
import org.wigeontally.errors.InputException;
import org.wigeontally.schema.generated.Address;
import org.wigeontally.schema.generated.BundleList;
import org.wigeontally.schema.generated.Change;
import org.wigeontally.schema.generated.ChangeAnswer;
import org.wigeontally.schema.generated.ErrorAnswer;
import org.wigeontally.schema.generated.StatusReport;
import org.wigeontally.settings.Addresses;

/**
 * HTTP client of the administration API. Tries the entry hosts in turn until one responds
 * and sends the following requests to the same host. Sending a change to several entry
 * hosts is safe because a change id takes effect at most once. Requests block the calling
 * thread.
 */
final class AdminClient implements AutoCloseable {

	private static final int CONNECT_TIMEOUT_MS = 1000;

	private static final long ATTEMPT_TIMEOUT_MS = 8000;

	private static final String API_ROOT = "/v1/admin";

	private final Vertx vertx;

	private final HttpClient client;

	private final List<Address> entryAddresses;

	private int currentIndex;

	private boolean mayHaveReachedEntry;

	private AdminClient(Vertx vertx, List<Address> entries) {
		this.vertx = vertx;
		this.client = vertx.createHttpClient(new HttpClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MS));
		this.entryAddresses = List.copyOf(entries);
	}

	static AdminClient open(List<Address> entries) {
		return new AdminClient(Vertx.vertx(), entries);
	}

	ChangeAnswer submit(Change change) throws AdminApiException, InputException {
		return requestFromAnyEntry(HttpMethod.POST, "/changes", change, ChangeAnswer.newBuilder()).build();
	}

	/**
	 * Returns whether a request that failed without a response may have reached an entry
	 * host.
	 * @return false if every such failure was a failure to connect
	 */
	boolean mayHaveReachedEntry() {
		return this.mayHaveReachedEntry;
	}

	ChangeAnswer changeOutcome(String id) throws AdminApiException, InputException {
		return requestFromAnyEntry(HttpMethod.GET, "/changes/" + id, null, ChangeAnswer.newBuilder()).build();
	}

	BundleList bundles() throws AdminApiException, InputException {
		return requestFromAnyEntry(HttpMethod.GET, "/bundles", null, BundleList.newBuilder()).build();
	}

	StatusReport status() throws AdminApiException, InputException {
		return requestFromAnyEntry(HttpMethod.GET, "/status", null, StatusReport.newBuilder()).build();
	}

	private <B extends Message.Builder> B requestFromAnyEntry(HttpMethod method, String path, Message body,
			B answerBuilder) throws AdminApiException, InputException {
		StringBuilder failures = new StringBuilder();
		for (int i = 0; i < this.entryAddresses.size(); i++) {
			Address entry = this.entryAddresses.get(this.currentIndex);
			try {
				Reply reply = await(send(entry, method, path, body));
				if (reply.status() < 500 || isChangeAnswer(reply)) {
					return parseReply(entry, reply, answerBuilder);
				}
				failures.append(formatFailure(entry, "status " + reply.status()));
			}
			catch (ExecutionException | TimeoutException ex) {
				this.mayHaveReachedEntry |= !(ex.getCause() instanceof ConnectException);
				failures.append(formatFailure(entry,
						(ex.getCause() != null) ? ex.getCause().getMessage() : "no response before the timeout"));
			}
			this.currentIndex = (this.currentIndex + 1) % this.entryAddresses.size();
		}
		throw new AdminApiException(ErrorType.NO_ENTRY_REACHED, failures);
	}

	// The API responds to a change of unknown outcome with status 504 and a change
	// answer.
	private static boolean isChangeAnswer(Reply reply) {
		return reply.status() == 504 && reply.body().contains("\"outcome\"");
	}

	private static String formatFailure(Address entry, String reason) {
		return "\n  " + Addresses.format(entry) + ": " + reason;
	}

	private Future<Reply> send(Address entry, HttpMethod method, String path, Message body) {
		RequestOptions options = new RequestOptions().setMethod(method)
			.setHost(entry.getIp())
			.setPort(entry.getPort())
			.setURI(API_ROOT + path)
			.setIdleTimeout(ATTEMPT_TIMEOUT_MS);
		Buffer content = (body != null) ? Buffer.buffer(toJson(body)) : Buffer.buffer();
		return this.client.request(options).compose((request) -> sendAndReadReply(request, content));
	}

	// Reads the response body on the event loop of the connection: the handler must be in
	// place before the body arrives.
	private static Future<Reply> sendAndReadReply(HttpClientRequest request, Buffer content) {
		return request.putHeader("Content-Type", "application/json")
			.send(content)
			.compose((response) -> response.body().map((bytes) -> new Reply(response.statusCode(), bytes.toString())));
	}

	private static <T> T await(Future<T> future) throws ExecutionException, TimeoutException {
		try {
			return future.toCompletionStage().toCompletableFuture().get(ATTEMPT_TIMEOUT_MS, TimeUnit.MILLISECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new ExecutionException("interrupted", ex);
		}
	}

	private static <B extends Message.Builder> B parseReply(Address entry, Reply reply, B answerBuilder)
			throws AdminApiException, InputException {
		try {
			if (reply.status() == 400 || reply.status() == 413) {
				ErrorAnswer.Builder errorBuilder = ErrorAnswer.newBuilder();
				JsonFormat.parser().ignoringUnknownFields().merge(reply.body(), errorBuilder);
				throw InputException.of(errorBuilder.getFindingsList());
			}
			JsonFormat.parser().ignoringUnknownFields().merge(reply.body(), answerBuilder);
			return answerBuilder;
		}
		catch (InvalidProtocolBufferException ex) {
			throw new AdminApiException(ErrorType.BAD_ANSWER, Addresses.format(entry), reply.status(), ex.getMessage());
		}
	}

	private static String toJson(Message message) {
		try {
			return JsonFormat.printer().print(message);
		}
		catch (InvalidProtocolBufferException ex) {
			throw new IllegalStateException("unexpected: all types of the schema have a JSON form", ex);
		}
	}

	@Override
	public void close() {
		this.client.close();
		this.vertx.close().toCompletionStage().toCompletableFuture().join();
	}

	/**
	 * Status and body of an HTTP response.
	 *
	 * @param status status code
	 * @param body body as text
	 */
	private record Reply(int status, String body) {

	}

}
