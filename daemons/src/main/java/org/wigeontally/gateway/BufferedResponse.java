package org.wigeontally.gateway;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * A complete response of a backend server.
 *
 * @param status status code of the response
 * @param headers all headers
 * @param body the body
 */
record BufferedResponse(int status, HttpHeaders headers, ByteBlocks body) {

}
