package org.wigeontally.knownred;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.util.List;

import org.testng.TestListenerAdapter;
import org.testng.TestNG;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

public class KnownFailureListenerTests {

	private final ByteArrayOutputStream output = new ByteArrayOutputStream();

	@BeforeMethod
	public void reset() {
		this.output.reset();
	}

	@Test
	public void skipsFailuresOfListedTestsOnly() {
		TestListenerAdapter results = runSampleCases(
				"org.wigeontally.knownred.SampleCases#fails | bin/test | failed | 1",
				"SampleCases#passes | bin/test | failed | 2");
		assertThat(results.getSkippedTests()).extracting((result) -> result.getName()).containsExactly("fails");
		assertThat(results.getFailedTests()).extracting((result) -> result.getName())
			.containsExactlyInAnyOrder("failsToo", "failsWithData", "failsWithData");
		assertThat(results.getPassedTests()).extracting((result) -> result.getName()).containsExactly("passes");
		assertThat(this.output.toString()).contains("KNOWN RED: org.wigeontally.knownred.SampleCases#fails | bin/test",
				"KNOWN RED NOW PASSES: SampleCases#passes | bin/test");
	}

	@Test
	public void doesNotSkipFailuresIfListIsEmpty() {
		TestListenerAdapter results = runSampleCases("", "# a comment");
		assertThat(results.getFailedTests()).hasSize(4);
		assertThat(results.getSkippedTests()).isEmpty();
	}

	@Test
	public void rejectsMalformedEntries() {
		assertThatIllegalArgumentException().isThrownBy(() -> KnownFailures.parse(List.of("Sample#fails | 1")));
		assertThatIllegalArgumentException().isThrownBy(() -> KnownFailures.parse(List.of("Sample | a | b | 1")));
		assertThatIllegalArgumentException().isThrownBy(() -> KnownFailures.parse(List.of("*#* | a | b | 1")));
	}

	@Test
	public void isRegisteredAsTestNgListener() {
		assertThat(KnownFailureListenerTests.class.getResource("/META-INF/services/org.testng.ITestNGListener"))
			.isNotNull();
	}

	private TestListenerAdapter runSampleCases(String... knownFailureLines) {
		TestListenerAdapter results = new TestListenerAdapter();
		TestNG suite = new TestNG(false);
		suite.setVerbose(0);
		suite.setTestClasses(new Class<?>[] { SampleCases.class });
		suite.addListener(new KnownFailureListener(KnownFailures.parse(List.of(knownFailureLines)),
				new PrintStream(this.output, true)));
		suite.addListener(results);
		suite.run();
		return results;
	}

}
