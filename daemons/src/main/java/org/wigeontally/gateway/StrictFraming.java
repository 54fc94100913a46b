package org.wigeontally.gateway;

import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.impl.VertxHttpRequestDecoder;
import io.vertx.core.net.impl.ConnectionBase;

/**
 * Rejects requests with both a Content-Length header and chunked transfer encoding. The
 * two may place the end of the body differently, which allows request smuggling: a part
 * of the body could be parsed as another request.
 */
final class StrictFraming {

	private StrictFraming() {
	}

	/**
	 * Installs the strict decoder on a connection before its first data is read.
	 * @param connection the connection
	 * @param options options of the HTTP server
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
			throw new IllegalArgumentException(
					"request has both a Content-Length header and chunked transfer encoding");
		}

	}

}
