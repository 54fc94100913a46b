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
 * Connection of an operator to the entry hosts for one command. Signs a change, submits
 * it and polls its outcome until it is accepted or refused, or the command times out.
 */
final class OperatorSession implements AutoCloseable {

	private static final long POLL_INTERVAL_MS = 250;

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

	static OperatorSession open(Console console, boolean requiresKey) throws WigeontallyException {
		return new OperatorSession(console, readSettings(console, requiresKey), console.options().timeoutMs());
	}

	static OperatorSettings readSettings(Console console, boolean requiresKey) throws WigeontallyException {
		return SettingsReader
			.readFile(console.options().settingsFile(), OperatorSettings.newBuilder(),
					OperatorSettingsValidator.create(requiresKey))
			.build();
	}

	AdminClient client() {
		return this.client;
	}

	boolean isPastDeadline() {
		return Clock.system().monotonicMs() >= this.deadlineMs;
	}

	/**
	 * Signs and submits a change and waits for its outcome.
	 * @param unsigned the change without id, author and signature
	 * @return exit code
	 * @throws WigeontallyException if the change could not be signed or sent
	 */
	int submitAndWait(Change.Builder unsigned) throws WigeontallyException {
		unsigned.setId(UUID.randomUUID().toString()).setAuthor(this.settings.getOperator());
		Change change = sign(unsigned.build());
		ChangeAnswer answer = submit(change);
		while (!isSettled(answer) && !isPastDeadline()) {
			sleepUntilNextPoll();
			answer = pollOutcome(change, answer);
		}
		return printOutcome(answer);
	}

	private ChangeAnswer submit(Change change) throws WigeontallyException {
		try {
			return this.client.submit(change).toBuilder().setId(change.getId()).build();
		}
		catch (AdminApiException ex) {
			if (!this.client.mayHaveReachedEntry()) {
				throw ex;
			}
			return ChangeAnswer.newBuilder().setId(change.getId()).setOutcome(ChangeAnswer.Outcome.UNKNOWN).build();
		}
	}

	// Queries a pending change and resends a change whose outcome is unknown. Resending
	// is safe because an entry reads the log to its head before it appends a change, and
	// a change id takes effect at most once.
	private ChangeAnswer pollOutcome(Change change, ChangeAnswer lastAnswer) throws WigeontallyException {
		if (lastAnswer.getOutcome() != ChangeAnswer.Outcome.PENDING) {
			return submit(change);
		}
		try {
			return this.client.changeOutcome(change.getId()).toBuilder().setId(change.getId()).build();
		}
		catch (AdminApiException ex) {
			return lastAnswer;
		}
	}

	/**
	 * Prints the outcome of a change.
	 * @param answer answer of an entry host
	 * @return exit code
	 */
	int printOutcome(ChangeAnswer answer) {
		int code = switch (answer.getOutcome()) {
			case ACCEPTED -> ExitCode.SUCCESS;
			case REFUSED -> ExitCode.FAILURE;
			default -> ExitCode.UNSETTLED;
		};
		if (this.console.printIfJson(answer)) {
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
				.println("The outcome is not known yet; the change may still take effect. "
						+ "Ask again: wigeontally change show " + answer.getId());
		}
		return code;
	}

	static void sleepUntilNextPoll() {
		try {
			TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static boolean isSettled(ChangeAnswer answer) {
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
