package org.wigeontally.fleet;

import org.testng.annotations.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a promise to a caller that its request has not run although it may have.
 */
public class NotRunPromiseTests {

	@Test
	public void onlyRequestsThatCannotHaveRunGetAPromise() {
		for (int status : new int[] { 408, 421, 429, 503 }) {
			assertThat(NotRunPromise.isKept(status, true, false)).as("status %d", status).isFalse();
			assertThat(NotRunPromise.isKept(status, false, false)).as("status %d", status).isTrue();
			assertThat(NotRunPromise.isKept(status, true, true)).as("status %d", status).isTrue();
		}
	}

	@Test
	public void otherStatusesPromiseNothing() {
		for (int status : new int[] { 200, 204, 304, 400, 404, 409, 413, 500, 501, 502, 504 }) {
			assertThat(NotRunPromise.isKept(status, true, false)).as("status %d", status).isTrue();
		}
	}

}
