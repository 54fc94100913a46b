package org.wigeontally.emulator.experiment;

import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.JsonObject;

import org.wigeontally.emulator.platform.SyntheticWeights;
import org.wigeontally.misc.Closer;
import org.wigeontally.schema.generated.Address;
import org.wigeontally.schema.generated.Bundle;
import org.wigeontally.schema.generated.Model;
import org.wigeontally.schema.generated.VersionStatus;

/**
 * A deployment with a bundle in force, a caller and operators: what most experiments
 * start from. Blocks the calling thread; not for event loops.
 */
public final class Scenario implements AutoCloseable {

	private static final long START_TIMEOUT_MS = 40_000;

	private static final long POLL_MS = 100;

	private static final long CALL_TIMEOUT_S = 120;

	private final Closer closer = Closer.create();

	private final Vertx vertx = Vertx.vertx();

	private final Deployment deployment;

	private final CallerClient caller;

	private final OperatorSession operators;

	private final HttpClient client;

	private Scenario(Deployment deployment) {
		this.closer.add(() -> await(this.vertx.close()));
		this.deployment = this.closer.add(deployment);
		this.caller = this.closer.add(CallerClient.create(this.vertx, deployment.entryAddresses()));
		this.operators = this.closer.add(OperatorSession.open(this.vertx, deployment.entryAddresses()));
		this.client = this.vertx.createHttpClient();
	}

	/**
	 * Deploys a plan, rolls a first bundle and waits until every host takes work.
	 * @param plan what to deploy
	 * @param directory where settings and output go
	 * @return the running scenario
	 * @throws Exception if it does not come up in time
	 */
	public static Scenario start(Plan plan, Path directory) throws Exception {
		Scenario scenario = new Scenario(Deployment.start(plan, directory));
		try {
			scenario.rollFirst();
			scenario.awaitReady();
		}
		catch (Exception ex) {
			scenario.close();
			throw ex;
		}
		return scenario;
	}

	private void rollFirst() throws Exception {
		long endNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(START_TIMEOUT_MS);
		while (true) {
			try {
				this.operators.status();
				break;
			}
			catch (Exception ex) {
				if (System.nanoTime() > endNs) {
					throw ex;
				}
				Thread.sleep(POLL_MS);
			}
		}
		Model model = Model.newBuilder().setName(Plan.MODEL).setVersion(this.deployment.plan().version()).build();
		roll("first", "", model);
	}

	/**
	 * Rolls a bundle.
	 * @param name name of the bundle
	 * @param buildsOn name of the bundle in force
	 * @param model the model and its version
	 * @return revision of the roll
	 * @throws Exception if it is not accepted
	 */
	public long roll(String name, String buildsOn, Model model) throws Exception {
		Keys author = this.deployment.operators().get(0);
		Keys other = this.deployment.operators().get(1);
		Bundle bundle = Bundles.bundle(name, buildsOn, model, this.deployment.entries(), this.deployment.operators());
		return this.operators.roll(bundle, author, other);
	}

	/**
	 * Rolls a version that the origin has and waits until every engine has loaded it.
	 * @param name name of the bundle
	 * @param buildsOn name of the bundle in force
	 * @param version the version
	 * @return time from the accepted roll to the last engine, in milliseconds
	 * @throws Exception if it is not loaded in time
	 */
	public long rollVersion(String name, String buildsOn, String version) throws Exception {
		roll(name, buildsOn, new SyntheticWeights(Plan.MODEL, version, Plan.WEIGHT_BYTES).modelInBundle());
		long startNs = System.nanoTime();
		while (!isLoaded(version)) {
			if (System.nanoTime() - startNs > TimeUnit.MILLISECONDS.toNanos(START_TIMEOUT_MS)) {
				throw new IllegalStateException(version + " is not loaded in time: " + this.operators.status());
			}
			Thread.sleep(POLL_MS);
		}
		return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNs);
	}

	private boolean isLoaded(String version) throws Exception {
		for (VersionStatus status : this.operators.status().getVersionsList()) {
			if (status.getVersion().equals(version) && status.getHostsLoaded() == this.deployment.hosts().size()) {
				return true;
			}
		}
		return false;
	}

	private void awaitReady() throws Exception {
		long endNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(START_TIMEOUT_MS);
		for (String host : this.deployment.hosts()) {
			awaitReady(host, endNs);
		}
		for (String entry : this.deployment.entries()) {
			awaitReady(entry, endNs);
			awaitHosts(entry, endNs);
		}
	}

	private void awaitReady(String host, long endNs) throws Exception {
		while (!isReady(host)) {
			if (System.nanoTime() > endNs) {
				throw new IllegalStateException(host + " is not ready in time");
			}
			Thread.sleep(POLL_MS);
		}
	}

	private void awaitHosts(String entry, long endNs) throws Exception {
		Map<String, String> headers = new HashMap<>();
		headers.put("Authorization", "Bearer " + Bundles.credential(1));
		String body = new JsonObject().put("prompt", "ready").put("max_tokens", 1).encode();
		while (true) {
			CallerAnswer answer = await(this.caller.send(this.deployment.address(entry), HttpMethod.POST,
					"/v1/services/assist-llm/v1/generate", headers, body));
			if (answer.kind() == CallerAnswer.Kind.DONE) {
				return;
			}
			if (System.nanoTime() > endNs) {
				throw new IllegalStateException(entry + " does not serve in time: " + answer);
			}
			Thread.sleep(POLL_MS);
		}
	}

	/**
	 * Asks a daemon whether it takes new work.
	 * @param host name of the host
	 * @return true if it does
	 */
	public boolean isReady(String host) {
		try {
			return "ready\n".equals(get(host, "/ready"));
		}
		catch (Exception ex) {
			return false;
		}
	}

	/**
	 * Reads from a process.
	 * @param name name of the host or stand-in
	 * @param path path and query
	 * @return the body
	 * @throws Exception if there is no answer
	 */
	public String get(String name, String path) throws Exception {
		return call(HttpMethod.GET, name, path);
	}

	/**
	 * Brings about a fault of a stand-in.
	 * @param name name of the stand-in
	 * @param query the fault, such as "outage=true"
	 * @throws Exception if there is no answer
	 */
	public void fault(String name, String query) throws Exception {
		call(HttpMethod.POST, name, "/fault?" + query);
	}

	private String call(HttpMethod method, String name, String path) throws Exception {
		Address address = this.deployment.address(name);
		RequestOptions options = new RequestOptions().setMethod(method)
			.setHost(address.getIp())
			.setPort(address.getPort())
			.setURI(path);
		return await(HttpCall.send(this.vertx, this.client, options, "")).toString();
	}

	/**
	 * Returns how often each booking ran, over all plain services.
	 * @return counts by booking
	 * @throws Exception if a service does not answer
	 */
	public Map<String, Integer> bookingsRan() throws Exception {
		Map<String, Integer> ran = new HashMap<>();
		for (String host : this.deployment.hosts()) {
			JsonObject counts = new JsonObject(get("service-" + host, "/ran"));
			for (String booking : counts.fieldNames()) {
				ran.merge(booking, counts.getInteger(booking), Integer::sum);
			}
		}
		return ran;
	}

	/**
	 * Starts a load.
	 * @param options what to send
	 * @param seed seed of the mix
	 * @return what came of it, once every request has ended
	 */
	public Future<LoadResult> load(LoadOptions options, long seed) {
		return LoadRun.start(this.vertx, this.caller, options, seed);
	}

	/**
	 * Waits for a future.
	 * @param <T> type of the result
	 * @param future the future
	 * @return the result
	 * @throws Exception if it fails or takes too long
	 */
	public static <T> T await(Future<T> future) throws Exception {
		return future.toCompletionStage().toCompletableFuture().get(CALL_TIMEOUT_S, TimeUnit.SECONDS);
	}

	/**
	 * Returns the deployment.
	 * @return the deployment
	 */
	public Deployment deployment() {
		return this.deployment;
	}

	/**
	 * Returns the operators' session.
	 * @return the session
	 */
	public OperatorSession operators() {
		return this.operators;
	}

	/**
	 * Returns the caller.
	 * @return the caller
	 */
	public CallerClient caller() {
		return this.caller;
	}

	/**
	 * Returns the Vert.x instance of the experiment.
	 * @return the instance
	 */
	public Vertx vertx() {
		return this.vertx;
	}

	@Override
	public void close() throws Exception {
		this.closer.close();
	}

}
