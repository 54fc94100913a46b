package org.wigeontally.streams;

import java.util.Optional;

/**
 * Decision whether and from where a stream is resumed on another engine when its engine
 * can no longer serve it. Immutable.
 *
 * <p>
 * The caller has received {@code deliveredTokens} tokens. An exported KV cache covers
 * {@code coveredTokens} tokens, which may be fewer (the export is older) or more (the
 * engine generated tokens that did not arrive). The other engine must hold the same
 * version.
 *
 * <p>
 * If the export covers fewer tokens, the other engine regenerates the missing tokens from
 * the state of the cache, and tokens that the caller already has are dropped by index.
 * Sampling must not change between the engines, because regenerated tokens must equal the
 * delivered ones, so the export must contain the sampler state; without it, the stream
 * can be resumed only if the export does not cover fewer tokens than were delivered. If
 * the export covers more tokens, the cache is truncated to the delivered tokens on
 * import, because generation from the later state would lose the tokens in between.
 *
 * @param resume true if the stream is resumed
 * @param fromIndex index of the first token that the other engine generates
 */
public record ResumeDecision(boolean resume, long fromIndex) {

	/**
	 * Decides whether and from where a stream is resumed.
	 * @param version version that the stream is pinned to
	 * @param deliveredTokens number of tokens that reached the caller
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
	 * @param version version of the engine that exported the cache
	 * @param coveredTokens number of tokens from the start of the stream that the cache
	 * covers
	 * @param hasSamplerState true if the export contains the sampler state, so that
	 * regeneration yields the same tokens
	 * @param canTruncate true if the cache can be truncated to fewer tokens on import
	 */
	public record KvCacheExport(String version, long coveredTokens, boolean hasSamplerState, boolean canTruncate) {

	}

}
