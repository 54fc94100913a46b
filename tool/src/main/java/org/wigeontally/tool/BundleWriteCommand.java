package org.wigeontally.tool;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;

/**
 * Prints a commented example of a bundle.
 */
final class BundleWriteCommand implements Command {

	private final Console console;

	BundleWriteCommand(Console console) {
		this.console = console;
	}

	@Override
	public String name() {
		return "bundle write";
	}

	@Override
	public String description() {
		return "Print a commented example of a bundle";
	}

	@Override
	public int run() {
		try (InputStream stream = BundleWriteCommand.class.getResourceAsStream("bundle.yaml")) {
			this.console.out().print(new String(stream.readAllBytes(), StandardCharsets.UTF_8));
			return ExitCode.SUCCESS;
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
