package org.wigeontally.emulator.experiment;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.RequestOptions;

/**
 * One HTTP call from a thread that is not an event loop. All steps run on one context, so
 * that no part of the answer is missed.
 */
final class HttpCall {

	private HttpCall() {
	}

	static Future<Buffer> send(Vertx vertx, HttpClient client, RequestOptions options, String body) {
		Promise<Buffer> promise = Promise.promise();
		vertx.getOrCreateContext()
			.runOnContext((ignored) -> client.request(options)
				.compose((request) -> body.isEmpty() ? request.send() : request.send(body))
				.compose(HttpClientResponse::body)
				.onComplete(promise));
		return promise.future();
	}

}
