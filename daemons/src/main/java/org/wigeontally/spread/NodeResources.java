package org.wigeontally.spread;

import java.util.Random;

import io.vertx.core.Context;
import io.vertx.core.Vertx;

import org.wigeontally.misc.Clock;
import org.wigeontally.weights.ChunkStore;
import org.wigeontally.weights.HostLocation;

/**
 * Resources that the components of a weight node share.
 */
record NodeResources(Vertx vertx, Context controlContext, WeightSettings settings, ChunkStore store,
		ByteFetcher fetcher, OriginClient origin, Clock clock, Random random, FetchCounters counters) {

	NodeResources(Vertx vertx, Context control, WeightSettings settings, ChunkStore store, ByteFetcher fetcher,
			OriginClient origin, Clock clock, Random random) {
		this(vertx, control, settings, store, fetcher, origin, clock, random, new FetchCounters());
	}

	HostLocation location() {
		return HostLocation.of(this.settings.self());
	}

}
