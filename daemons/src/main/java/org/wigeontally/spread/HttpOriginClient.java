package org.wigeontally.spread;

import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

import io.vertx.core.Future;

import org.wigeontally.schema.generated.Address;

/**
 * Fetches from the origin and the store over HTTP with {@code GET /manifests/DIGEST} and
 * {@code GET /chunks/DIGEST}. After a failed call, the next call uses the next address.
 */
public final class HttpOriginClient implements OriginClient {

	private final ByteFetcher fetcher;

	private final List<Address> addresses;

	private final AtomicInteger currentIndex = new AtomicInteger();

	private HttpOriginClient(ByteFetcher fetcher, List<Address> addresses) {
		this.fetcher = fetcher;
		this.addresses = addresses;
	}

	/**
	 * Creates a client.
	 * @param fetcher sends the requests; not closed by this client
	 * @param addresses address of the origin, followed by that of the store
	 * @return the client
	 */
	public static HttpOriginClient create(ByteFetcher fetcher, List<Address> addresses) {
		return new HttpOriginClient(fetcher, List.copyOf(addresses));
	}

	@Override
	public Future<byte[]> fetchManifest(String digest) {
		return fetch("/manifests/" + digest, 0);
	}

	@Override
	public Future<byte[]> fetchChunk(String digest, int size) {
		return fetch("/chunks/" + digest, size);
	}

	private Future<byte[]> fetch(String uri, int size) {
		int index = this.currentIndex.get();
		return this.fetcher.fetch(this.addresses.get(index), uri, size)
			.onFailure((cause) -> this.currentIndex.compareAndSet(index, (index + 1) % this.addresses.size()));
	}

}
