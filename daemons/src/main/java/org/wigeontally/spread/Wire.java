package org.wigeontally.spread;

import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;

/**
 * The network under an upload. The real one passes each piece on at once; emulated ones
 * delay, alter or withhold it.
 */
@FunctionalInterface
public interface Wire {

	/** Passes each piece on unchanged. */
	Wire DIRECT = (from, to, piece) -> Future.succeededFuture(piece);

	/**
	 * Carries a piece.
	 * @param from host that sends; empty for the origin
	 * @param to host that receives
	 * @param piece the bytes
	 * @return the bytes as they arrive, once they do
	 */
	Future<Buffer> carry(String from, String to, Buffer piece);

}
