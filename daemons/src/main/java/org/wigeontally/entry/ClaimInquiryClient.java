package org.wigeontally.entry;

import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.function.Predicate;

import com.google.protobuf.InvalidProtocolBufferException;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;

import org.wigeontally.claims.ClaimGrant;
import org.wigeontally.claims.ClaimInquiries;
import org.wigeontally.control.ControlView;
import org.wigeontally.schema.generated.Claim;
import org.wigeontally.schema.generated.ClaimInquiry;
import org.wigeontally.schema.generated.ClaimReport;
import org.wigeontally.schema.generated.HostIdentity;
import org.wigeontally.schema.generated.HostState;
import org.wigeontally.schema.generated.Role;

/**
 * Sends inquiries about claims to entries and agents over HTTP. Thread-safe.
 */
final class ClaimInquiryClient implements ClaimInquiries, AutoCloseable {

	static final String REPORT_PATH = "/claims/report";

	private static final String FENCE_PATH = "/claims/fence";

	private static final int TIMEOUT_MS = 500;

	private final HttpClient client;

	private final ControlView view;

	private ClaimInquiryClient(HttpClient client, ControlView view) {
		this.client = client;
		this.view = view;
	}

	static ClaimInquiryClient create(Vertx vertx, ControlView view) {
		HttpClientOptions options = new HttpClientOptions().setConnectTimeout(TIMEOUT_MS).setTcpNoDelay(true);
		return new ClaimInquiryClient(vertx.createHttpClient(options), view);
	}

	@Override
	public CompletionStage<ClaimReport> askHolder(Claim claim) {
		ClaimInquiry inquiry = ClaimInquiry.newBuilder().setClaim(claim.getId()).build();
		return sendInquiry(findHost((host) -> host.getRole() == Role.ENTRY && host.getHost().equals(claim.getHost())),
				REPORT_PATH, inquiry);
	}

	@Override
	public CompletionStage<ClaimReport> fence(String processId, ClaimGrant grant) {
		ClaimInquiry inquiry = ClaimInquiry.newBuilder()
			.setClaim(grant.claim().getId())
			.setProcess(processId)
			.setTimeMs(grant.logTimeMs())
			.build();
		return sendInquiry(findHost((host) -> host.getProcess().equals(processId)), FENCE_PATH, inquiry);
	}

	private Optional<HostIdentity> findHost(Predicate<HostIdentity> condition) {
		return this.view.hosts().stream().map(HostState::getHost).filter(condition).findFirst();
	}

	private CompletionStage<ClaimReport> sendInquiry(Optional<HostIdentity> host, String path, ClaimInquiry inquiry) {
		if (host.isEmpty()) {
			return Future.<ClaimReport>failedFuture("no known host matches the inquiry").toCompletionStage();
		}
		RequestOptions options = new RequestOptions().setMethod(HttpMethod.POST)
			.setHost(host.get().getAddress().getIp())
			.setPort(host.get().getAddress().getPort())
			.setURI(path)
			.setConnectTimeout(TIMEOUT_MS)
			.setIdleTimeout(TIMEOUT_MS);
		return this.client.request(options)
			.compose((request) -> request.send(Buffer.buffer(inquiry.toByteArray())))
			.compose(ClaimInquiryClient::parseReport)
			.toCompletionStage();
	}

	private static Future<ClaimReport> parseReport(HttpClientResponse response) {
		if (response.statusCode() != 200) {
			return response.end()
				.compose((end) -> Future.failedFuture("the inquiry was answered with status " + response.statusCode()));
		}
		return response.body().compose((body) -> {
			try {
				return Future.succeededFuture(ClaimReport.parseFrom(body.getBytes()));
			}
			catch (InvalidProtocolBufferException ex) {
				return Future.failedFuture(ex);
			}
		});
	}

	@Override
	public void close() {
		this.client.close();
	}

}
