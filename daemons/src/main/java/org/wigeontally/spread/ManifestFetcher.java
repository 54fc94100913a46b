package org.wigeontally.spread;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;

import io.vertx.core.Future;

import org.wigeontally.schema.generated.Address;
import org.wigeontally.schema.generated.Manifest;
import org.wigeontally.weights.FetchAssignment;
import org.wigeontally.weights.HostLocation;
import org.wigeontally.weights.Manifests;
import org.wigeontally.weights.WeightsException;

/**
 * Fetches the manifest of a version along a binary tree of the hosts of the region, which
 * are ordered by their rank for stripe 0. Each host asks its ancestors, the nearest
 * first. The root asks the origin, or the root of the origin's region if it is in another
 * region. If all sources fail, the host retries after a jittered exponential backoff, and
 * from the second round also asks the root of the origin's region, a random host of its
 * own region and the origin. A manifest that the client of the origin knows is taken from
 * there: peers that learn of the version later would answer that they do not know it.
 * Used on the control context.
 */
final class ManifestFetcher {

	private static final long INITIAL_BACKOFF_MS = 50;

	private static final long MAX_BACKOFF_MS = 5000;

	private static final String ORIGIN = "";

	private final NodeResources resources;

	private final String digest;

	private final Function<String, Address> addresses;

	private final java.util.function.Supplier<FetchAssignment> assignment;

	private final java.util.function.BiConsumer<Manifest, byte[]> onReceived;

	private int failedRounds;

	private long backoffMs = INITIAL_BACKOFF_MS;

	private boolean closed;

	ManifestFetcher(NodeResources resources, String digest, Function<String, Address> addresses,
			java.util.function.Supplier<FetchAssignment> assignment,
			java.util.function.BiConsumer<Manifest, byte[]> onReceived) {
		this.resources = resources;
		this.digest = digest;
		this.addresses = addresses;
		this.assignment = assignment;
		this.onReceived = onReceived;
	}

	void start() {
		tryNextSource(sources(), 0);
	}

	void close() {
		this.closed = true;
	}

	private List<String> sources() {
		if (this.resources.origin().knowsManifest(this.digest)) {
			return List.of(ORIGIN);
		}
		HostLocation location = this.resources.location();
		FetchAssignment currentAssignment = this.assignment.get();
		List<String> rankedHosts = currentAssignment.rankedHosts(location.region(), 0);
		List<String> sources = new ArrayList<>();
		int position = rankedHosts.indexOf(location.host());
		while (position > 0) {
			position = (position - 1) / 2;
			sources.add(rankedHosts.get(position));
		}
		boolean inOriginRegion = location.region().equals(currentAssignment.originRegion());
		boolean isRoot = sources.isEmpty();
		if (!inOriginRegion && (isRoot || this.failedRounds > 0)) {
			sources.addAll(currentAssignment.rankedHosts(currentAssignment.originRegion(), 0).subList(0, 1));
		}
		if (this.failedRounds > 0) {
			sources.add(rankedHosts.get(this.resources.random().nextInt(rankedHosts.size())));
		}
		if (inOriginRegion && isRoot || this.failedRounds > 0) {
			sources.add(ORIGIN);
		}
		return sources;
	}

	private void tryNextSource(List<String> sources, int next) {
		if (this.closed) {
			return;
		}
		if (next == sources.size()) {
			this.failedRounds++;
			long waitMs = this.backoffMs / 2 + (long) (this.backoffMs * this.resources.random().nextDouble());
			this.backoffMs = Math.min(MAX_BACKOFF_MS, this.backoffMs * 2);
			this.resources.vertx().setTimer(Math.max(1, waitMs), (id) -> tryNextSource(sources(), 0));
			return;
		}
		fetch(sources.get(next)).compose(this::verifyAndDeliver)
			.onComplete((done) -> this.resources.controlContext().runOnContext((now) -> {
				if (done.failed()) {
					tryNextSource(sources, next + 1);
				}
			}));
	}

	private Future<byte[]> fetch(String source) {
		if (source.equals(ORIGIN)) {
			return this.resources.origin().fetchManifest(this.digest);
		}
		Address address = this.addresses.apply(source);
		if (address == null) {
			return Future.failedFuture("unknown host " + source);
		}
		return this.resources.fetcher().fetch(address, "/weights/" + this.digest + "/manifest", 0);
	}

	private Future<Void> verifyAndDeliver(byte[] bytes) {
		try {
			Manifest manifest = Manifests.verify(bytes, this.digest, this.resources.settings().publishers());
			this.resources.controlContext().runOnContext((now) -> {
				if (!this.closed) {
					this.closed = true;
					this.onReceived.accept(manifest, bytes);
				}
			});
			return Future.succeededFuture();
		}
		catch (WeightsException ex) {
			return Future.failedFuture(ex);
		}
	}

}
