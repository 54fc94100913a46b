package org.wigeontally.tool;

import java.io.PrintStream;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.MessageOrBuilder;
import com.google.protobuf.util.JsonFormat;

/**
 * Output streams and global options of one call of the command line tool.
 *
 * @param out stream for results
 * @param err stream for errors and hints
 * @param options global options of the call
 */
record Console(PrintStream out, PrintStream err, GlobalOptions options) {

	/**
	 * Prints a message as JSON if the options request JSON output.
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
			throw new IllegalStateException("unexpected: all types of the schema have a JSON form", ex);
		}
	}

}
