package org.wigeontally.tool;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import org.testng.annotations.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests the explain command on the logs of several processes.
 */
public class ExplainTests {

	@Test
	public void printsLinesOfTheRequestAndEarlierEventsOfItsBackendServers() throws Exception {
		Path first = Files.createTempFile("entry", ".log");
		Path second = Files.createTempFile("other", ".log");
		Files.write(first, List.of(
				"time=2026-12-04T01:00:01.000 level=INFO event=backend host=e1 backend=i-1 draining=false",
				"time=2026-12-04T01:00:05.000 level=INFO event=backend host=e1 backend=i-1 draining=true",
				"time=2026-12-04T01:00:05.500 level=INFO event=backend-limit host=e1 backend=i-1 per-second=2.0 change=started",
				"time=2026-12-04T01:00:06.000 level=INFO event=request-placed host=e1 id=abc backend=i-1 load=3",
				"time=2026-12-04T01:00:06.100 level=INFO event=attempt-failed host=e1 id=abc backend=i-1 reason=\"connection reset\"",
				"time=2026-12-04T01:00:06.101 level=INFO event=request-refused host=e1 id=abc status=502",
				"time=2026-12-04T01:00:07.000 level=INFO event=backend host=e1 backend=i-1 gone=true"));
		Files.write(second, List.of("not an event",
				"  5.1 edge time=2026-12-04T01:00:02.000 level=INFO event=request-placed host=e2 id=other backend=i-1"));
		ByteArrayOutputStream out = new ByteArrayOutputStream();
		int code = Wigeontally.run(new PrintStream(out), System.err, "explain", "abc", first.toString(),
				second.toString());
		assertThat(code).isEqualTo(ExitCode.SUCCESS);
		assertThat(out.toString().lines().map((line) -> line.split("  ")[2]).toList()).containsExactly("backend",
				"backend-limit", "request-placed", "attempt-failed", "request-refused");
		assertThat(out.toString()).contains("draining=true")
			.contains("reason=connection reset")
			.doesNotContain("gone=true");
	}

	@Test
	public void reportsUnknownRequest() throws Exception {
		Path empty = Files.createTempFile("entry", ".log");
		ByteArrayOutputStream err = new ByteArrayOutputStream();
		int code = Wigeontally.run(System.out, new PrintStream(err), "explain", "abc", empty.toString());
		assertThat(code).isEqualTo(ExitCode.FAILURE);
		assertThat(err.toString()).contains("no line of abc");
	}

}
