package org.wigeontally.tool;

import java.security.GeneralSecurityException;
import java.util.UUID;
import java.util.concurrent.TimeUnit;

import org.wigeontally.configuration.Signatures;
import org.wigeontally.errors.Findings;
import org.wigeontally.errors.WigeontallyException;
import org.wigeontally.misc.Clock;
import org.wigeontally.schema.generated.Change;
import org.wigeontally.schema.generated.ChangeAnswer;
import org.wigeontally.schema.generated.OperatorSettings;
import org.wigeontally.settings.OperatorSettingsValidator;
import org.wigeontally.settings.SettingsReader;

/**
 * An operator at the entry hosts: signs a change, submits it and waits until it is
 * settled or the command's time is up.
 */
final class OperatorSession implements AutoCloseable {

	private static final long POLL_MS = 250;

	private final Console console;

	private final OperatorSettings settings;

	private final AdminClient client;

	private final long deadlineMs;

	private OperatorSession(Console console, OperatorSettings settings, long timeoutMs) {
		this.console = console;
		this.settings = settings;
		this.client = AdminClient.open(settings.getEntriesList());
		this.deadlineMs = Clock.system().monotonicMs() + timeoutMs;
	}

	static OperatorSession open(Console console, boolean signs) throws WigeontallyException {
		return new OperatorSession(console, settings(console, signs), console.options().timeoutMs());
	}

	static OperatorSettings settings(Console console, boolean signs) throws WigeontallyException {
		return SettingsReader
			.readFile(console.options().settings(), OperatorSettings.newBuilder(),
					OperatorSettingsValidator.create(signs))
			.build();
	}

	AdminClient client() {
		return this.client;
	}

	boolean expired() {
		return Clock.system().monotonicMs() >= this.deadlineMs;
	}

	/**
	 * Carries a change through.
	 * @param unsigned the change without id, author and signature
	 * @return exit code
	 * @throws WigeontallyException if it could not be sent
	 */
	int carryOut(Change.Builder unsigned) throws WigeontallyException {
		unsigned.setId(UUID.randomUUID().toString()).setAuthor(this.settings.getOperator());
		Change change = sign(unsigned.build());
		ChangeAnswer answer = submit(change);
		while (!settled(answer) && !expired()) {
			pause();
			answer = askAgain(change, answer);
		}
		return report(answer);
	}

	private ChangeAnswer submit(Change change) throws WigeontallyException {
		try {
			return this.client.submit(change).toBuilder().setId(change.getId()).build();
		}
		catch (EntryException ex) {
			if (!this.client.mayHaveSent()) {
				throw ex;
			}
			return ChangeAnswer.newBuilder().setId(change.getId()).setOutcome(ChangeAnswer.Outcome.UNKNOWN).build();
		}
	}

	// A change that was not found in the log is sent again: an entry reads the log to its
	// head first, and the id counts once.
	private ChangeAnswer askAgain(Change change, ChangeAnswer last) throws WigeontallyException {
		if (last.getOutcome() != ChangeAnswer.Outcome.PENDING) {
			return submit(change);
		}
		try {
			return this.client.outcome(change.getId()).toBuilder().setId(change.getId()).build();
		}
		catch (EntryException ex) {
			return last;
		}
	}

	/**
	 * Prints what became of a change.
	 * @param answer the answer of an entry host
	 * @return exit code
	 */
	int report(ChangeAnswer answer) {
		int code = switch (answer.getOutcome()) {
			case ACCEPTED -> ExitCode.DONE;
			case REFUSED -> ExitCode.REFUSED;
			default -> ExitCode.UNSETTLED;
		};
		if (this.console.printedAsJson(answer)) {
			return code;
		}
		String outcome = answer.getOutcome().name().toLowerCase();
		String revision = (answer.getRevision() > 0) ? " at revision " + answer.getRevision() : "";
		this.console.out().println("change " + answer.getId() + ": " + outcome + revision);
		if (answer.getFindingsCount() > 0) {
			this.console.err().println(Findings.format(answer.getFindingsList()));
		}
		if (code == ExitCode.UNSETTLED) {
			this.console.err()
				.println("Not settled yet; it may still take effect. Ask again: wigeontally change show "
						+ answer.getId());
		}
		return code;
	}

	static void pause() {
		try {
			TimeUnit.MILLISECONDS.sleep(POLL_MS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static boolean settled(ChangeAnswer answer) {
		return answer.getOutcome() == ChangeAnswer.Outcome.ACCEPTED
				|| answer.getOutcome() == ChangeAnswer.Outcome.REFUSED;
	}

	private Change sign(Change change) throws UsageException {
		try {
			return Signatures.sign(change, Signatures.parsePrivateKey(this.settings.getPrivateKey()));
		}
		catch (GeneralSecurityException ex) {
			throw new UsageException("private_key is not an Ed25519 key; make one with wigeontally key new");
		}
	}

	@Override
	public void close() {
		this.client.close();
	}

}
