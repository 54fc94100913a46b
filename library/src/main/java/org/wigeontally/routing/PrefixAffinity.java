package org.wigeontally.routing;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Index of the backend servers that probably hold the prefix cache of a prompt. It is
 * updated from the entry's own dispatches and from cache events. Cache events are delayed
 * and may be lost, so an entry of the index is only a hint; a wrong hint costs one
 * prefill. The number of blocks is bounded, and the least recently used block is evicted
 * first. Not thread-safe.
 */
public final class PrefixAffinity {

	private static final int MAX_HOSTS_PER_BLOCK = 4;

	private final Map<Long, Set<String>> hostsByBlock;

	private PrefixAffinity(int maxBlocks) {
		this.hostsByBlock = new LinkedHashMap<>(16, 0.75f, true) {

			private static final long serialVersionUID = 1L;

			@Override
			protected boolean removeEldestEntry(Map.Entry<Long, Set<String>> eldest) {
				return size() > maxBlocks;
			}

		};
	}

	/**
	 * Creates an empty index.
	 * @param maxBlocks maximum number of blocks in the index
	 * @return the index
	 */
	public static PrefixAffinity create(int maxBlocks) {
		return new PrefixAffinity(maxBlocks);
	}

	/**
	 * Records that a host holds the blocks of a prompt, because the prompt was sent to it
	 * or a cache event reported it.
	 * @param host host of the backend server
	 * @param blocks hashes of the leading blocks of the prompt
	 */
	public void recordStored(String host, List<Long> blocks) {
		for (Long block : blocks) {
			Set<String> hosts = this.hostsByBlock.computeIfAbsent(block, (key) -> new HashSet<>());
			if (hosts.size() < MAX_HOSTS_PER_BLOCK) {
				hosts.add(host);
			}
		}
	}

	/**
	 * Records that a host evicted blocks.
	 * @param host host of the backend server
	 * @param blocks hashes of the blocks
	 */
	public void recordRemoved(String host, List<Long> blocks) {
		for (Long block : blocks) {
			Set<String> hosts = this.hostsByBlock.get(block);
			if (hosts != null && hosts.remove(host) && hosts.isEmpty()) {
				this.hostsByBlock.remove(block);
			}
		}
	}

	/**
	 * Removes a host from all blocks because it lost its whole cache, for example in a
	 * cold start.
	 * @param host host of the backend server
	 */
	public void removeHost(String host) {
		this.hostsByBlock.values().removeIf((hosts) -> hosts.remove(host) && hosts.isEmpty());
	}

	/**
	 * Returns the fraction of the prompt's blocks that a host probably holds, counted
	 * from the start of the prompt.
	 * @param host host of the backend server
	 * @param blocks hashes of the leading blocks of the prompt
	 * @return a fraction between 0 and 1
	 */
	public double cachedFraction(String host, List<Long> blocks) {
		if (blocks.isEmpty()) {
			return 0;
		}
		int cachedBlocks = 0;
		for (Long block : blocks) {
			Set<String> hosts = this.hostsByBlock.get(block);
			if (hosts == null || !hosts.contains(host)) {
				break;
			}
			cachedBlocks++;
		}
		return (double) cachedBlocks / blocks.size();
	}

}
