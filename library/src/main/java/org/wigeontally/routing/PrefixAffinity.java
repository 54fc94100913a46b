package org.wigeontally.routing;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Remembers which backend servers probably hold the prefix cache of a prompt. It is fed
 * by the entry's own dispatches and by cache events, which come late and with gaps, so
 * that a hit is a hope and never a promise: a wrong one costs a prefill and nothing else.
 * The memory is bounded; the block that was used longest ago is forgotten first. Used by
 * one thread at a time.
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
	 * Creates an empty memory.
	 * @param blockLimit most blocks that are remembered
	 * @return the memory
	 */
	public static PrefixAffinity create(int maxBlocks) {
		return new PrefixAffinity(maxBlocks);
	}

	/**
	 * Notes that a prompt was sent to a host or that a cache event names it.
	 * @param host backend server host
	 * @param blocks hashes of the prompt's leading blocks
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
	 * Notes that a host dropped blocks.
	 * @param host backend server host
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
	 * Notes that a host lost its whole cache, as after a cold start.
	 * @param host backend server host
	 */
	public void removeHost(String host) {
		this.hostsByBlock.values().removeIf((hosts) -> hosts.remove(host) && hosts.isEmpty());
	}

	/**
	 * Returns the part of the prompt that a host probably holds.
	 * @param host backend server host
	 * @param blocks hashes of the prompt's leading blocks
	 * @return a share between 0 and 1
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
