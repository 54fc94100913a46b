package org.wigeontally.fleet;

import org.testng.annotations.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Time from which requests must run on an announced version. */
public class AnnouncedVersionsTests {

	private static final long BOUND_MS = 6_000;

	/**
	 * Two versions are announced 3 s apart; the first becomes required 6 s after its own
	 * announcement, regardless of the second.
	 */
	@Test
	public void newerVersionDoesNotDelayAnOlderOne() {
		AnnouncedVersions versions = AnnouncedVersions.create();
		versions.add(2, 18_000);
		versions.add(3, 21_000);
		assertThat(versions.newestVersion()).isEqualTo(3);
		assertThat(versions.requiredVersion(23_999, BOUND_MS)).isZero();
		assertThat(versions.requiredVersion(24_000, BOUND_MS)).isEqualTo(2);
		assertThat(versions.requiredVersion(27_000, BOUND_MS)).isEqualTo(3);
	}

	/**
	 * Guards against a request that begins too late because a still newer one is not due.
	 */
	@Test
	public void eachNewerVersionEndsTheUseOfOlderOnes() {
		AnnouncedVersions versions = AnnouncedVersions.create();
		assertThat(versions.endOfUseMs(1, BOUND_MS)).isEqualTo(Long.MAX_VALUE);
		versions.add(2, 18_000);
		versions.add(3, 21_000);
		assertThat(versions.endOfUseMs(1, BOUND_MS)).isEqualTo(24_000);
		assertThat(versions.endOfUseMs(2, BOUND_MS)).isEqualTo(27_000);
		assertThat(versions.endOfUseMs(3, BOUND_MS)).isEqualTo(Long.MAX_VALUE);
	}

	@Test
	public void versionOfUnknownAgeIsRequiredUntilItsAgeIsReceived() {
		AnnouncedVersions versions = AnnouncedVersions.create();
		versions.add(2, AnnouncedVersions.UNKNOWN_TIME_MS);
		assertThat(versions.requiredVersion(100, BOUND_MS)).isEqualTo(2);
		assertThat(versions.announcementTimes()).isEmpty();
		versions.updateAnnouncementTime(2, 50);
		assertThat(versions.requiredVersion(100, BOUND_MS)).isZero();
		versions.updateAnnouncementTime(2, 400);
		assertThat(versions.requiredVersion(6_050, BOUND_MS)).isEqualTo(2);
	}

}
