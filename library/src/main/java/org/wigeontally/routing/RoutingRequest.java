package org.wigeontally.routing;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * What a choice of backend server depends on. Immutable.
 *
 * @param service service that is called
 * @param version version that the answer must come from; empty for any
 * @param adapter adapter that must be loaded; empty for none
 * @param prefixBlocks hashes of the prompt's leading blocks, each covering all before it;
 * empty if unknown
 * @param tried backend server hosts that were tried for this request
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
	 * @param pinned version that the answer must come from
	 * @return the copy
	 */
	public RoutingRequest withVersion(String pinned) {
		return new RoutingRequest(this.service, pinned, this.adapter, this.prefixBlocks, this.tried);
	}

	/**
	 * Returns a copy that needs an adapter.
	 * @param needed name of the adapter
	 * @return the copy
	 */
	public RoutingRequest withAdapter(String needed) {
		return new RoutingRequest(this.service, this.version, needed, this.prefixBlocks, this.tried);
	}

	/**
	 * Returns a copy with the prompt's block hashes.
	 * @param blocks hashes of the leading blocks
	 * @return the copy
	 */
	public RoutingRequest withPrefix(List<Long> blocks) {
		return new RoutingRequest(this.service, this.version, this.adapter, List.copyOf(blocks), this.tried);
	}

	/**
	 * Returns a copy that excludes one host more.
	 * @param host host that was tried
	 * @return the copy
	 */
	public RoutingRequest withTried(String host) {
		Set<String> hosts = new HashSet<>(this.tried);
		hosts.add(host);
		return new RoutingRequest(this.service, this.version, this.adapter, this.prefixBlocks, Set.copyOf(hosts));
	}

}
