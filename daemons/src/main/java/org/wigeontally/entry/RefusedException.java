package org.wigeontally.entry;

import org.wigeontally.errors.WigeontallyException;
import org.wigeontally.http.Refusal;

/**
 * Thrown if a caller's request is refused; contains the refusal to send.
 */
final class RefusedException extends WigeontallyException {

	private static final long serialVersionUID = 1L;

	private final transient Refusal refusal;

	private RefusedException(Refusal refusal) {
		super(refusal.message());
		this.refusal = refusal;
	}

	static RefusedException of(Refusal refusal) {
		return new RefusedException(refusal);
	}

	Refusal refusal() {
		return this.refusal;
	}

}
