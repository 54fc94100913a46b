package org.wigeontally.administration;

import java.util.List;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.ext.web.Router;

import org.wigeontally.configuration.Configuration;
import org.wigeontally.configuration.ConfigurationStateMachine;
import org.wigeontally.configuration.KeyRing;
import org.wigeontally.errors.InputException;
import org.wigeontally.schema.generated.Address;
import org.wigeontally.schema.generated.BundleList;
import org.wigeontally.schema.generated.Change;
import org.wigeontally.schema.generated.ChangeAnswer;
import org.wigeontally.schema.generated.ConfigurationSnapshot;
import org.wigeontally.schema.generated.HostStatus;
import org.wigeontally.schema.generated.Liveness;
import org.wigeontally.schema.generated.LogRecord;
import org.wigeontally.schema.generated.OffsetRecord;
import org.wigeontally.schema.generated.OperatorKey;
import org.wigeontally.schema.generated.Role;
import org.wigeontally.schema.generated.Standing;
import org.wigeontally.schema.generated.StatusReport;
import org.wigeontally.schema.generated.Verdict;
import org.wigeontally.schema.generated.ZoneState;
import org.wigeontally.schema.generated.ZoneStatus;

/**
 * Implementation of an entry's administration for tests. It applies changes directly to
 * the configuration state machine, without a log, and reports one availability zone
 * "west-a" with one host "entry-1".
 */
public final class InMemoryAdministration implements Administration, AutoCloseable {

	private final Vertx vertx = Vertx.vertx();

	private final ConfigurationStateMachine stateMachine;

	private Configuration configuration = Configuration.of(ConfigurationSnapshot.getDefaultInstance());

	private volatile boolean pending;

	private volatile boolean failing;

	private HttpServer server;

	private InMemoryAdministration(ConfigurationStateMachine stateMachine) {
		this.stateMachine = stateMachine;
	}

	public static InMemoryAdministration start(List<OperatorKey> keys) throws InputException {
		InMemoryAdministration administration = new InMemoryAdministration(
				ConfigurationStateMachine.create(KeyRing.of(keys)));
		Router root = Router.router(administration.vertx);
		root.route("/v1/admin/*").subRouter(AdministrationApi.createRouter(administration.vertx, administration));
		administration.server = administration.vertx.createHttpServer()
			.requestHandler(root)
			.listen(0, "127.0.0.1")
			.toCompletionStage()
			.toCompletableFuture()
			.join();
		return administration;
	}

	public int port() {
		return this.server.actualPort();
	}

	public void setPending(boolean value) {
		this.pending = value;
	}

	public void setFailing(boolean value) {
		this.failing = value;
	}

	@Override
	public synchronized Future<ChangeAnswer> submit(Change change) {
		if (this.failing) {
			return Future.failedFuture("the reply of the log was lost");
		}
		OffsetRecord record = OffsetRecord.newBuilder()
			.setOffset(this.configuration.appliedOffset() + 1)
			.setRecord(LogRecord.newBuilder().setChange(change))
			.build();
		this.configuration = this.stateMachine.apply(this.configuration, record).configuration();
		return outcome(change.getId());
	}

	@Override
	public synchronized Future<ChangeAnswer> outcome(String id) {
		ChangeAnswer.Builder answer = ChangeAnswer.newBuilder().setId(id).setOutcome(ChangeAnswer.Outcome.UNKNOWN);
		this.configuration.verdict(id).ifPresent((verdict) -> fillOutcome(answer, verdict));
		return Future.succeededFuture(answer.build());
	}

	private void fillOutcome(ChangeAnswer.Builder answer, Verdict verdict) {
		if (!verdict.getAccepted()) {
			answer.setOutcome(ChangeAnswer.Outcome.REFUSED).addAllFindings(verdict.getFindingsList());
			return;
		}
		answer.setOutcome(this.pending ? ChangeAnswer.Outcome.PENDING : ChangeAnswer.Outcome.ACCEPTED);
		answer.setRevision(verdict.getOffset());
	}

	@Override
	public synchronized Future<BundleList> bundles() {
		ConfigurationSnapshot snapshot = this.configuration.snapshot();
		BundleList.Builder list = BundleList.newBuilder()
			.setRolledAt(snapshot.getRolledAt())
			.addAllProposed(snapshot.getProposedList());
		if (snapshot.hasInForce()) {
			list.setInForce(snapshot.getInForce());
		}
		return Future.succeededFuture(list.build());
	}

	@Override
	public synchronized Future<StatusReport> status() {
		ConfigurationSnapshot snapshot = this.configuration.snapshot();
		ZoneStatus.Builder zone = ZoneStatus.newBuilder().setZone("west-a").setRegion("west").setEntriesLive(1);
		for (ZoneState state : snapshot.getZonesList()) {
			zone.setOut(state.getOut()).setRevision(state.getRevision());
		}
		HostStatus host = HostStatus.newBuilder()
			.setHost("entry-1")
			.setRole(Role.ENTRY)
			.setZone("west-a")
			.setAddress(Address.newBuilder().setIp("127.0.0.1").setPort(port()))
			.setLiveness(Liveness.LIVE)
			.setHeldRevision(this.pending ? 0 : snapshot.getRevision())
			.build();
		return Future.succeededFuture(StatusReport.newBuilder()
			.setReporter("entry-1")
			.setStanding(Standing.newBuilder().setRevision(snapshot.getRevision()))
			.setBundle(snapshot.getInForce().getName())
			.setMinimumRevision(host.getHeldRevision())
			.addZones(zone)
			.addHosts(host)
			.build());
	}

	@Override
	public void close() {
		this.vertx.close().toCompletionStage().toCompletableFuture().join();
	}

}
