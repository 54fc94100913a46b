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
 * Fetches the manifest of a version along a binary tree over the hosts of the region in
 * the order of lane 0: each host asks its ancestors, the nearest first, and the root asks
 * the origin, or the root of the origin's region. A host that goes through all of them in
 * vain tries again after a jittered pause, and from the second round also asks a random
 * host of the region and the origin. Used on the control context.
 */
final class ManifestFetch {

	private static final long FIRST_PAUSE_MS = 50;

	private static final long MOST_PAUSE_MS = 5000;

	private static final String ORIGIN = "";

	private final NodeParts parts;

	private final String digest;

	private final Function<String, Address> addresses;

	private final java.util.function.Supplier<FetchAssignment> duty;

	private final java.util.function.BiConsumer<Manifest, byte[]> received;

	private int rounds;

	private long pauseMs = FIRST_PAUSE_MS;

	private boolean closed;

	ManifestFetch(NodeParts parts, String digest, Function<String, Address> addresses,
			java.util.function.Supplier<FetchAssignment> duty,
			java.util.function.BiConsumer<Manifest, byte[]> received) {
		this.parts = parts;
		this.digest = digest;
		this.addresses = addresses;
		this.duty = duty;
		this.received = received;
	}

	void start() {
		round(sources(), 0);
	}

	void close() {
		this.closed = true;
	}

	private List<String> sources() {
		HostLocation place = this.parts.place();
		FetchAssignment now = this.duty.get();
		List<String> order = now.rankedHosts(place.region(), 0);
		List<String> sources = new ArrayList<>();
		int position = order.indexOf(place.host());
		while (position > 0) {
			position = (position - 1) / 2;
			sources.add(order.get(position));
		}
		boolean atOrigin = place.region().equals(now.originRegion());
		boolean root = sources.isEmpty();
		if (!atOrigin && (root || this.rounds > 0)) {
			sources.addAll(now.rankedHosts(now.originRegion(), 0).subList(0, 1));
		}
		if (this.rounds > 0) {
			sources.add(order.get(this.parts.random().nextInt(order.size())));
		}
		if (atOrigin && root || this.rounds > 0) {
			sources.add(ORIGIN);
		}
		return sources;
	}

	private void round(List<String> sources, int next) {
		if (this.closed) {
			return;
		}
		if (next == sources.size()) {
			this.rounds++;
			long waitMs = this.pauseMs / 2 + (long) (this.pauseMs * this.parts.random().nextDouble());
			this.pauseMs = Math.min(MOST_PAUSE_MS, this.pauseMs * 2);
			this.parts.vertx().setTimer(Math.max(1, waitMs), (id) -> round(sources(), 0));
			return;
		}
		fetch(sources.get(next)).compose(this::check).onComplete((done) -> this.parts.control().runOnContext((now) -> {
			if (done.failed()) {
				round(sources, next + 1);
			}
		}));
	}

	private Future<byte[]> fetch(String source) {
		if (source.equals(ORIGIN)) {
			return this.parts.origin().manifest(this.digest);
		}
		Address address = this.addresses.apply(source);
		if (address == null) {
			return Future.failedFuture("unknown host " + source);
		}
		return this.parts.fetcher().fetch(address, "/weights/" + this.digest + "/manifest", 0);
	}

	private Future<Void> check(byte[] bytes) {
		try {
			Manifest manifest = Manifests.verify(bytes, this.digest, this.parts.settings().publishers());
			this.parts.control().runOnContext((now) -> {
				if (!this.closed) {
					this.closed = true;
					this.received.accept(manifest, bytes);
				}
			});
			return Future.succeededFuture();
		}
		catch (WeightsException ex) {
			return Future.failedFuture(ex);
		}
	}

}
