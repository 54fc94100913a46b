package org.wigeontally.control;

import java.util.HexFormat;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Supplier;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Handler;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.grpc.server.GrpcServer;
import io.vertx.grpc.server.GrpcServerOptions;
import io.vertx.grpc.server.Service;

import org.wigeontally.configuration.Configuration;
import org.wigeontally.configuration.KeyRing;
import org.wigeontally.log.PlatformLog;
import org.wigeontally.misc.Clock;
import org.wigeontally.schema.generated.Address;
import org.wigeontally.schema.generated.BackendState;
import org.wigeontally.schema.generated.Change;
import org.wigeontally.schema.generated.ControlGrpcService;
import org.wigeontally.schema.generated.ControlService;
import org.wigeontally.schema.generated.ExchangeReply;
import org.wigeontally.schema.generated.ExchangeRequest;
import org.wigeontally.schema.generated.HostIdentity;
import org.wigeontally.schema.generated.HostState;

/**
 * Thread-safe interface to the control plane of one process. The control plane itself,
 * {@link ControlLoop}, runs on a Vert.x context of its own; every method of this class
 * may be called from any thread.
 */
public final class ControlNode {

	private final Vertx vertx;

	private final ControlLoop loop;

	private final Context context;

	private final String deploymentId;

	private final View view = new View();

	private final GrpcServer server;

	private ControlNode(Vertx vertx, ControlLoop loop, Context context, String deploymentId) {
		this.vertx = vertx;
		this.loop = loop;
		this.context = context;
		this.deploymentId = deploymentId;
		this.server = GrpcServer.server(vertx,
				new GrpcServerOptions().setMaxMessageSize(ExchangeClient.MAX_MESSAGE_BYTES));
		this.server.addService(ControlGrpcService.of(new ExchangeService()));
	}

	/**
	 * Starts the control plane.
	 * @param vertx the Vert.x instance to run on
	 * @param settings settings of the control plane
	 * @param platformLog the platform's log, or null for an agent
	 * @param keyRing keys of operators and owners; {@link KeyRing#acceptingAll()} for an
	 * agent
	 * @param clock the clock
	 * @return a future that succeeds with the running control node
	 */
	public static Future<ControlNode> start(Vertx vertx, ControlSettings settings, PlatformLog platformLog,
			KeyRing keyRing, Clock clock) {
		String processId = HexFormat.of().toHexDigits(ThreadLocalRandom.current().nextLong());
		ControlLoop loop = new ControlLoop(settings, processId, platformLog, keyRing, clock);
		return vertx.deployVerticle(loop).map((id) -> new ControlNode(vertx, loop, loop.context(), id));
	}

	/**
	 * Returns the view for the threads that handle requests.
	 * @return the view
	 */
	public ControlView view() {
		return this.view;
	}

	/**
	 * Adds a gRPC service for other processes of the platform. Must be called before the
	 * server listens.
	 * @param service the service
	 */
	public void addService(Service service) {
		this.server.addService(service);
	}

	/**
	 * Returns the handler of gRPC requests, to which requests with a content type that
	 * starts with "application/grpc" must be routed.
	 * @return the handler
	 */
	public Handler<HttpServerRequest> handler() {
		return this.server;
	}

	/**
	 * Submits an operator's change and waits a few seconds for its outcome.
	 * @param change the signed change
	 * @return a future of the outcome; it fails on an agent
	 */
	public Future<ChangeOutcome> submit(Change change) {
		return runOnControlContext(() -> requireSubmitter().compose((submitter) -> submitter.submit(change)));
	}

	/**
	 * Returns the currently known outcome of a change.
	 * @param id id of the change
	 * @return a future of the outcome; it fails on an agent
	 */
	public Future<ChangeOutcome> outcome(String id) {
		return runOnControlContext(() -> requireSubmitter().map((submitter) -> submitter.currentOutcome(id)));
	}

	private Future<ChangeSubmitter> requireSubmitter() {
		ChangeSubmitter submitter = this.loop.submitter();
		return (submitter != null) ? Future.succeededFuture(submitter)
				: Future.failedFuture("changes are taken by entry hosts only");
	}

	/**
	 * Sets the supplier of the backend server states that this host publishes.
	 * @param supplier called on the control context a few times a second; must not block
	 */
	public void setBackendStates(Supplier<List<BackendState>> supplier) {
		this.loop.setBackendStates(supplier);
	}

	/**
	 * Adds entry hosts to exchange with.
	 * @param entries addresses of the entry hosts
	 */
	public void addEntryAddresses(List<Address> entries) {
		this.context.runOnContext((v) -> this.loop.addEntryAddresses(entries));
	}

	/**
	 * Stops serving and notifies other processes that this one is leaving.
	 * @return a future that completes when the notifications are being sent; it does not
	 * wait for replies
	 */
	public Future<Void> leave() {
		return runOnControlContext(() -> {
			this.loop.leave();
			return Future.succeededFuture();
		});
	}

	/**
	 * Stops the control plane.
	 * @return a future that completes when it has stopped
	 */
	public Future<Void> close() {
		return this.vertx.undeploy(this.deploymentId);
	}

	private <T> Future<T> runOnControlContext(Supplier<Future<T>> action) {
		Promise<T> promise = Promise.promise();
		this.context.runOnContext((v) -> action.get().onComplete(promise));
		return promise.future();
	}

	/**
	 * Serves exchanges. Requests are handled on the control context, and replies are sent
	 * on the context of the connection.
	 */
	private final class ExchangeService extends ControlService {

		@Override
		public Future<ExchangeReply> exchange(ExchangeRequest request) {
			Context connection = ControlNode.this.vertx.getOrCreateContext();
			Promise<ExchangeReply> promise = Promise.promise();
			ControlNode.this.context.runOnContext((v) -> {
				ExchangeReply reply = ControlNode.this.loop.handleRequest(request);
				connection.runOnContext((w) -> promise.complete(reply));
			});
			return promise.future();
		}

	}

	/**
	 * The view that may be read from any thread.
	 */
	private final class View implements ControlView {

		@Override
		public Configuration configuration() {
			return ControlNode.this.loop.replica().configuration();
		}

		@Override
		public boolean isServing() {
			return !ControlNode.this.loop.isLeaving() && ControlNode.this.loop.servingLease().isValid();
		}

		@Override
		public long leaseAgeMs() {
			return ControlNode.this.loop.servingLease().ageMs();
		}

		@Override
		public List<HostState> hosts() {
			return ControlNode.this.loop.hosts();
		}

		@Override
		public HostIdentity self() {
			return ControlNode.this.loop.identity();
		}

	}

}
