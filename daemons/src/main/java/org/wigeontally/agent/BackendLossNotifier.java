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
 * Notifies all entries of the contents that were running at a backend server when it was
 * lost. Only the agent knows all of them, because they come from different entries. A
 * failed request is answered after all entries have acknowledged the notification or
 * {@link #NOTIFY_TIMEOUT_MS} have passed, so that a retry reaches an entry that already
 * knows of the loss. Connections that break within {@link #LOSS_WINDOW_MS} of the first
 * count as the same loss. Thread-safe.
 */
final class BackendLossNotifier implements AutoCloseable {

	private static final Logger logger = LoggerFactory.getLogger(BackendLossNotifier.class);

	private static final long NOTIFY_TIMEOUT_MS = 200;

	private static final long LOSS_WINDOW_MS = 500;

	private final ControlView view;

	private final Clock clock;

	private final GrpcClient client;

	private final HarmfulRequestTracker lossTracker;

	private final Map<String, String> fingerprintsByDispatch = new HashMap<>();

	private final Map<BackendLink, Loss> lastLosses = new HashMap<>();

	private BackendLossNotifier(Vertx vertx, ControlView view, Clock clock) {
		this.view = view;
		this.clock = clock;
		this.lossTracker = HarmfulRequestTracker.create(clock);
		HttpClientOptions options = new HttpClientOptions().setProtocolVersion(HttpVersion.HTTP_2)
			.setHttp2ClearTextUpgrade(false)
			.setConnectTimeout((int) NOTIFY_TIMEOUT_MS);
		this.client = GrpcClient.client(vertx, new GrpcClientOptions(), options);
	}

	static BackendLossNotifier create(Vertx vertx, ControlView view, Clock clock) {
		return new BackendLossNotifier(vertx, view, clock);
	}

	synchronized void requestStarted(String id, String fingerprint) {
		if (!fingerprint.isEmpty()) {
			this.fingerprintsByDispatch.put(id, fingerprint);
		}
	}

	synchronized void requestEnded(String id) {
		this.fingerprintsByDispatch.remove(id);
	}

	/**
	 * Records the loss of a backend server that dropped a request and notifies the
	 * entries.
	 * @param link the backend server
	 * @return a future that succeeds when each entry has acknowledged the notification or
	 * timed out
	 */
	synchronized Future<Void> notifyLoss(BackendLink link) {
		long nowMs = this.clock.monotonicMs();
		Loss loss = this.lastLosses.get(link);
		if (loss != null && nowMs - loss.firstFailureMs < LOSS_WINDOW_MS) {
			return loss.notified;
		}
		String lossId = this.view.self().getProcess() + "/" + link.settings().getService() + "/" + nowMs;
		List<Fingerprint> running = link.admission()
			.runningIds()
			.stream()
			.map(this.fingerprintsByDispatch::get)
			.filter(Objects::nonNull)
			.map(BackendLossNotifier::fingerprint)
			.toList();
		this.lossTracker.recordBackendLoss(lossId, running);
		logger.warn("agent: lost {} while it was running {} requests with known contents", link.settings().getService(),
				running.size());
		Future<Void> notified = notifyEntries();
		this.lastLosses.put(link, new Loss(nowMs, notified));
		return notified;
	}

	private Future<Void> notifyEntries() {
		SuspectSummary summary = this.lossTracker.summary();
		List<Future<?>> calls = new ArrayList<>();
		for (HostState host : this.view.hosts()) {
			if (host.getHost().getRole() == Role.ENTRY && host.getLiveness() != Liveness.DEAD) {
				calls.add(notifyEntry(host.getHost().getAddress(), summary));
			}
		}
		return Future.join(calls).mapEmpty().otherwiseEmpty().mapEmpty();
	}

	private Future<SuspectSummary> notifyEntry(Address address, SuspectSummary summary) {
		return HarmfulGrpcClient.create(this.client, PeerClient.socketAddress(address))
			.tell(summary)
			.timeout(NOTIFY_TIMEOUT_MS, TimeUnit.MILLISECONDS);
	}

	private static Fingerprint fingerprint(String hexadecimal) {
		return new Fingerprint(ByteString.fromHex(hexadecimal));
	}

	@Override
	public void close() {
		this.client.close();
	}

	/**
	 * A loss and the future that completes when the entries are notified of it.
	 */
	private record Loss(long firstFailureMs, Future<Void> notified) {

	}

}
