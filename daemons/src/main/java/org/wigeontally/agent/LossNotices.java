package org.wigeontally.agent;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.TimeUnit;

import com.google.protobuf.ByteString;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpVersion;
import io.vertx.grpc.client.GrpcClient;
import io.vertx.grpc.client.GrpcClientOptions;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.wigeontally.control.ControlView;
import org.wigeontally.harmful.Fingerprint;
import org.wigeontally.harmful.HarmfulRequestTracker;
import org.wigeontally.misc.Clock;
import org.wigeontally.rpc.PeerClient;
import org.wigeontally.schema.generated.Address;
import org.wigeontally.schema.generated.HarmfulGrpcClient;
import org.wigeontally.schema.generated.HostState;
import org.wigeontally.schema.generated.Liveness;
import org.wigeontally.schema.generated.Role;
import org.wigeontally.schema.generated.SuspectSummary;

/**
 * Tells all entries which contents ran at a backend server when it was lost. The agent
 * knows all of them, whichever entries they came from. A failed request is answered only
 * after the entries know, or {@link #TELL_TIMEOUT_MS} later, so that a re-send meets an
 * entry that knows. Connections that break within {@link #SAME_LOSS_MS} of the first
 * belong to the same loss. Safe for use by several threads.
 */
final class LossNotices implements AutoCloseable {

	private static final Logger logger = LoggerFactory.getLogger(LossNotices.class);

	private static final long TELL_TIMEOUT_MS = 200;

	private static final long SAME_LOSS_MS = 500;

	private final ControlView view;

	private final Clock clock;

	private final GrpcClient client;

	private final HarmfulRequestTracker lost;

	private final Map<String, String> contents = new HashMap<>();

	private final Map<BackendLink, Loss> last = new HashMap<>();

	private LossNotices(Vertx vertx, ControlView view, Clock clock) {
		this.view = view;
		this.clock = clock;
		this.lost = HarmfulRequestTracker.create(clock);
		HttpClientOptions options = new HttpClientOptions().setProtocolVersion(HttpVersion.HTTP_2)
			.setHttp2ClearTextUpgrade(false)
			.setConnectTimeout((int) TELL_TIMEOUT_MS);
		this.client = GrpcClient.client(vertx, new GrpcClientOptions(), options);
	}

	static LossNotices create(Vertx vertx, ControlView view, Clock clock) {
		return new LossNotices(vertx, view, clock);
	}

	synchronized void started(String id, String fingerprint) {
		if (!fingerprint.isEmpty()) {
			this.contents.put(id, fingerprint);
		}
	}

	synchronized void ended(String id) {
		this.contents.remove(id);
	}

	/**
	 * Notes that a backend server dropped a request and tells the entries.
	 * @param link the backend server
	 * @return succeeds once all entries know or did not answer in time
	 */
	synchronized Future<Void> backendLost(BackendLink link) {
		long nowMs = this.clock.monotonicMs();
		Loss loss = this.last.get(link);
		if (loss != null && nowMs - loss.atMs < SAME_LOSS_MS) {
			return loss.told;
		}
		String id = this.view.self().getProcess() + "/" + link.settings().getService() + "/" + nowMs;
		List<Fingerprint> running = link.gate()
			.runningIds()
			.stream()
			.map(this.contents::get)
			.filter(Objects::nonNull)
			.map(LossNotices::fingerprint)
			.toList();
		this.lost.recordBackendLoss(id, running);
		logger.warn("agent: {} was lost with {} requests", link.settings().getService(), running.size());
		Future<Void> told = tellEntries();
		this.last.put(link, new Loss(nowMs, told));
		return told;
	}

	private Future<Void> tellEntries() {
		SuspectSummary summary = this.lost.summary();
		List<Future<?>> calls = new ArrayList<>();
		for (HostState host : this.view.hosts()) {
			if (host.getHost().getRole() == Role.ENTRY && host.getLiveness() != Liveness.DEAD) {
				calls.add(tell(host.getHost().getAddress(), summary));
			}
		}
		return Future.join(calls).mapEmpty().otherwiseEmpty().mapEmpty();
	}

	private Future<SuspectSummary> tell(Address address, SuspectSummary summary) {
		return HarmfulGrpcClient.create(this.client, PeerClient.socketAddress(address))
			.tell(summary)
			.timeout(TELL_TIMEOUT_MS, TimeUnit.MILLISECONDS);
	}

	private static Fingerprint fingerprint(String hexadecimal) {
		return new Fingerprint(ByteString.fromHex(hexadecimal));
	}

	@Override
	public void close() {
		this.client.close();
	}

	/**
	 * A loss and when all entries know of it.
	 */
	private record Loss(long atMs, Future<Void> told) {

	}

}
