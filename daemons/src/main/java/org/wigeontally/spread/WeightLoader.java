package org.wigeontally.spread;

import java.util.List;

import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;

import org.wigeontally.errors.ErrorType;
import org.wigeontally.schema.generated.Address;
import org.wigeontally.schema.generated.Manifest;
import org.wigeontally.weights.Manifests;
import org.wigeontally.weights.VerifiedWeights;
import org.wigeontally.weights.WeightsException;

/**
 * Orders an engine to load a version: {@code POST /orders/load} with the fencing token
 * and the version in headers and the weights as body. The request declares its content
 * length, so that an engine detects a truncated body. The order fails if the response has
 * a status other than 200 or is missing. In any case the caller queries the engine for
 * the version that it runs.
 */
public final class WeightLoader {

	/** Header with the fencing token. */
	public static final String FENCE_HEADER = "Fence";

	/** Header with the name of the model. */
	public static final String MODEL_HEADER = "Model";

	/** Header with the version. */
	public static final String VERSION_HEADER = "Version";

	/** Header with the version of the base model of an adapter. */
	public static final String BASE_HEADER = "Base-Version";

	/** Header with the digest of the manifest. */
	public static final String MANIFEST_HEADER = "Manifest";

	private static final int CONFLICT = 409;

	private static final long IDLE_TIMEOUT_MS = 30_000;

	private final HttpClient client;

	/**
	 * Creates a loader.
	 * @param client sends the orders; not closed by this loader
	 */
	public WeightLoader(HttpClient client) {
		this.client = client;
	}

	/**
	 * Sends the order and streams the weights.
	 * @param engine address of the engine
	 * @param fence fencing token
	 * @param weights the verified version
	 * @return completes when the engine has accepted the order; fails with a
	 * {@link WeightsException} if it responds with another status than 200
	 */
	public Future<Void> load(Address engine, long fence, VerifiedWeights weights) {
		Manifest manifest = weights.manifest();
		RequestOptions options = new RequestOptions().setMethod(HttpMethod.POST)
			.setHost(engine.getIp())
			.setPort(engine.getPort())
			.setURI("/orders/load")
			.setIdleTimeout(IDLE_TIMEOUT_MS)
			.putHeader(FENCE_HEADER, Long.toString(fence))
			.putHeader(MODEL_HEADER, manifest.getModel())
			.putHeader(VERSION_HEADER, manifest.getVersion())
			.putHeader(BASE_HEADER, manifest.getBase())
			.putHeader(MANIFEST_HEADER, Manifests.digest(manifest))
			.putHeader("Content-Length", Long.toString(weights.totalBytes()));
		return this.client.request(options).compose((request) -> {
			Future<Void> accepted = request.response().compose((response) -> checkStatus(response.statusCode(), fence));
			return writeChunks(request, weights.chunks(), 0).compose((written) -> accepted);
		});
	}

	private static Future<Void> writeChunks(HttpClientRequest request, List<byte[]> chunks, int next) {
		if (next == chunks.size()) {
			return request.end();
		}
		return request.write(Buffer.buffer(chunks.get(next))).compose((done) -> writeChunks(request, chunks, next + 1));
	}

	private static Future<Void> checkStatus(int status, long fence) {
		if (status == CONFLICT) {
			return Future.failedFuture(WeightsException.of(ErrorType.ORDER_FENCED, fence));
		}
		if (status != 200) {
			return Future.failedFuture(WeightsException.of(ErrorType.ORDER_FAILED, "status " + status));
		}
		return Future.succeededFuture();
	}

}
