package org.wigeontally.streams;

import java.util.Optional;

/**
 * How a stream goes on whose engine can no longer serve it. Immutable.
 *
 * <p>
 * The caller has the tokens before index {@code delivered}. An exported KV cache covers
 * the tokens before {@code exported}, which may be fewer (the export is older) or more
 * (the engine generated tokens that never arrived). The other engine must hold the same
 * version. In the first case it generates the missing tokens again from the cache's
 * state, and those that the caller has are dropped by index. In the second the cache is
 * cut back to the delivered tokens on import; generating on from the later state would
 * lose the tokens between. Sampling must not change between the two engines, so the
 * export carries the sampler's state; an engine that exports none can go on only from
 * exactly the delivered index.
 *
 * @param resume true if the stream goes on
 * @param fromIndex index of the first token that the other engine generates
 */
public record ResumeDecision(boolean resume, long fromIndex) {

	/**
	 * Decides how a stream goes on.
	 * @param version version that the stream is pinned to
	 * @param delivered index after the last token that reached the caller
	 * @param export the exported KV cache; empty if there is none
	 * @param targetVersion version that the other engine holds
	 * @return the decision
	 */
	public static ResumeDecision of(String version, long deliveredTokens, Optional<KvCacheExport> export,
			String targetVersion) {
		if (export.isEmpty() || !version.equals(targetVersion) || !version.equals(export.get().version())) {
			return new ResumeDecision(false, 0);
		}
		KvCacheExport cacheExport = export.get();
		if (cacheExport.coveredTokens() == deliveredTokens) {
			return new ResumeDecision(true, deliveredTokens);
		}
		if (cacheExport.coveredTokens() > deliveredTokens) {
			return new ResumeDecision(cacheExport.canTruncate(), deliveredTokens);
		}
		return new ResumeDecision(cacheExport.hasSamplerState(), cacheExport.coveredTokens());
	}

	/**
	 * An exported KV cache.
	 *
	 * @param version version of the engine that exported it
	 * @param exported index after the last token that it covers
	 * @param hasSamplerState true if generating again from it gives the same tokens
	 * @param canCutBack true if it can be imported up to an earlier token
	 */
	public record KvCacheExport(String version, long coveredTokens, boolean hasSamplerState, boolean canTruncate) {

	}

}
