package org.wigeontally.knownred;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests that only {@link KnownFailureListenerTests} runs. The class name matches no
 * include pattern of Surefire, so the test suite does not run it.
 */
public class SampleCases {

	@Test
	public void passes() {
	}

	@Test
	public void fails() {
		throw new AssertionError("listed");
	}

	@Test
	public void failsToo() {
		throw new AssertionError("not listed");
	}

	@DataProvider
	public Object[][] data() {
		return new Object[][] { { 1 }, { 2 } };
	}

	@Test(dataProvider = "data")
	public void failsWithData(int number) {
		throw new AssertionError("not listed");
	}

}
