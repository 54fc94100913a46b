package org.wigeontally.gateway;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * A whole answer of a backend server.
 *
 * @param status status of the answer
 * @param headers all headers
 * @param body the body
 */
record BufferedResponse(int status, HttpHeaders headers, byte[] body) {

}
