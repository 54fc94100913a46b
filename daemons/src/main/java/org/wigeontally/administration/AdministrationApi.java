package org.wigeontally.administration;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.MessageOrBuilder;
import com.google.protobuf.util.JsonFormat;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.wigeontally.errors.ErrorType;
import org.wigeontally.errors.Findings;
import org.wigeontally.schema.generated.Change;
import org.wigeontally.schema.generated.ChangeAnswer;
import org.wigeontally.schema.generated.ErrorAnswer;
import org.wigeontally.schema.generated.Finding;
import org.wigeontally.schema.generated.StatusReport;

/**
 * The administration API over HTTP. Bodies are the JSON form of the schema's messages.
 * Each change is authorised by its signature, not by the connection.
 */
public final class AdministrationApi {

	/** Maximum size of the body of a change. */
	public static final int MAX_CHANGE_BYTES = 4 << 20;

	private static final long ANSWER_TIMEOUT_MS = 10_000;

	private static final String JSON = "application/json";

	private static final Logger logger = LoggerFactory.getLogger(AdministrationApi.class);

	private final Administration administration;

	private AdministrationApi(Administration administration) {
		this.administration = administration;
	}

	/**
	 * Creates the routes, to be mounted under /v1/admin.
	 * @param vertx the Vert.x instance of the server
	 * @param administration operations of the entry
	 * @return the router
	 */
	public static Router createRouter(Vertx vertx, Administration administration) {
		AdministrationApi api = new AdministrationApi(administration);
		Router router = Router.router(vertx);
		router.post("/changes").handler(BodyHandler.create(false).setBodyLimit(MAX_CHANGE_BYTES));
		router.post("/changes").handler(api::handleSubmit);
		router.get("/changes/:id").handler(api::handleOutcome);
		router.get("/bundles").handler((context) -> respond(context, administration::bundles));
		router.get("/status").handler((context) -> respond(context, administration::status));
		router.get("/hosts")
			.handler((context) -> respond(context, () -> administration.status().map(AdministrationApi::hostsReport)));
		router.route().handler((context) -> context.fail(404));
		router.route().failureHandler(AdministrationApi::handleFailure);
		return router;
	}

	private void handleSubmit(RoutingContext context) {
		Change.Builder change = Change.newBuilder();
		Findings findings = Findings.create();
		try {
			String text = context.body().asString();
			JsonFormat.parser().merge((text != null) ? text : "", change);
			ChangeValidator.validate(change, findings);
		}
		catch (InvalidProtocolBufferException ex) {
			findings.add("body", ErrorType.BAD_REQUEST, ex.getMessage());
		}
		if (!findings.isEmpty()) {
			send(context, 400, errorAnswer(findings.list()));
			return;
		}
		Change validChange = change.build();
		withTimeout(() -> this.administration.submit(validChange)).recover((cause) -> {
			logger.warn("administration: outcome of change {} is unknown: {}", validChange.getId(), cause.toString());
			return Future.succeededFuture(unknownAnswer(validChange.getId()));
		}).onSuccess((answer) -> send(context, httpStatus(answer.getOutcome()), answer));
	}

	private void handleOutcome(RoutingContext context) {
		String id = context.pathParam("id");
		respond(context, () -> this.administration.outcome(id));
	}

	private static ChangeAnswer unknownAnswer(String id) {
		return ChangeAnswer.newBuilder().setId(id).setOutcome(ChangeAnswer.Outcome.UNKNOWN).build();
	}

	private static int httpStatus(ChangeAnswer.Outcome outcome) {
		return switch (outcome) {
			case ACCEPTED -> 200;
			case PENDING -> 202;
			case REFUSED -> 409;
			default -> 504;
		};
	}

	private static <T extends MessageOrBuilder> void respond(RoutingContext context, Supplier<Future<T>> action) {
		withTimeout(action).onSuccess((message) -> send(context, 200, message))
			.onFailure((cause) -> context.fail(503, cause));
	}

	private static <T> Future<T> withTimeout(Supplier<Future<T>> action) {
		try {
			return action.get().timeout(ANSWER_TIMEOUT_MS, TimeUnit.MILLISECONDS);
		}
		catch (RuntimeException ex) {
			return Future.failedFuture(ex);
		}
	}

	private static void handleFailure(RoutingContext context) {
		Throwable cause = context.failure();
		int status = (context.statusCode() >= 400) ? context.statusCode() : 500;
		if (status >= 500) {
			logger.warn("administration: {} {} failed: {}", context.request().method(), context.request().path(),
					String.valueOf(cause));
		}
		Findings findings = Findings.create();
		if (status == 413) {
			findings.add("body", ErrorType.BODY_TOO_LARGE, MAX_CHANGE_BYTES);
		}
		else if (status >= 500) {
			findings.add("", ErrorType.NOT_SERVING, "no answer within the time limit");
		}
		else {
			findings.add("path", ErrorType.BAD_REQUEST, context.request().method() + " " + context.request().path());
		}
		send(context, status, errorAnswer(findings.list()));
	}

	private static ErrorAnswer errorAnswer(List<Finding> findings) {
		return ErrorAnswer.newBuilder().addAllFindings(findings).build();
	}

	private static void send(RoutingContext context, int status, MessageOrBuilder message) {
		if (context.response().ended() || context.response().closed()) {
			return;
		}
		try {
			String body = JsonFormat.printer().print(message);
			context.response().setStatusCode(status).putHeader("Content-Type", JSON).end(body + "\n");
		}
		catch (InvalidProtocolBufferException ex) {
			context.response().setStatusCode(500).end();
		}
	}

	private static StatusReport hostsReport(StatusReport report) {
		return StatusReport.newBuilder()
			.setReporter(report.getReporter())
			.setMinimumRevision(report.getMinimumRevision())
			.addAllHosts(report.getHostsList())
			.build();
	}

}
