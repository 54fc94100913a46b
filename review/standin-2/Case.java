import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** Runs a case and ends the process with its result. */
final class Case {

	/** The rule held. */
	static final int HELD = 0;

	/** The rule was broken. */
	static final int BROKEN = 1;

	/** The case could not run. */
	static final int NOT_RUN = 2;

	private Case() {
	}

	/**
	 * Runs a case.
	 * @param arguments whether there is trouble, and the file of the record
	 * @param steps the case
	 */
	static void run(String[] arguments, Steps steps) {
		int result = NOT_RUN;
		try {
			Path folder = Files.createTempDirectory("review");
			try (Record record = new Record(Path.of(arguments[1]))) {
				result = steps.run(Boolean.parseBoolean(arguments[0]), record, folder);
			}
			finally {
				delete(folder);
			}
		}
		catch (Exception ex) {
			ex.printStackTrace();
		}
		System.exit(result);
	}

	private static void delete(Path folder) throws IOException {
		try (Stream<Path> files = Files.walk(folder)) {
			List<Path> deepestFirst = files.sorted(Comparator.reverseOrder()).toList();
			for (Path file : deepestFirst) {
				Files.delete(file);
			}
		}
	}

	/** What a case does. */
	interface Steps {

		/**
		 * Runs the case.
		 * @param trouble whether the disruption takes place
		 * @param record what happens is written there
		 * @param folder a folder for files, which is deleted at the end
		 * @return the result
		 * @throws Exception if the case could not run
		 */
		int run(boolean trouble, Record record, Path folder) throws Exception;

	}

}
