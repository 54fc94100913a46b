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

public class KnownRedListenerTests {

	private final ByteArrayOutputStream printed = new ByteArrayOutputStream();

	@BeforeMethod
	public void reset() {
		this.printed.reset();
	}

	@Test
	public void skipsExactlyTheListedTests() {
		TestListenerAdapter outcome = runSample("org.wigeontally.knownred.SampleCases#fails | bin/test | failed | 1",
				"SampleCases#passes | bin/test | failed | 2");
		assertThat(outcome.getSkippedTests()).extracting((result) -> result.getName()).containsExactly("fails");
		assertThat(outcome.getFailedTests()).extracting((result) -> result.getName())
			.containsExactlyInAnyOrder("failsToo", "failsWithData", "failsWithData");
		assertThat(outcome.getPassedTests()).extracting((result) -> result.getName()).containsExactly("passes");
		assertThat(this.printed.toString()).contains("KNOWN RED: org.wigeontally.knownred.SampleCases#fails | bin/test",
				"KNOWN RED NOW PASSES: SampleCases#passes | bin/test");
	}

	@Test
	public void leavesFailuresAloneIfTheListIsEmpty() {
		TestListenerAdapter outcome = runSample("", "# a comment");
		assertThat(outcome.getFailedTests()).hasSize(4);
		assertThat(outcome.getSkippedTests()).isEmpty();
	}

	@Test
	public void refusesAnEntryOfAnotherForm() {
		assertThatIllegalArgumentException().isThrownBy(() -> KnownRed.parse(List.of("Sample#fails | 1")));
		assertThatIllegalArgumentException().isThrownBy(() -> KnownRed.parse(List.of("Sample | a | b | 1")));
		assertThatIllegalArgumentException().isThrownBy(() -> KnownRed.parse(List.of("*#* | a | b | 1")));
	}

	@Test
	public void isRegisteredWithTheSuite() {
		assertThat(KnownRedListenerTests.class.getResource("/META-INF/services/org.testng.ITestNGListener"))
			.isNotNull();
	}

	private TestListenerAdapter runSample(String... lines) {
		TestListenerAdapter outcome = new TestListenerAdapter();
		TestNG suite = new TestNG(false);
		suite.setVerbose(0);
		suite.setTestClasses(new Class<?>[] { SampleCases.class });
		suite.addListener(new KnownRedListener(KnownRed.parse(List.of(lines)), new PrintStream(this.printed, true)));
		suite.addListener(outcome);
		suite.run();
		return outcome;
	}

}
