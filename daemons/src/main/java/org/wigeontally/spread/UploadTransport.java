package org.wigeontally.spread;

import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;

/**
 * Transports the segments of an upload before they are written to the connection. In
 * production this is {@link #DIRECT}; emulated networks delay, alter or drop segments.
 */
@FunctionalInterface
public interface UploadTransport {

	/** Passes each segment on immediately and unchanged. */
	UploadTransport DIRECT = (from, to, segment) -> Future.succeededFuture(segment);

	/**
	 * Transmits a segment.
	 * @param from name of the sending host; empty for the origin
	 * @param to name of the receiving host
	 * @param segment bytes to transmit
	 * @return the bytes as received; never completes if the segment is lost
	 */
	Future<Buffer> transmit(String from, String to, Buffer segment);

}
