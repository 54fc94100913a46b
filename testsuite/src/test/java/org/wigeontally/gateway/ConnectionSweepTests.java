package org.wigeontally.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import org.wigeontally.fleet.CallerConnectionState;
import org.wigeontally.fleet.CallerLimits;
import org.wigeontally.fleet.ConnectionSweep;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Plays an event loop in virtual time that is held up at any point. As in Netty, a round
 * polls the sockets, handles what the poll found, and then runs the timers that are due.
 * Planted fault: a confirmation that counts although it is late.
 */
public class ConnectionSweepTests {

	private static final int SEEDS = 40;

	private static final int CONNECTIONS = 20;

	private static final long DAY_MS = 60_000;

	private static final long SWEEP_INTERVAL_MS = 250;

	private static final long IDLE_LIMIT_MS = 1_000;

	private static final long MAX_HOLD_UP_MS = 1_500;

	/** Age from which a request no longer counts as crossing the close. */
	private static final long MAX_CROSSING_MS = 50;

	private static final CallerLimits LIMITS = new CallerLimits(16_384, 1 << 20, 1_000, IDLE_LIMIT_MS);

	@DataProvider
	public Object[][] seeds() {
		return IntStream.rangeClosed(1, SEEDS).mapToObj((seed) -> new Object[] { seed }).toArray(Object[][]::new);
	}

	/** Guards against closing connections with requests that the loop has not read. */
	@Test(dataProvider = "seeds")
	public void noConnectionWithAnUnreadRequestIsClosed(int seed) {
		Loop loop = new Loop(new Random(seed), 0.05);
		loop.run();
		assertThat(loop.longestUnreadMs).isLessThanOrEqualTo(MAX_CROSSING_MS);
		assertThat(loop.closed).isPositive();
	}

	/** Guards against a sweep that closes nothing. */
	@Test
	public void idleConnectionsAreClosedSoonAfterTheLimit() {
		Loop loop = new Loop(new Random(1), 0);
		loop.run();
		assertThat(loop.longestIdleMs).isBetween(IDLE_LIMIT_MS, IDLE_LIMIT_MS + 2 * SWEEP_INTERVAL_MS);
	}

	private static final class Connection {

		private final CallerConnectionState state;

		private long requestAtMs;

		private Connection(long nowMs, long requestAtMs) {
			this.state = CallerConnectionState.opened(nowMs, LIMITS);
			this.requestAtMs = requestAtMs;
		}

	}

	private static final class Loop {

		private final Random random;

		private final double holdUpProbability;

		private final ConnectionSweep<Connection> sweep = ConnectionSweep.create();

		private final List<Connection> connections = new ArrayList<>();

		private long nowMs;

		private long confirmAtMs = Long.MAX_VALUE;

		private int closed;

		private long longestUnreadMs;

		private long longestIdleMs;

		private Loop(Random random, double holdUpProbability) {
			this.random = random;
			this.holdUpProbability = holdUpProbability;
		}

		private void run() {
			long sweepAtMs = SWEEP_INTERVAL_MS;
			while (this.nowMs < DAY_MS) {
				while (this.connections.size() < CONNECTIONS) {
					this.connections.add(new Connection(this.nowMs, nextRequestMs()));
				}
				readSockets();
				maybeHoldUp();
				boolean sweepDue = sweepAtMs <= this.nowMs;
				boolean confirmDue = this.confirmAtMs <= this.nowMs;
				if (confirmDue) {
					maybeHoldUp();
					this.confirmAtMs = Long.MAX_VALUE;
					this.sweep.confirm(this::isExpired, this.nowMs).forEach(this::close);
				}
				if (sweepDue) {
					maybeHoldUp();
					sweepAtMs = this.nowMs + SWEEP_INTERVAL_MS;
					if (this.sweep.suspect(this.connections.stream().filter(this::isExpired).toList(), this.nowMs)) {
						this.confirmAtMs = this.nowMs + ConnectionSweep.CONFIRMATION_DELAY_MS;
					}
				}
				this.nowMs++;
			}
		}

		// Some callers never return.
		private long nextRequestMs() {
			return (this.random.nextInt(4) == 0) ? Long.MAX_VALUE
					: this.nowMs + this.random.nextLong(IDLE_LIMIT_MS * 4 / 5);
		}

		private boolean isExpired(Connection connection) {
			return connection.state.isExpired(this.nowMs);
		}

		private void readSockets() {
			for (Connection connection : this.connections) {
				if (connection.requestAtMs <= this.nowMs) {
					connection.state.headBegun(this.nowMs, LIMITS);
					connection.state.headReceived();
					connection.state.answered(this.nowMs);
					connection.requestAtMs = nextRequestMs();
				}
			}
		}

		private void maybeHoldUp() {
			if (this.random.nextDouble() < this.holdUpProbability) {
				this.nowMs += this.random.nextLong(MAX_HOLD_UP_MS);
			}
		}

		private void close(Connection connection) {
			this.connections.remove(connection);
			this.closed++;
			this.longestUnreadMs = Math.max(this.longestUnreadMs, this.nowMs - connection.requestAtMs);
			this.longestIdleMs = Math.max(this.longestIdleMs, connection.state.waitedMs(this.nowMs));
		}

	}

}
