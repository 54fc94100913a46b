package org.wigeontally.fleet;

import java.util.List;
import java.util.Set;

/**
 * One route of the configuration.
 *
 * @param name name of the route
 * @param host host name that callers use
 * @param pathPrefix beginning of the paths, with a slash at both ends
 * @param kind what may be repeated
 * @param timeoutMs longest time until the answer is complete
 * @param targetMs time within which the answer, or the first event, is on time
 * @param priority rank, 0 first
 * @param services services that take the requests
 * @param maxAttempts most backend servers for one attempt of the caller
 * @param keyExempt true if requests need no key
 * @param resumable true if a broken stream may go on at another backend server
 * @param regions regions that may serve; empty for all
 */
public record Route(String name, String host, String pathPrefix, RequestKind kind, long timeoutMs, long targetMs,
		int priority, List<WeightedService> services, int maxAttempts, boolean keyExempt, boolean resumable,
		Set<String> regions) {

	/**
	 * Returns whether a request that may have run may be sent again.
	 * @return true if it may
	 */
	public boolean isRetryable() {
		return this.kind == RequestKind.IDEMPOTENT || (this.kind == RequestKind.STREAM && this.resumable);
	}

	/**
	 * Picks the service of one request.
	 * @param draw a number from 0 inclusive to 1 exclusive
	 * @return name of the service
	 */
	public String pickService(double draw) {
		double totalWeight = 0;
		for (WeightedService weighted : this.services) {
			totalWeight += weighted.weight();
		}
		double remaining = draw * totalWeight;
		for (WeightedService weighted : this.services) {
			remaining -= weighted.weight();
			if (remaining < 0) {
				return weighted.service();
			}
		}
		return this.services.get(this.services.size() - 1).service();
	}

	/**
	 * A service and its share of a route's requests.
	 *
	 * @param service name of the service
	 * @param weight share, relative to the other entries
	 */
	public record WeightedService(String service, double weight) {

	}

}
