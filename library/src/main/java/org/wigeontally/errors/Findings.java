package org.wigeontally.errors;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.stream.Collectors;

import org.wigeontally.schema.generated.Finding;

/**
 * Collects findings with their place so that all of them are reported together. Not safe
 * for use by several threads.
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
	 * @param location where it was found: file, line and column, or a field path
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
	 * Adds a finding that was made elsewhere.
	 * @param finding the finding
	 */
	public void add(Finding finding) {
		this.list.add(finding);
	}

	/**
	 * Tells whether anything was found.
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
	 * @throws InputException if anything was found
	 */
	public void throwIfAny() throws InputException {
		if (!this.list.isEmpty()) {
			throw InputException.of(this.list);
		}
	}

	/**
	 * Writes findings one a line, as "place: error 2: message".
	 * @param findings the findings
	 * @return the lines
	 */
	public static String format(List<Finding> findings) {
		return findings.stream().map(Findings::format).collect(Collectors.joining("\n"));
	}

	private static String format(Finding finding) {
		String location = finding.getPlace().isEmpty() ? "" : finding.getPlace() + ": ";
		return location + "error " + finding.getNumber() + ": " + finding.getMessage();
	}

}
