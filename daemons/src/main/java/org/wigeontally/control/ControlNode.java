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
 * Control of one process, as the rest of the process uses it. Control itself runs on a
 * Vert.x context of its own; every method here may be called from any thread.
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
	 * Starts control.
	 * @param vertx the Vert.x instance to run on
	 * @param settings settings of control
	 * @param log the platform's log, or null for an agent
	 * @param keys keys of operators and owners; {@link KeyRing#acceptingAll()} for an
	 * agent
	 * @param clock the clock
	 * @return control, running
	 */
	public static Future<ControlNode> start(Vertx vertx, ControlSettings settings, PlatformLog log, KeyRing keys,
			Clock clock) {
		String processId = HexFormat.of().toHexDigits(ThreadLocalRandom.current().nextLong());
		ControlLoop loop = new ControlLoop(settings, processId, log, keys, clock);
		return vertx.deployVerticle(loop).map((id) -> new ControlNode(vertx, loop, loop.context(), id));
	}

	/**
	 * Returns what traffic may see.
	 * @return the view
	 */
	public ControlView view() {
		return this.view;
	}

	/**
	 * Adds a service between the project's own processes, before the server listens.
	 * @param service the service
	 */
	public void addService(Service service) {
		this.server.addService(service);
	}

	/**
	 * Returns the handler of gRPC requests, to be mounted where the content type begins
	 * with "application/grpc".
	 * @return the handler
	 */
	public Handler<HttpServerRequest> handler() {
		return this.server;
	}

	/**
	 * Takes an operator's change to its outcome.
	 * @param change the signed change
	 * @return the outcome, within a few seconds
	 */
	public Future<ChangeOutcome> submit(Change change) {
		return runOnControlContext(() -> requireSubmitter().compose((submitter) -> submitter.submit(change)));
	}

	/**
	 * Returns what is known of a change now.
	 * @param id id of the change
	 * @return the outcome
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
	 * Sets where this host's row gets the state of its backend servers from.
	 * @param supplier called on the control thread a few times a second; must not block
	 */
	public void setBackendStates(Supplier<List<BackendState>> supplier) {
		this.loop.setBackendStates(supplier);
	}

	/**
	 * Tells control of entry hosts to exchange with, besides those that it knows.
	 * @param entries their addresses
	 */
	public void addEntryAddresses(List<Address> entries) {
		this.context.runOnContext((v) -> this.loop.addEntryAddresses(entries));
	}

	/**
	 * Tells the other processes that this one leaves; from now on it does not serve.
	 * @return a future that completes when the word is on its way
	 */
	public Future<Void> leave() {
		return runOnControlContext(() -> {
			this.loop.leave();
			return Future.succeededFuture();
		});
	}

	/**
	 * Stops control.
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
	 * Serves exchanges: answers on the control context, replies on the connection's.
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
	 * The view of traffic threads.
	 */
	private final class View implements ControlView {

		@Override
		public Configuration configuration() {
			return ControlNode.this.loop.replica().configuration();
		}

		@Override
		public boolean isServing() {
			return !ControlNode.this.loop.leaving() && ControlNode.this.loop.servingLease().isValid();
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
