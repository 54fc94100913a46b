package org.wigeontally.limits;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import org.wigeontally.emulator.limits.LimitWindows;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Permits of one coordinator.
 */
public class PermitIssuerTests {

	private static final int ENTRIES = 9;

	@DataProvider
	public Object[][] limits() {
		return new Object[][] { { 0.1 }, { 0.5 }, { 1.0 }, { 1.9 }, { 20.0 }, { 400.0 } };
	}

	/**
	 * Inquiries come in bursts, and the limit varies by a tenth. No four seconds may have
	 * more permits than the limit allows and the burst, and demand above the limit uses
	 * it.
	 */
	@Test(dataProvider = "limits")
	public void permitsOfAnyFourSecondsKeepToTheLimit(double perSecond) {
		Random random = new Random(11);
		PermitIssuer issuer = PermitIssuer.create(perSecond, 0);
		List<Long> grantedAtMs = new ArrayList<>();
		long nowMs = 0;
		long endMs = (long) (100_000 / Math.min(1, perSecond));
		while (nowMs < endMs) {
			nowMs += random.nextInt((int) Math.max(4, 500 / perSecond));
			PermitGrant grant = issuer.issue(1 + random.nextInt(5), perSecond * (0.95 + 0.1 * random.nextDouble()),
					ENTRIES, nowMs);
			for (int i = 0; i < grant.granted(); i++) {
				grantedAtMs.add(nowMs);
			}
			assertThat(grant.nextInMs()).isLessThanOrEqualTo((long) Math.ceil(1_000 / (perSecond * 0.95)));
		}
		double bound = 1.05 * (4 * perSecond) + 3 + 0.06 * perSecond;
		assertThat(LimitWindows.most(grantedAtMs)).isLessThanOrEqualTo((int) Math.ceil(bound));
		assertThat(grantedAtMs.size()).isGreaterThan((int) (0.9 * perSecond * endMs / 1_000));
	}

	@Test
	public void newCoordinatorBeginsWithoutPermits() {
		PermitIssuer issuer = PermitIssuer.create(10, 5_000);
		assertThat(issuer.issue(3, 10, ENTRIES, 5_000)).isEqualTo(new PermitGrant(0, 100));
		assertThat(issuer.issue(3, 10, ENTRIES, 5_100).granted()).isEqualTo(1);
	}

	/** A coordinator that was paused for a minute has a few permits, not a minute's. */
	@Test
	public void permitsDoNotAccumulateWithoutBound() {
		PermitIssuer issuer = PermitIssuer.create(20, 0);
		assertThat(issuer.issue(1_000, 20, ENTRIES, 60_000).granted()).isEqualTo(4);
		assertThat(issuer.issue(1_000, 20, 1, 120_000).granted()).isEqualTo(2);
	}

	@Test
	public void clockThatStandsStillIssuesNothing() {
		PermitIssuer issuer = PermitIssuer.create(20, 1_000);
		assertThat(issuer.issue(1, 20, ENTRIES, 900)).isEqualTo(new PermitGrant(0, 50));
	}

}
