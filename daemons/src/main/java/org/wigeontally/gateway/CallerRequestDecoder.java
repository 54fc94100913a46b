package org.wigeontally.gateway;

import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.impl.VertxHttpRequestDecoder;

/**
 * Decodes the requests on the connection of a caller, and reports where their headers
 * end.
 *
 * <p>
 * Rejects requests with both a Content-Length header and chunked transfer encoding. The
 * two may place the end of the body differently, which allows request smuggling: a part
 * of the body could be parsed as another request.
 */
final class CallerRequestDecoder extends VertxHttpRequestDecoder {

	private final Listener listener;

	private boolean discarding;

	private CallerRequestDecoder(HttpServerOptions options, Listener listener) {
		super(options);
		this.listener = listener;
	}

	/**
	 * Installs the decoder on a connection before its first data is read.
	 * @param pipeline handlers of the connection
	 * @param options options of the HTTP server
	 * @param listener is told what was read
	 * @return the decoder
	 */
	static CallerRequestDecoder install(ChannelPipeline pipeline, HttpServerOptions options, Listener listener) {
		CallerRequestDecoder decoder = new CallerRequestDecoder(options, listener);
		if (pipeline.get(HttpRequestDecoder.class) != null) {
			pipeline.replace(HttpRequestDecoder.class, "caller-request-decoder", decoder);
		}
		return decoder;
	}

	@Override
	protected void decode(ChannelHandlerContext context, ByteBuf bytes, List<Object> messages) throws Exception {
		this.listener.bytesRead();
		if (this.discarding) {
			bytes.skipBytes(bytes.readableBytes());
			return;
		}
		int known = messages.size();
		super.decode(context, bytes, messages);
		messages.subList(known, messages.size()).forEach(this::messageDecoded);
	}

	private void messageDecoded(Object message) {
		if (message instanceof HttpRequest) {
			this.listener.headReceived();
		}
	}

	@Override
	protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
		throw new IllegalArgumentException("request has both a Content-Length header and chunked transfer encoding");
	}

	/**
	 * Reads and drops everything from now on.
	 */
	void discard() {
		this.discarding = true;
	}

	/**
	 * Is told what was read from a connection.
	 */
	interface Listener {

		/** Some bytes were read. */
		void bytesRead();

		/** The headers of a request were read. */
		void headReceived();

	}

}
