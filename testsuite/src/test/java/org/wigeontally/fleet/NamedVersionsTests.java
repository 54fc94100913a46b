package org.wigeontally.fleet;

import org.testng.annotations.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * When versions of weights bind.
 */
public class NamedVersionsTests {

	private static final long BOUND_MS = 6_000;

	/**
	 * Named 3 s apart: the first binds 6 s after its own naming, whatever comes after it.
	 */
	@Test
	public void newerVersionDoesNotPutOffAnOlderOne() {
		NamedVersions versions = NamedVersions.create();
		versions.named(2, 18_000);
		versions.named(3, 21_000);
		assertThat(versions.newest()).isEqualTo(3);
		assertThat(versions.required(23_999, BOUND_MS)).isZero();
		assertThat(versions.required(24_000, BOUND_MS)).isEqualTo(2);
		assertThat(versions.required(27_000, BOUND_MS)).isEqualTo(3);
	}

	@Test
	public void versionOfUnknownAgeBindsUntilSomebodySaysItsAge() {
		NamedVersions versions = NamedVersions.create();
		versions.named(2, NamedVersions.UNKNOWN_MS);
		assertThat(versions.required(100, BOUND_MS)).isEqualTo(2);
		assertThat(versions.known()).isEmpty();
		versions.seen(2, 50);
		assertThat(versions.required(100, BOUND_MS)).isZero();
		versions.seen(2, 400);
		assertThat(versions.required(6_050, BOUND_MS)).isEqualTo(2);
	}

}
