package org.wigeontally.knownred;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Run by {@link KnownFailureListenerTests} only; the suite does not pick it up by its
 * name.
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
