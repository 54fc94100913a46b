package org.wigeontally.placement;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.ToDoubleFunction;

import org.testng.Reporter;
import org.testng.annotations.Test;

import org.wigeontally.platform.wire.ReportedLoad;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Plain backend servers that work at 2.5 times the usual duration in turns, in virtual
 * time.
 */
public class SpeedEstimateTests {

	private static final long SEED = 20_261_206;

	private static final int SERVERS = 20;

	private static final int ENTRIES = 6;

	private static final double SLOW = 2.5;

	private static final double WORK_MS = 40;

	private long nowMs;

	/** Guards against a placement that does not see slow phases. */
	@Test
	public void fewerRequestsMeetSlowServers() {
		double known = slowShare((load) -> load.speed().slowdownFactor(this.nowMs));
		double unknown = slowShare((load) -> 1);
		Reporter.log(String.format("share at slow servers %.3f, without speed %.3f", known, unknown));
		assertThat(known).isLessThan(0.75 * unknown);
	}

	/** Guards against leaving out a server for long because of one report. */
	@Test
	public void oldReportDoesNotLeaveOutServer() {
		SpeedEstimate speed = SpeedEstimate.create();
		speed.recordReport(SLOW, 1_000);
		assertThat(speed.slowdownFactor(1_000)).isEqualTo(SLOW);
		assertThat(speed.slowdownFactor(1_300)).isBetween(1.5, 2.0);
		assertThat(speed.slowdownFactor(1_600)).isEqualTo(1);
		speed.recordReport(1e12, 2_000);
		assertThat(speed.slowdownFactor(2_000)).isEqualTo(SpeedEstimate.MAX_SLOWDOWN);
	}

	/** Guards against a header of three figures that sets the speed back to normal. */
	@Test
	public void reportWithoutSpeedKeepsIt() {
		BackendLoad load = BackendLoad.create();
		load.recordReport(3, SLOW, 1_000);
		load.recordRequests(4, 1_010);
		assertThat(load.speed().slowdownFactor(1_010)).isGreaterThan(2.4);
		assertThat(load.slowdownFactor()).isEqualTo(SLOW);
		assertThat(load.estimatedRequests(1_010, 1)).isEqualTo(4);
	}

	/** Guards against a long prompt of another request that counts as a slow phase. */
	@Test
	public void onlyRepeatedLongPausesCount() {
		SpeedEstimate speed = SpeedEstimate.create();
		speed.recordPause(3, 1_000);
		speed.recordPause(1.1, 1_050);
		assertThat(speed.slowdownFactor(1_050)).isEqualTo(1);
		speed.recordPause(2.5, 1_150);
		speed.recordPause(2.6, 1_250);
		assertThat(speed.slowdownFactor(1_250)).isEqualTo(2.5);
	}

	/** Guards against values that change the load although they are no figures. */
	@Test
	public void unusableHeadersAreRecognised() {
		assertThat(ReportedLoad.decode("3, 1,12").get().requests()).isEqualTo(4);
		assertThat(ReportedLoad.decode("3,1,12,250").get().slowdown()).hasValue(SLOW);
		for (String value : List.of("", "3,1", "3,1,12,", "3,1,12,x", "-3,1,12", "3,1,12,0", "3,1,12,-5", "3,1,12,NaN",
				"3,1,12,100,7", "3,1,12,1e9", "99999999999,1,12")) {
			assertThat(ReportedLoad.decode(value)).as(value).isEmpty();
		}
	}

	// Every answer tells the load and speed of its server at its end.
	private double slowShare(ToDoubleFunction<BackendLoad> slowdown) {
		Random random = new Random(SEED);
		LeastLoadedPlacement placement = LeastLoadedPlacement.create(random);
		BackendLoad[][] loads = new BackendLoad[ENTRIES][SERVERS];
		Arrays.stream(loads).forEach((entry) -> Arrays.setAll(entry, (i) -> BackendLoad.create()));
		int[] running = new int[SERVERS];
		PriorityQueue<double[]> ends = new PriorityQueue<>(Comparator.comparingDouble((end) -> end[0]));
		int requests = 0;
		int slowRequests = 0;
		for (double atMs = 0; atMs < 20_000; atMs += -Math.log(1 - random.nextDouble())) {
			while (!ends.isEmpty() && ends.peek()[0] <= atMs) {
				double[] end = ends.poll();
				int server = (int) end[2];
				this.nowMs = (long) end[0];
				running[server]--;
				BackendLoad load = loads[(int) end[1]][server];
				load.recordEnd();
				load.recordRequests(running[server], this.nowMs);
				load.speed().recordReport(isSlow(server, end[0]) ? SLOW : 1, this.nowMs);
			}
			this.nowMs = (long) atMs;
			BackendLoad[] known = loads[random.nextInt(ENTRIES)];
			List<BackendCandidate> candidates = new ArrayList<>();
			for (int i = 0; i < SERVERS; i++) {
				candidates.add(new BackendCandidate(Integer.toString(i), 0, known[i].estimatedRequests(this.nowMs, 1),
						slowdown.applyAsDouble(known[i]), 0));
			}
			int chosen = Integer.parseInt(placement.chooseBackend(candidates));
			known[chosen].recordSent();
			running[chosen]++;
			boolean slow = isSlow(chosen, atMs);
			ends.add(new double[] { atMs + WORK_MS * (slow ? SLOW : 1), Arrays.asList(loads).indexOf(known), chosen });
			requests++;
			slowRequests += slow ? 1 : 0;
		}
		return (double) slowRequests / requests;
	}

	// Three of 20 servers, others in each phase.
	private static boolean isSlow(int server, double atMs) {
		return (server * 7 + (int) (atMs / SpeedEstimate.PHASE_MS) * 3) % SERVERS < 3;
	}

}
