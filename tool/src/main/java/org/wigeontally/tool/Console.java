package org.wigeontally.tool;

import java.io.PrintStream;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.MessageOrBuilder;
import com.google.protobuf.util.JsonFormat;

/**
 * Where commands print to.
 *
 * @param out results
 * @param err errors and hints
 * @param options options of the call
 */
record Console(PrintStream out, PrintStream err, GlobalOptions options) {

	/**
	 * Prints a message as JSON if that was asked for.
	 * @param message the message
	 * @return true if it was printed
	 */
	boolean printIfJson(MessageOrBuilder message) {
		if (!this.options.isJson()) {
			return false;
		}
		this.out.println(toJson(message));
		return true;
	}

	private static String toJson(MessageOrBuilder message) {
		try {
			return JsonFormat.printer()
				.alwaysPrintFieldsWithNoPresence()
				.omittingInsignificantWhitespace()
				.print(message);
		}
		catch (InvalidProtocolBufferException ex) {
			throw new IllegalStateException("the schema has no type that JSON lacks", ex);
		}
	}

}
