package org.wigeontally.gateway;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Set;

import org.wigeontally.platform.wire.WireNames;

/**
 * Distinguishes events of a stream from other text that ends with an empty line. A
 * backend server that breaks off a stream may write an error in its place, and the head
 * of a response ends like an event.
 */
final class EventSyntax {

	private static final Set<String> EVENT_FIELDS = Set.of("data", "id", "event", "retry");

	private static final Set<String> RESPONSE_HEADERS = Set.of(WireNames.ATTEMPT_ID.toLowerCase(Locale.ROOT),
			WireNames.SIGNATURE.toLowerCase(Locale.ROOT), WireNames.NOT_RUN.toLowerCase(Locale.ROOT));

	private EventSyntax() {
	}

	/**
	 * Returns whether a text is an event or a comment. Fields that are not known are
	 * allowed in an event, unless they can only come from the head of a response.
	 * @param bytes the text, with the empty line that ends it
	 * @return true if it is an event or a comment
	 */
	static boolean isEvent(byte[] bytes) {
		boolean hasEventField = false;
		boolean hasOtherField = false;
		for (String line : lines(bytes)) {
			if (line.isBlank() || line.startsWith(":")) {
				continue;
			}
			String field = line.split(":", 2)[0].toLowerCase(Locale.ROOT);
			if (ConnectionHeaders.contains(field) || RESPONSE_HEADERS.contains(field)) {
				return false;
			}
			boolean eventField = EVENT_FIELDS.contains(field);
			hasEventField |= eventField;
			hasOtherField |= !eventField;
		}
		return hasEventField || !hasOtherField;
	}

	/**
	 * Returns whether a text consists of comments, which may occur anywhere in a stream.
	 * @param bytes the text
	 * @return true if it has no field
	 */
	static boolean isComment(byte[] bytes) {
		for (String line : lines(bytes)) {
			if (!line.isBlank() && !line.startsWith(":")) {
				return false;
			}
		}
		return true;
	}

	private static List<String> lines(byte[] bytes) {
		return new String(bytes, StandardCharsets.ISO_8859_1).lines().toList();
	}

}
