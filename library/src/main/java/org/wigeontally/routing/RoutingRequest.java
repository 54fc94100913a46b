package org.wigeontally.routing;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Properties of a request on which the choice of a backend server depends. Immutable.
 *
 * @param service service that is called
 * @param version version that must produce the response; empty for any
 * @param adapter adapter that must be loaded; empty for none
 * @param prefixBlocks hashes of the leading blocks of the prompt, each of which covers
 * all preceding blocks; empty if unknown
 * @param tried hosts of backend servers that were already tried for this request
 */
public record RoutingRequest(String service, String version, String adapter, List<Long> prefixBlocks,
		Set<String> tried) {

	/**
	 * Creates a request for any version of a service.
	 * @param service service that is called
	 * @return the request
	 */
	public static RoutingRequest of(String service) {
		return new RoutingRequest(service, "", "", List.of(), Set.of());
	}

	/**
	 * Returns a copy that is pinned to a version.
	 * @param pinned version that must produce the response
	 * @return the copy
	 */
	public RoutingRequest withVersion(String pinned) {
		return new RoutingRequest(this.service, pinned, this.adapter, this.prefixBlocks, this.tried);
	}

	/**
	 * Returns a copy that requires an adapter.
	 * @param needed name of the adapter
	 * @return the copy
	 */
	public RoutingRequest withAdapter(String needed) {
		return new RoutingRequest(this.service, this.version, needed, this.prefixBlocks, this.tried);
	}

	/**
	 * Returns a copy with the block hashes of the prompt.
	 * @param blocks hashes of the leading blocks
	 * @return the copy
	 */
	public RoutingRequest withPrefix(List<Long> blocks) {
		return new RoutingRequest(this.service, this.version, this.adapter, List.copyOf(blocks), this.tried);
	}

	/**
	 * Returns a copy that excludes one more host.
	 * @param host host that was tried
	 * @return the copy
	 */
	public RoutingRequest withTried(String host) {
		Set<String> hosts = new HashSet<>(this.tried);
		hosts.add(host);
		return new RoutingRequest(this.service, this.version, this.adapter, this.prefixBlocks, Set.copyOf(hosts));
	}

}
