package org.wigeontally.errors;

import java.util.List;

import org.wigeontally.schema.generated.Finding;

/**
 * Thrown when input is rejected. Carries all findings.
 */
public final class InputException extends WigeontallyException {

	private static final long serialVersionUID = 1L;

	private final transient List<Finding> findings;

	private InputException(String message, List<Finding> findings) {
		super(message);
		this.findings = findings;
	}

	/**
	 * Creates the exception.
	 * @param findings the findings, at least one
	 * @return the exception
	 */
	public static InputException of(List<Finding> findings) {
		return new InputException(Findings.format(findings), List.copyOf(findings));
	}

	/**
	 * Returns all findings.
	 * @return the findings
	 */
	public List<Finding> findings() {
		return this.findings;
	}

}
