package org.wigeontally.tool;

import com.beust.jcommander.Parameter;

import org.wigeontally.errors.WigeontallyException;

/**
 * Prints the outcome of a change.
 */
final class ChangeShowCommand implements Command {

	private final Console console;

	@Parameter(description = "ID", required = true)
	private String id;

	ChangeShowCommand(Console console) {
		this.console = console;
	}

	@Override
	public String name() {
		return "change show";
	}

	@Override
	public String description() {
		return "Ask what became of a change";
	}

	@Override
	public int run() throws WigeontallyException {
		try (OperatorSession session = OperatorSession.open(this.console, false)) {
			return session.printOutcome(session.client().changeOutcome(this.id).toBuilder().setId(this.id).build());
		}
	}

}
