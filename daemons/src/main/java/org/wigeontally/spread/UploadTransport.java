package org.wigeontally.spread;

import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;

/**
 * The network under an upload. The real one passes each piece on at once; emulated ones
 * delay, alter or withhold it.
 */
@FunctionalInterface
public interface UploadTransport {

	/** Passes each piece on unchanged. */
	UploadTransport DIRECT = (from, to, segment) -> Future.succeededFuture(segment);

	/**
	 * Carries a piece.
	 * @param from host that sends; empty for the origin
	 * @param to host that receives
	 * @param segment the bytes
	 * @return the bytes as they arrive, once they do
	 */
	Future<Buffer> transmit(String from, String to, Buffer segment);

}
