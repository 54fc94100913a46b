package org.wigeontally.gateway;

import java.nio.charset.StandardCharsets;
import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ByteProcessor;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.impl.VertxHttpRequestDecoder;

/**
 * Decodes the requests on the connection of a caller, and reports where their headers
 * begin and end.
 *
 * <p>
 * Rejects requests with both a Content-Length header and chunked transfer encoding, and
 * requests with any other transfer encoding than chunked. The end of their bodies is
 * placed differently by different readers, or not known at all, which allows request
 * smuggling: a part of the body could be parsed as another request.
 */
final class CallerRequestDecoder extends VertxHttpRequestDecoder {

	private final Listener listener;

	private ChannelHandlerContext handlerContext;

	private boolean inHead;

	private boolean inBody;

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
	public void handlerAdded(ChannelHandlerContext context) {
		this.handlerContext = context;
	}

	@Override
	protected void decode(ChannelHandlerContext context, ByteBuf bytes, List<Object> messages) throws Exception {
		this.listener.bytesRead();
		if (this.discarding) {
			bytes.skipBytes(bytes.readableBytes());
			return;
		}
		// Empty lines between two requests are ignored.
		if (!this.inHead && !this.inBody && bytes.forEachByte(ByteProcessor.FIND_NON_CRLF) >= 0) {
			this.inHead = true;
			this.listener.headBegun();
		}
		int known = messages.size();
		super.decode(context, bytes, messages);
		messages.subList(known, messages.size()).forEach(this::messageDecoded);
	}

	private void messageDecoded(Object message) {
		if (message instanceof HttpRequest) {
			this.inHead = false;
			this.inBody = true;
			this.listener.headReceived();
		}
		if (message instanceof LastHttpContent) {
			this.inBody = false;
		}
	}

	// Called when the headers have been read, before the end of the body is looked for.
	@Override
	protected boolean isContentAlwaysEmpty(HttpMessage message) {
		List<String> encodings = message.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
		boolean chunked = encodings.size() == 1 && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(encodings.get(0));
		if (!encodings.isEmpty() && !chunked) {
			throw new IllegalArgumentException("request has an unsupported transfer encoding");
		}
		return super.isContentAlwaysEmpty(message);
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
	 * Writes a response to a request whose headers have not ended. No other response may
	 * be in progress.
	 * @param response the response
	 */
	void writeResponse(String response) {
		// The encoder, which is further from the socket, only accepts responses to
		// requests that were decoded.
		this.handlerContext.writeAndFlush(Unpooled.wrappedBuffer(response.getBytes(StandardCharsets.ISO_8859_1)));
	}

	/**
	 * Is told what was read from a connection.
	 */
	interface Listener {

		/** Some bytes were read. */
		void bytesRead();

		/** The first byte of a request was read. */
		void headBegun();

		/** The headers of a request were read. */
		void headReceived();

	}

}
