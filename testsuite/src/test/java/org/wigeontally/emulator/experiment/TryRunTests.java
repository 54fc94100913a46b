package org.wigeontally.emulator.experiment;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

import org.testng.annotations.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Seen red as it first was: the job ended the program before it closed its deployment,
 * and each run left 13 processes behind.
 */
public class TryRunTests {

	private static final long END_MS = 5000;

	@Test
	public void servesEveryRequestAndLeavesNoProcessBehind() throws Exception {
		Set<Long> before = children();
		assertThat(TryRun.run()).isZero();
		long endMs = System.currentTimeMillis() + END_MS;
		while (!left(before).isEmpty() && System.currentTimeMillis() < endMs) {
			Thread.sleep(50);
		}
		assertThat(left(before)).isEmpty();
	}

	private static List<Long> left(Set<Long> before) {
		return children().stream().filter((pid) -> !before.contains(pid)).toList();
	}

	private static Set<Long> children() {
		return ProcessHandle.current().children().map(ProcessHandle::pid).collect(Collectors.toSet());
	}

}
