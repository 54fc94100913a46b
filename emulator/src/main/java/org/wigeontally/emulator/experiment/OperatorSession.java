package org.wigeontally.emulator.experiment;

import java.io.IOException;
import java.security.GeneralSecurityException;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.Message;
import com.google.protobuf.util.JsonFormat;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;

import org.wigeontally.configuration.Signatures;
import org.wigeontally.schema.generated.Address;
import org.wigeontally.schema.generated.Bundle;
import org.wigeontally.schema.generated.Change;
import org.wigeontally.schema.generated.ChangeAnswer;
import org.wigeontally.schema.generated.HostStatus;
import org.wigeontally.schema.generated.ProposeBundle;
import org.wigeontally.schema.generated.RollBundle;
import org.wigeontally.schema.generated.SetHost;
import org.wigeontally.schema.generated.SetZone;
import org.wigeontally.schema.generated.SignOffBundle;
import org.wigeontally.schema.generated.StatusReport;
import org.wigeontally.schema.generated.ZoneStatus;

/**
 * Operators at work in an experiment, over the administration API. Blocks the calling
 * thread; not for event loops.
 */
public final class OperatorSession implements AutoCloseable {

	private static final String CHANGES = "/v1/admin/changes";

	private static final long POLL_MS = 20;

	private static final long CALL_TIMEOUT_MS = 8000;

	private final Vertx vertx;

	private final HttpClient client;

	private final List<Address> entries;

	private OperatorSession(Vertx vertx, HttpClient client, List<Address> entries) {
		this.vertx = vertx;
		this.client = client;
		this.entries = List.copyOf(entries);
	}

	/**
	 * Opens a session.
	 * @param vertx the Vert.x instance to run on
	 * @param entries entry hosts to talk to
	 * @return the session
	 */
	public static OperatorSession open(Vertx vertx, List<Address> entries) {
		return new OperatorSession(vertx, vertx.createHttpClient(), entries);
	}

	/**
	 * Proposes, signs off and rolls a bundle.
	 * @param bundle the bundle
	 * @param author who proposes and rolls
	 * @param other who signs off
	 * @return revision of the roll
	 * @throws Exception if a step is not accepted
	 */
	public long roll(Bundle bundle, Keys author, Keys other) throws Exception {
		Change.Builder propose = Change.newBuilder().setPropose(ProposeBundle.newBuilder().setBundle(bundle));
		long proposed = accepted(author, propose);
		SignOffBundle signOff = SignOffBundle.newBuilder()
			.setBundle(bundle.getName())
			.setDigest(Signatures.digest(bundle))
			.build();
		long signed = accepted(other, Change.newBuilder().setSignOff(signOff).setBuildsOn(proposed));
		RollBundle roll = RollBundle.newBuilder().setBundle(bundle.getName()).build();
		return accepted(author, Change.newBuilder().setRoll(roll).setBuildsOn(signed));
	}

	/**
	 * Takes a zone out or back.
	 * @param zone name of the zone
	 * @param out true to take it out
	 * @param author who asks
	 * @return revision of the change
	 * @throws Exception if it is not accepted
	 */
	public long zone(String zone, boolean out, Keys author) throws Exception {
		long revision = 0;
		for (ZoneStatus status : status().getZonesList()) {
			if (status.getZone().equals(zone)) {
				revision = status.getRevision();
			}
		}
		return accepted(author,
				Change.newBuilder().setZone(SetZone.newBuilder().setZone(zone).setOut(out)).setBuildsOn(revision));
	}

	/**
	 * Drains a host or takes it back.
	 * @param host name of the host
	 * @param draining true to drain it
	 * @param author who asks
	 * @return revision of the change
	 * @throws Exception if it is not accepted
	 */
	public long host(String host, boolean draining, Keys author) throws Exception {
		long revision = 0;
		for (HostStatus status : status().getHostsList()) {
			if (status.getHost().equals(host)) {
				revision = status.getRuleRevision();
			}
		}
		return accepted(author,
				Change.newBuilder()
					.setHost(SetHost.newBuilder().setHost(host).setDraining(draining))
					.setBuildsOn(revision));
	}

	private long accepted(Keys author, Change.Builder change) throws Exception {
		Change signed = sign(author, change);
		ChangeAnswer answer = submit(signed);
		long endNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(CALL_TIMEOUT_MS);
		while (!isFinal(answer) && System.nanoTime() < endNs) {
			Thread.sleep(POLL_MS);
			// An entry that could not read the log has appended nothing, and the outcome
			// stays unknown until the change is sent again.
			boolean unknown = answer.getOutcome() == ChangeAnswer.Outcome.UNKNOWN;
			answer = unknown ? submit(signed) : outcome(signed.getId());
		}
		if (answer.getOutcome() != ChangeAnswer.Outcome.ACCEPTED) {
			throw new IOException("change not accepted: " + answer);
		}
		return answer.getRevision();
	}

	private static boolean isFinal(ChangeAnswer answer) {
		return answer.getOutcome() == ChangeAnswer.Outcome.ACCEPTED
				|| answer.getOutcome() == ChangeAnswer.Outcome.REFUSED;
	}

	/**
	 * Signs and submits a change without waiting for it to be in force.
	 * @param author who asks
	 * @param change the change; id, author and signature are filled in
	 * @return what became of it
	 * @throws Exception if no entry host answers
	 */
	public ChangeAnswer submit(Keys author, Change.Builder change) throws Exception {
		return submit(sign(author, change));
	}

	private ChangeAnswer submit(Change signed) throws Exception {
		ChangeAnswer.Builder answer = ChangeAnswer.newBuilder();
		call(HttpMethod.POST, CHANGES, JsonFormat.printer().print(signed), answer);
		return answer.build();
	}

	private static Change sign(Keys author, Change.Builder change) throws GeneralSecurityException {
		change.setId(UUID.randomUUID().toString()).setAuthor(author.name());
		return Signatures.sign(change.build(), author.privateKey());
	}

	/**
	 * Asks what became of a change.
	 * @param id id of the change
	 * @return what became of it
	 * @throws Exception if no entry host answers
	 */
	public ChangeAnswer outcome(String id) throws Exception {
		ChangeAnswer.Builder answer = ChangeAnswer.newBuilder();
		call(HttpMethod.GET, CHANGES + "/" + id, "", answer);
		return answer.build();
	}

	/**
	 * Asks for the status.
	 * @return the status as the first entry host that answers knows it
	 * @throws Exception if no entry host answers
	 */
	public StatusReport status() throws Exception {
		StatusReport.Builder report = StatusReport.newBuilder();
		call(HttpMethod.GET, "/v1/admin/status", "", report);
		return report.build();
	}

	private void call(HttpMethod method, String path, String body, Message.Builder target) throws Exception {
		Exception last = new IOException("no entry host");
		for (Address entry : this.entries) {
			try {
				Buffer answer = request(method, entry, path, body).toCompletionStage()
					.toCompletableFuture()
					.get(CALL_TIMEOUT_MS, TimeUnit.MILLISECONDS);
				JsonFormat.parser().ignoringUnknownFields().merge(answer.toString(), target);
				return;
			}
			catch (ExecutionException | TimeoutException | InvalidProtocolBufferException ex) {
				last = ex;
			}
		}
		throw last;
	}

	private Future<Buffer> request(HttpMethod method, Address entry, String path, String body) {
		RequestOptions options = new RequestOptions().setMethod(method)
			.setHost(entry.getIp())
			.setPort(entry.getPort())
			.setURI(path)
			.putHeader("Content-Type", "application/json");
		return HttpCall.send(this.vertx, this.client, options, body);
	}

	@Override
	public void close() {
		this.client.close();
	}

}
