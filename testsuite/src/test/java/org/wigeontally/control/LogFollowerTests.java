package org.wigeontally.control;

import java.util.List;

import io.vertx.core.Vertx;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import org.wigeontally.configuration.KeyRing;
import org.wigeontally.confirmation.ServingLease;
import org.wigeontally.emulator.platform.MemoryLog;
import org.wigeontally.gateway.FailingClock;
import org.wigeontally.gateway.GatewayFixture;
import org.wigeontally.log.PlatformLog;
import org.wigeontally.misc.Clock;
import org.wigeontally.replication.ConfigurationReplica;
import org.wigeontally.replication.LogCursor;
import org.wigeontally.schema.generated.Join;
import org.wigeontally.schema.generated.JoinBatch;
import org.wigeontally.schema.generated.LogRecord;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link LogFollower}.
 */
public class LogFollowerTests {

	@DataProvider
	public Object[][] steps() {
		return new Object[][] { { "start" }, { "read" }, { "handlePage" } };
	}

	/** Guards against a configuration that is never read again because a step threw. */
	@Test(dataProvider = "steps")
	public void logIsReadAfterAStepThrew(String step) throws Exception {
		Vertx vertx = Vertx.vertx();
		try {
			FailingClock clock = FailingClock.create();
			clock.failIn(LogFollower.class, step);
			ServingLease lease = ServingLease.create(Clock.system(), "entry-1", List.of("entry-1"));
			ConfigurationReplica replica = ConfigurationReplica.create(KeyRing.acceptingAll(), lease, "process-1");
			MemoryLog log = MemoryLog.create(Clock.system(), 1);
			Join join = Join.newBuilder().setHost("entry-1").setProcess("process-1").build();
			log.append(PlatformLog.CONFIGURATION,
					LogRecord.newBuilder().setId("join").setJoins(JoinBatch.newBuilder().addJoins(join)).build());
			LogFollower follower = new LogFollower(vertx, log, LogCursor.create(replica, lease), clock, () -> {
				clock.monotonicMs();
				return true;
			});
			vertx.runOnContext((v) -> follower.start());
			GatewayFixture.awaitTrue(follower::isCaughtUp);
			assertThat(clock.hasFailed()).isTrue();
			follower.close();
		}
		finally {
			GatewayFixture.await(vertx.close());
		}
	}

}
