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
 * Asks entries and agents about claims over HTTP. Safe for use by several threads.
 */
final class InquiryClient implements ClaimInquiries, AutoCloseable {

	static final String REPORT_PATH = "/claims/report";

	private static final String FENCE_PATH = "/claims/fence";

	private static final int TIMEOUT_MS = 500;

	private final HttpClient client;

	private final ControlView view;

	private InquiryClient(HttpClient client, ControlView view) {
		this.client = client;
		this.view = view;
	}

	static InquiryClient create(Vertx vertx, ControlView view) {
		HttpClientOptions options = new HttpClientOptions().setConnectTimeout(TIMEOUT_MS).setTcpNoDelay(true);
		return new InquiryClient(vertx.createHttpClient(options), view);
	}

	@Override
	public CompletionStage<ClaimReport> askHolder(Claim claim) {
		ClaimInquiry inquiry = ClaimInquiry.newBuilder().setClaim(claim.getId()).build();
		return ask(host((host) -> host.getRole() == Role.ENTRY && host.getHost().equals(claim.getHost())), REPORT_PATH,
				inquiry);
	}

	@Override
	public CompletionStage<ClaimReport> fence(String process, ClaimGrant holding) {
		ClaimInquiry inquiry = ClaimInquiry.newBuilder()
			.setClaim(holding.claim().getId())
			.setProcess(process)
			.setTimeMs(holding.logTimeMs())
			.build();
		return ask(host((host) -> host.getProcess().equals(process)), FENCE_PATH, inquiry);
	}

	private Optional<HostIdentity> host(Predicate<HostIdentity> wanted) {
		return this.view.hosts().stream().map(HostState::getHost).filter(wanted).findFirst();
	}

	private CompletionStage<ClaimReport> ask(Optional<HostIdentity> host, String path, ClaimInquiry inquiry) {
		if (host.isEmpty()) {
			return Future.<ClaimReport>failedFuture("the process is not known").toCompletionStage();
		}
		RequestOptions options = new RequestOptions().setMethod(HttpMethod.POST)
			.setHost(host.get().getAddress().getIp())
			.setPort(host.get().getAddress().getPort())
			.setURI(path)
			.setConnectTimeout(TIMEOUT_MS)
			.setIdleTimeout(TIMEOUT_MS);
		return this.client.request(options)
			.compose((request) -> request.send(Buffer.buffer(inquiry.toByteArray())))
			.compose(InquiryClient::report)
			.toCompletionStage();
	}

	private static Future<ClaimReport> report(HttpClientResponse response) {
		if (response.statusCode() != 200) {
			return response.end().compose((end) -> Future.failedFuture("status " + response.statusCode()));
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
