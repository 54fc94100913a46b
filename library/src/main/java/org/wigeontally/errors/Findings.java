package org.wigeontally.errors;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;

import org.wigeontally.schema.generated.Finding;

/**
 * Collects findings with their locations so that all of them are reported together. Not
 * thread-safe.
 */
public final class Findings {

	private final List<Finding> list = new ArrayList<>();

	private Findings() {
	}

	/**
	 * Creates an empty collector.
	 * @return the collector
	 */
	public static Findings create() {
		return new Findings();
	}

	/**
	 * Adds a finding.
	 * @param location file, line and column, or a field path
	 * @param type the error
	 * @param arguments values for the message's placeholders
	 */
	public void add(String location, ErrorType type, Object... arguments) {
		this.list.add(Finding.newBuilder()
			.setNumber(type.number())
			.setMessage(type.message(arguments))
			.setPlace(location)
			.build());
	}

	/**
	 * Adds an existing finding.
	 * @param finding the finding
	 */
	public void add(Finding finding) {
		this.list.add(finding);
	}

	/**
	 * Returns whether there are no findings.
	 * @return true if there is no finding
	 */
	public boolean isEmpty() {
		return this.list.isEmpty();
	}

	/**
	 * Returns the findings in the order in which they were added.
	 * @return the findings, unmodifiable
	 */
	public List<Finding> list() {
		return Collections.unmodifiableList(this.list);
	}

	/**
	 * Throws an exception with all findings, if there are any.
	 * @throws InputException if there is at least one finding
	 */
	public void throwIfAny() throws InputException {
		if (!this.list.isEmpty()) {
			throw InputException.of(this.list);
		}
	}

	/**
	 * Formats findings, one per line, as "location: error 2: message"; warnings as
	 * "location: warning 2: message".
	 * @param findings the findings
	 * @return the lines
	 */
	public static String format(List<Finding> findings) {
		return findings.stream().map(Findings::format).collect(Collectors.joining("\n"));
	}

	private static String format(Finding finding) {
		String location = finding.getPlace().isEmpty() ? "" : finding.getPlace() + ": ";
		String severity = ErrorType.severity(finding.getNumber()).name().toLowerCase(Locale.ROOT);
		return location + severity + " " + finding.getNumber() + ": " + finding.getMessage();
	}

}
