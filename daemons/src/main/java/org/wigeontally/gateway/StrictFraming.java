package org.wigeontally.gateway;

import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.impl.VertxHttpRequestDecoder;
import io.vertx.core.net.impl.ConnectionBase;

/**
 * Refuses requests that give both a length and chunks. The two framings may end the
 * request at different places, so what follows could be taken for another request.
 */
final class StrictFraming {

	private StrictFraming() {
	}

	/**
	 * Makes a connection strict, before its first bytes are read.
	 * @param connection the connection
	 * @param options options of its server
	 */
	static void apply(HttpConnection connection, HttpServerOptions options) {
		ChannelPipeline pipeline = ((ConnectionBase) connection).channel().pipeline();
		if (pipeline.get(HttpRequestDecoder.class) != null) {
			pipeline.replace(HttpRequestDecoder.class, "strict-request-decoder", new Decoder(options));
		}
	}

	private static final class Decoder extends VertxHttpRequestDecoder {

		private Decoder(HttpServerOptions options) {
			super(options);
		}

		@Override
		protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
			throw new IllegalArgumentException("both a length and chunks");
		}

	}

}
