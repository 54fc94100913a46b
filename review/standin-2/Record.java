import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** What was sent, answered and run, with the time since the start in milliseconds. */
final class Record implements AutoCloseable {

	private final long startNs = System.nanoTime();

	private final PrintWriter out;

	Record(Path file) throws IOException {
		this.out = new PrintWriter(Files.newBufferedWriter(file));
	}

	synchronized void write(String line) {
		this.out.printf("%8d %s%n", nowMs(), line);
	}

	long nowMs() {
		return (System.nanoTime() - this.startNs) / 1_000_000;
	}

	@Override
	public synchronized void close() {
		this.out.close();
	}

}
