package org.wigeontally.control;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BooleanSupplier;

import io.vertx.core.Future;
import io.vertx.core.Handler;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import org.wigeontally.configuration.KeyRing;
import org.wigeontally.configuration.TestOperators;
import org.wigeontally.control.ChangeOutcome.Status;
import org.wigeontally.emulator.platform.MemoryLog;
import org.wigeontally.errors.ErrorType;
import org.wigeontally.misc.Clock;
import org.wigeontally.schema.generated.Address;
import org.wigeontally.schema.generated.Bundle;
import org.wigeontally.schema.generated.Change;
import org.wigeontally.schema.generated.Finding;
import org.wigeontally.schema.generated.HostIdentity;
import org.wigeontally.schema.generated.HostState;
import org.wigeontally.schema.generated.Liveness;
import org.wigeontally.schema.generated.Role;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Runs three entry hosts and an agent in one process. They exchange over gRPC on the
 * loopback interface and use an in-memory log.
 */
public class ControlNodeTests {

	private static final List<String> ENTRIES = List.of("e1", "e2", "e3");

	private final TestOperators operators = TestOperators.create();

	private Vertx vertx;

	private MemoryLog log;

	private final List<Address> addresses = new ArrayList<>();

	private final List<ControlNode> nodes = new ArrayList<>();

	private final List<AtomicReference<Handler<HttpServerRequest>>> handlers = new ArrayList<>();

	private ControlNode agent;

	@BeforeMethod
	public void start() throws Exception {
		this.vertx = Vertx.vertx();
		this.log = MemoryLog.create(Clock.system(), 1);
		for (int i = 0; i <= ENTRIES.size(); i++) {
			AtomicReference<Handler<HttpServerRequest>> handler = new AtomicReference<>(
					(request) -> request.response().setStatusCode(503).end());
			this.handlers.add(handler);
			HttpServer server = this.vertx.createHttpServer()
				.requestHandler((request) -> handler.get().handle(request));
			await(server.listen(0, "127.0.0.1"));
			this.addresses.add(Address.newBuilder().setIp("127.0.0.1").setPort(server.actualPort()).build());
		}
		for (int i = 0; i < ENTRIES.size(); i++) {
			ControlNode node = startNode(ENTRIES.get(i), Role.ENTRY, this.addresses.get(i), this.log);
			this.handlers.get(i).set(node.handler());
			this.nodes.add(node);
		}
		this.agent = startNode("b1", Role.AGENT, this.addresses.get(ENTRIES.size()), null);
	}

	private ControlNode startNode(String host, Role role, Address address, MemoryLog platformLog) throws Exception {
		HostIdentity self = HostIdentity.newBuilder()
			.setHost(host)
			.setZone("z")
			.setRole(role)
			.setAddress(address)
			.build();
		ControlSettings settings = new ControlSettings(self, this.addresses.subList(0, ENTRIES.size()), 3_600_000);
		KeyRing keys = (role == Role.ENTRY) ? this.operators.keyRing() : KeyRing.acceptingAll();
		return await(ControlNode.start(this.vertx, settings, platformLog, keys, Clock.system()));
	}

	@AfterMethod(alwaysRun = true)
	public void stop() throws Exception {
		await(this.vertx.close());
		this.nodes.clear();
		this.handlers.clear();
		this.addresses.clear();
	}

	@Test
	public void rollsOutBundleAndDisablesZoneOnAllHosts() throws Exception {
		awaitCondition(() -> this.nodes.stream().allMatch((node) -> node.view().self().getIncarnation() > 0));
		Bundle bundle = this.operators.bundle("b-1", "", ENTRIES);
		ChangeOutcome proposed = submit(0, this.operators.propose("ann", "c1", bundle));
		assertThat(proposed.status()).isEqualTo(Status.ACCEPTED);
		ChangeOutcome selfSignOff = submit(1, this.operators.signOff("ann", "c2", proposed.revision(), bundle));
		assertThat(selfSignOff.findings()).extracting(Finding::getNumber)
			.containsExactly(ErrorType.OWN_SIGN_OFF.number());
		ChangeOutcome signedOff = submit(1, this.operators.signOff("ben", "c3", proposed.revision(), bundle));
		ChangeOutcome rolledOut = submit(2, this.operators.roll("ann", "c4", signedOff.revision(), "b-1"));
		assertThat(rolledOut.status()).isEqualTo(Status.ACCEPTED);
		awaitCondition(() -> this.agent.view().configuration().isApproved("koro", "yard-ops")
				&& this.agent.view().isServing());
		assertThat(submit(0, this.operators.setZone("ann", "c5", 0, "z", true)).status()).isEqualTo(Status.ACCEPTED);
		awaitCondition(() -> this.agent.view().configuration().isZoneOut("z"));
		awaitCondition(() -> submit(0, this.operators.setZone("ann", "c5", 0, "z", true)).minimumRevision() >= rolledOut
			.revision());
	}

	@Test
	public void keepsServingInALogOutageAndReportsUnknown() throws Exception {
		awaitCondition(() -> this.agent.view().isServing() && this.agent.view().self().getIncarnation() > 0);
		assertThat(submit(0, this.operators.setZone("ann", "c1", 0, "z", true)).status()).isEqualTo(Status.ACCEPTED);
		this.log.outage(true);
		assertThat(submit(0, this.operators.setZone("ann", "c2", 0, "z2", true)).status()).isEqualTo(Status.UNKNOWN);
		Thread.sleep(3000);
		assertThat(this.nodes).allMatch((node) -> node.view().isServing());
		assertThat(this.agent.view().isServing()).isTrue();
		this.log.outage(false);
		this.log.lostReplies(1);
		assertThat(submit(0, this.operators.setZone("ann", "c2", 0, "z2", true)).status()).isEqualTo(Status.ACCEPTED);
	}

	@Test
	public void observesAgentLeavingAndSuspected() throws Exception {
		awaitCondition(() -> commonLiveness("b1") == Liveness.LIVE);
		await(this.agent.leave());
		assertThat(this.agent.view().isServing()).isFalse();
		awaitCondition(() -> commonLiveness("b1") == Liveness.LEAVING);
		await(this.agent.close());
		awaitCondition(() -> commonLiveness("b1") == Liveness.SUSPECTED);
	}

	/** Two of three entry hosts accept the exchanges of the agent but do not answer. */
	@Test
	public void agentKeepsItsLeaseWhileOneEntryHostAnswers() throws Exception {
		awaitCondition(() -> this.agent.view().isServing());
		awaitCondition(() -> this.nodes.stream().allMatch((node) -> node.view().isServing()));
		for (int answering = 0; answering < ENTRIES.size(); answering++) {
			for (int i = 0; i < ENTRIES.size(); i++) {
				this.handlers.get(i).set((i == answering) ? this.nodes.get(i).handler() : HttpServerRequest::pause);
			}
			long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(3);
			while (System.nanoTime() < endNanos) {
				assertThat(this.agent.view().isServing()).as("only %s answers", ENTRIES.get(answering)).isTrue();
				Thread.sleep(10);
			}
		}
	}

	private Liveness commonLiveness(String host) {
		Liveness common = null;
		for (ControlNode node : this.nodes) {
			for (HostState hostState : node.view().hosts()) {
				if (hostState.getHost().getHost().equals(host)) {
					boolean same = common == null || common == hostState.getLiveness();
					common = same ? hostState.getLiveness() : Liveness.LIVENESS_UNSPECIFIED;
				}
			}
		}
		return common;
	}

	private ChangeOutcome submit(int nodeIndex, Change change) {
		try {
			return await(this.nodes.get(nodeIndex).submit(change));
		}
		catch (Exception ex) {
			throw new IllegalStateException(ex);
		}
	}

	private static void awaitCondition(BooleanSupplier condition) throws InterruptedException {
		long deadlineNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(8);
		while (!condition.getAsBoolean()) {
			assertThat(System.nanoTime()).as("time to reach the condition").isLessThan(deadlineNs);
			Thread.sleep(20);
		}
	}

	private static <T> T await(Future<T> future) throws Exception {
		return future.toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
	}

}
