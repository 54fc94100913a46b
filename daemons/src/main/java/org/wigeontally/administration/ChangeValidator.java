package org.wigeontally.administration;

import java.util.regex.Pattern;

import org.wigeontally.errors.ErrorType;
import org.wigeontally.errors.Findings;
import org.wigeontally.schema.generated.Change;

/**
 * Validates the fields of a change before it is appended to the log. Whether the change
 * is accepted is decided only by the state machine that applies the log.
 */
final class ChangeValidator {

	private static final Pattern ID = Pattern.compile("[A-Za-z0-9-]{8,64}");

	private ChangeValidator() {
	}

	static void validate(Change.Builder change, Findings findings) {
		if (!ID.matcher(change.getId()).matches()) {
			findings.add("id", ErrorType.BAD_REQUEST, "an id has 8 to 64 letters, digits and hyphens");
		}
		require("author", change.getAuthor(), findings);
		require("signature", change.getSignature(), findings);
		switch (change.getSubjectCase()) {
			case PROPOSE -> require("propose.bundle.name", change.getPropose().getBundle().getName(), findings);
			case SIGN_OFF -> {
				require("sign_off.bundle", change.getSignOff().getBundle(), findings);
				require("sign_off.digest", change.getSignOff().getDigest(), findings);
			}
			case ROLL -> require("roll.bundle", change.getRoll().getBundle(), findings);
			case ZONE -> require("zone.zone", change.getZone().getZone(), findings);
			case HOST -> require("host.host", change.getHost().getHost(), findings);
			default -> findings.add("subject", ErrorType.UNKNOWN_SUBJECT);
		}
	}

	private static void require(String field, String value, Findings findings) {
		if (value.isBlank()) {
			findings.add(field, ErrorType.MISSING_VALUE, field);
		}
	}

}
