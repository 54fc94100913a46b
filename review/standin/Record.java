import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** What was sent, answered and run, with the time since the start in seconds. */
final class Record {

	private final long startNs = System.nanoTime();

	private final List<String> lines = new ArrayList<>();

	private final Map<String, List<String>> runs = new ConcurrentHashMap<>();

	private final Map<String, List<Run>> runsByReplica = new ConcurrentHashMap<>();

	private final Path file;

	private record Run(String id, double atS) {
	}

	Record(Path file) {
		this.file = file;
	}

	double seconds() {
		return (System.nanoTime() - this.startNs) / 1e9;
	}

	synchronized void add(String who, String name, String what, String detail) {
		this.lines.add(String.format(Locale.ROOT, "%8.3f %s %s %s: %s", seconds(), who, name, what, detail));
	}

	void ran(String id, String replica, Map<String, String> headers) {
		this.runs.computeIfAbsent(id, (absent) -> new ArrayList<>()).add(replica);
		this.runsByReplica.computeIfAbsent(replica, (absent) -> new java.util.concurrent.CopyOnWriteArrayList<>())
			.add(new Run(id, seconds()));
		add("replica", replica, "runs", id + " deadline-ms " + headers.get("x-deadline-ms") + " last-event-id "
				+ headers.get("last-event-id") + " tenant " + headers.get("x-tenant"));
	}

	/** Returns the replicas at which a request ran. */
	List<String> ranAt(String id) {
		return this.runs.getOrDefault(id, List.of());
	}

	List<String> runsAfter(String replica, double atS) {
		return this.runsByReplica.getOrDefault(replica, List.of())
			.stream()
			.filter((run) -> run.atS() > atS)
			.map((run) -> run.id() + " at " + run.atS())
			.toList();
	}

	double lastRun(String replica, double sinceS) {
		return this.runsByReplica.getOrDefault(replica, List.of())
			.stream()
			.mapToDouble((run) -> run.atS() - sinceS)
			.max()
			.orElse(0);
	}

	boolean hasRun(String id) {
		return this.runs.containsKey(id);
	}

	synchronized void save() throws IOException {
		Files.write(this.file, this.lines);
	}

}
