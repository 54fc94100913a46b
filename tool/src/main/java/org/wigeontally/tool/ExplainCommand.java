package org.wigeontally.tool;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;

import com.beust.jcommander.Parameter;

import org.wigeontally.errors.WigeontallyException;

/**
 * Prints the log lines that explain one request, from the logs of all processes: the
 * lines with the id of the request and, for each host that handled it, the newest lines
 * up to then on its configuration, version, zone, log store and the request's backend
 * servers.
 */
final class ExplainCommand implements Command {

	private final Console console;

	@Parameter(description = "ID [FILE...]; standard input if no file is given", required = true)
	private List<String> arguments = new ArrayList<>();

	ExplainCommand(Console console) {
		this.console = console;
	}

	@Override
	public String name() {
		return "explain";
	}

	@Override
	public String description() {
		return "Print the story of one request from the processes' logs";
	}

	@Override
	public int run() throws WigeontallyException {
		String id = this.arguments.get(0);
		List<LogLine> lines = new ArrayList<>();
		try {
			for (String file : this.arguments.subList(1, this.arguments.size())) {
				try (Stream<String> read = Files.lines(Path.of(file), StandardCharsets.UTF_8)) {
					read.forEach((line) -> LogLine.parse(line).ifPresent(lines::add));
				}
			}
			if (this.arguments.size() == 1) {
				BufferedReader input = new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
				input.lines().forEach((line) -> LogLine.parse(line).ifPresent(lines::add));
			}
		}
		catch (IOException ex) {
			throw new UsageException("cannot read " + ex.getMessage());
		}
		List<LogLine> relevantLines = relevantLines(id, lines);
		if (relevantLines.isEmpty()) {
			this.console.err()
				.println("no line of " + id
						+ "; the limit of lines per second may have dropped it, see the left-out field");
			return ExitCode.FAILURE;
		}
		relevantLines.forEach((line) -> this.console.out().println(line.format()));
		return ExitCode.SUCCESS;
	}

	/**
	 * Selects the lines of a request and, for each host that handled it, the newest lines
	 * about the host and the request's backend servers up to the last line of the
	 * request.
	 * @param id id of the request
	 * @param lines lines of all processes
	 * @return the lines ordered by time; empty if no line has the id
	 */
	static List<LogLine> relevantLines(String id, List<LogLine> lines) {
		List<LogLine> requestLines = lines.stream().filter((line) -> line.field("id").equals(id)).toList();
		if (requestLines.isEmpty()) {
			return List.of();
		}
		Set<String> hosts = new HashSet<>();
		Set<String> backends = new HashSet<>();
		requestLines.forEach((line) -> {
			hosts.add(line.field("host"));
			backends.add(line.field("backend"));
		});
		backends.remove("");
		String lastTime = requestLines.stream()
			.map((line) -> line.field("time"))
			.max(Comparator.naturalOrder())
			.orElse("");
		List<LogLine> relevantLines = new ArrayList<>(requestLines);
		for (String host : hosts) {
			newestEvent(lines, host, lastTime, "configuration", null).ifPresent(relevantLines::add);
			newestEvent(lines, host, lastTime, "store-lost", null).ifPresent(relevantLines::add);
			newestEvent(lines, host, lastTime, "version", null).ifPresent(relevantLines::add);
			newestEvent(lines, host, lastTime, "zone", null).ifPresent(relevantLines::add);
			for (String backend : backends) {
				newestEvent(lines, host, lastTime, "backend", backend).ifPresent(relevantLines::add);
				newestEvent(lines, host, lastTime, "backend-crash", backend).ifPresent(relevantLines::add);
				newestEvent(lines, host, lastTime, "backend-limit", backend).ifPresent(relevantLines::add);
			}
		}
		relevantLines.sort(Comparator.comparing((LogLine line) -> line.field("time")));
		return relevantLines;
	}

	private static Optional<LogLine> newestEvent(List<LogLine> lines, String host, String latestTime, String event,
			String backend) {
		return lines.stream()
			.filter((line) -> line.field("event").equals(event) && line.field("host").equals(host))
			.filter((line) -> backend == null || line.field("backend").equals(backend))
			.filter((line) -> line.field("time").compareTo(latestTime) <= 0)
			.max(Comparator.comparing((LogLine line) -> line.field("time")));
	}

}
