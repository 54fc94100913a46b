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
 * Client of the administration API. Asks the entry hosts in turn until one answers and
 * stays with that one. A change may be sent to several entry hosts, since its id counts
 * once.
 */
final class AdminClient implements AutoCloseable {

	private static final int CONNECT_TIMEOUT_MS = 1000;

	private static final long ATTEMPT_TIMEOUT_MS = 8000;

	private static final String ROOT = "/v1/admin";

	private final Vertx vertx;

	private final HttpClient client;

	private final List<Address> entries;

	private int current;

	private boolean mayHaveSent;

	private AdminClient(Vertx vertx, List<Address> entries) {
		this.vertx = vertx;
		this.client = vertx.createHttpClient(new HttpClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MS));
		this.entries = List.copyOf(entries);
	}

	static AdminClient open(List<Address> entries) {
		return new AdminClient(Vertx.vertx(), entries);
	}

	ChangeAnswer submit(Change change) throws EntryException, InputException {
		return request(HttpMethod.POST, "/changes", change, ChangeAnswer.newBuilder()).build();
	}

	/**
	 * Tells whether an entry host that did not answer may have taken a request.
	 * @return false if no connection came about
	 */
	boolean mayHaveSent() {
		return this.mayHaveSent;
	}

	ChangeAnswer outcome(String id) throws EntryException, InputException {
		return request(HttpMethod.GET, "/changes/" + id, null, ChangeAnswer.newBuilder()).build();
	}

	BundleList bundles() throws EntryException, InputException {
		return request(HttpMethod.GET, "/bundles", null, BundleList.newBuilder()).build();
	}

	StatusReport status() throws EntryException, InputException {
		return request(HttpMethod.GET, "/status", null, StatusReport.newBuilder()).build();
	}

	private <B extends Message.Builder> B request(HttpMethod method, String path, Message body, B answer)
			throws EntryException, InputException {
		StringBuilder failures = new StringBuilder();
		for (int i = 0; i < this.entries.size(); i++) {
			Address entry = this.entries.get(this.current);
			try {
				Reply reply = await(send(entry, method, path, body));
				if (reply.status() < 500 || isChangeAnswer(reply)) {
					return read(entry, reply, answer);
				}
				failures.append(failure(entry, "status " + reply.status()));
			}
			catch (ExecutionException | TimeoutException ex) {
				this.mayHaveSent |= !(ex.getCause() instanceof ConnectException);
				failures
					.append(failure(entry, (ex.getCause() != null) ? ex.getCause().getMessage() : "no answer in time"));
			}
			this.current = (this.current + 1) % this.entries.size();
		}
		throw new EntryException(ErrorType.NO_ENTRY_REACHED, failures);
	}

	private static boolean isChangeAnswer(Reply reply) {
		return reply.status() == 504 && reply.body().contains("\"outcome\"");
	}

	private static String failure(Address entry, String reason) {
		return "\n  " + Addresses.format(entry) + ": " + reason;
	}

	private Future<Reply> send(Address entry, HttpMethod method, String path, Message body) {
		RequestOptions options = new RequestOptions().setMethod(method)
			.setHost(entry.getIp())
			.setPort(entry.getPort())
			.setURI(ROOT + path)
			.setIdleTimeout(ATTEMPT_TIMEOUT_MS);
		Buffer content = (body != null) ? Buffer.buffer(json(body)) : Buffer.buffer();
		return this.client.request(options)
			.compose((request) -> request.putHeader("Content-Type", "application/json").send(content))
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

	private static <B extends Message.Builder> B read(Address entry, Reply reply, B answer)
			throws EntryException, InputException {
		try {
			if (reply.status() == 400 || reply.status() == 413) {
				ErrorAnswer.Builder error = ErrorAnswer.newBuilder();
				JsonFormat.parser().ignoringUnknownFields().merge(reply.body(), error);
				throw InputException.of(error.getFindingsList());
			}
			JsonFormat.parser().ignoringUnknownFields().merge(reply.body(), answer);
			return answer;
		}
		catch (InvalidProtocolBufferException ex) {
			throw new EntryException(ErrorType.BAD_ANSWER, Addresses.format(entry), reply.status(), ex.getMessage());
		}
	}

	private static String json(Message message) {
		try {
			return JsonFormat.printer().print(message);
		}
		catch (InvalidProtocolBufferException ex) {
			throw new IllegalStateException("the schema has no type that JSON lacks", ex);
		}
	}

	@Override
	public void close() {
		this.client.close();
		this.vertx.close().toCompletionStage().toCompletableFuture().join();
	}

	/**
	 * An HTTP answer.
	 *
	 * @param status status code
	 * @param body text of the body
	 */
	private record Reply(int status, String body) {

	}

}
