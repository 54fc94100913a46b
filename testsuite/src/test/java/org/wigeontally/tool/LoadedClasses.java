package org.wigeontally.tool;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import org.wigeontally.gateway.GatewayFixture;

/**
 * The log of the classes that a process has loaded, which tells how far its start is.
 */
final class LoadedClasses implements AutoCloseable {

	private final Path file;

	private LoadedClasses(Path file) {
		this.file = file;
	}

	static LoadedClasses createLog() throws IOException {
		return new LoadedClasses(Files.createTempFile("classes", ".log"));
	}

	/** Returns the option of the JVM that writes the log. */
	String jvmOption() {
		return "-Xlog:class+load:file=" + this.file;
	}

	void await(String className) throws InterruptedException {
		GatewayFixture.awaitTrue(() -> {
			try {
				return Files.readString(this.file).contains(className + " ");
			}
			catch (IOException ex) {
				throw new IllegalStateException(ex);
			}
		});
	}

	@Override
	public void close() throws IOException {
		Files.delete(this.file);
	}

}
