package org.wigeontally.gateway;

import java.util.Deque;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.IntSupplier;

import io.vertx.core.Context;
import io.vertx.core.json.JsonObject;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import org.wigeontally.eventlog.EventLog;
import org.wigeontally.fleet.CompactedTopic;
import org.wigeontally.misc.Clock;
import org.wigeontally.platform.standin.FakeStore;
import org.wigeontally.platform.wire.StoreClient;
import org.wigeontally.platform.wire.StoreTopic;
import org.wigeontally.schema.generated.Address;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Change time of a record that was written during a store outage, and reading that goes
 * on after a fault.
 */
public class StoreFollowerTests {

	private static final long OUTAGE_MS = 3_000;

	/**
	 * Maximum time between two retries during an outage, including the duration of a
	 * call.
	 */
	private static final long MAX_RETRY_INTERVAL_MS = 800;

	@Test
	public void changeTimeIsNotBeforeTheStoreRecovered() throws Exception {
		for (FakeStore.Mode mode : new FakeStore.Mode[] { FakeStore.Mode.UNAVAILABLE,
				FakeStore.Mode.CLOSING_CONNECTIONS }) {
			AtomicLong sinceMs = new AtomicLong();
			GatewayFixture fixture = new GatewayFixture();
			fixture.store().write("op", "config", new JsonObject().put("version", 1));
			Address address = Address.newBuilder().setIp("127.0.0.1").setPort(fixture.store().port()).build();
			Context loop = fixture.vertx().getOrCreateContext();
			CompactedTopic records = CompactedTopic.create();
			StoreFollower follower = new StoreFollower(fixture.vertx(), Clock.system(),
					EventLog.create(Clock.system(), "entry"), StoreClient.create(fixture.vertx(), address),
					StoreTopic.OPERATOR, records, 30, new OnlyEntry(() -> 0), new StoreFollower.RestoreBehaviour(1_000,
							new OperatorRestorePolicy(EventLog.create(Clock.system(), "entry")), () -> {
							}),
					(keys, source, since) -> sinceMs.set(since), () -> {
					});
			loop.runOnContext((v) -> follower.start());
			GatewayFixture.awaitTrue(() -> records.endPosition() > 0);
			long endBefore = records.endPosition();
			fixture.store().setMode(mode);
			Thread.sleep(OUTAGE_MS);
			fixture.announceVersion(2);
			long recoveredAtMs = Clock.system().monotonicMs();
			fixture.store().setMode(FakeStore.Mode.SERVING);
			GatewayFixture.awaitTrue(() -> records.endPosition() > endBefore);
			GatewayFixture.awaitTrue(() -> sinceMs.get() > 0);
			assertThat(sinceMs.get()).as("store %s", mode).isGreaterThan(recoveredAtMs - MAX_RETRY_INTERVAL_MS);
			follower.stop();
			fixture.close();
		}
	}

	/**
	 * What receives the records throws at the snapshot, at the first update and at the
	 * second one, and so does the question whether this entry reads.
	 */
	@Test
	public void recordsAreFollowedWhateverAStepThrows() throws Exception {
		GatewayFixture fixture = new GatewayFixture();
		try {
			fixture.store().write("op", "config", new JsonObject().put("version", 1));
			Address address = Address.newBuilder().setIp("127.0.0.1").setPort(fixture.store().port()).build();
			Deque<Throwable> faults = new ConcurrentLinkedDeque<>(
					List.of(new StackOverflowError(), new IllegalStateException("odd"), new OutOfMemoryError("odd")));
			AtomicInteger questions = new AtomicInteger();
			Set<String> keysSeen = ConcurrentHashMap.newKeySet();
			StoreFollower follower = new StoreFollower(fixture.vertx(), Clock.system(),
					EventLog.create(Clock.system(), "entry"), StoreClient.create(fixture.vertx(), address),
					StoreTopic.OPERATOR, CompactedTopic.create(), 30, new OnlyEntry(() -> {
						if (questions.incrementAndGet() % 2 == 1) {
							throw new StackOverflowError();
						}
						return 0;
					}), new StoreFollower.RestoreBehaviour(1_000,
							new OperatorRestorePolicy(EventLog.create(Clock.system(), "entry")), () -> {
							}),
					(keys, source, since) -> {
						keysSeen.addAll(keys);
						Throwable fault = faults.poll();
						if (fault instanceof Error error) {
							throw error;
						}
						if (fault instanceof RuntimeException exception) {
							throw exception;
						}
					}, () -> {
					});
			fixture.vertx().getOrCreateContext().runOnContext((v) -> follower.start());
			GatewayFixture.awaitTrue(() -> keysSeen.contains("config"));
			for (String key : List.of("a", "b", "c", "d")) {
				fixture.store().write("op", key, new JsonObject());
				GatewayFixture.awaitTrue(() -> keysSeen.contains(key));
			}
			assertThat(faults).isEmpty();
			follower.stop();
		}
		finally {
			fixture.close();
		}
	}

	@DataProvider
	public Object[][] supplies() {
		return new Object[][] { { true }, { false } };
	}

	/**
	 * Guards against removals that are postponed, as after an outage of the store, by an
	 * entry that only its own calls failed for, while another one supplied it.
	 */
	@Test(dataProvider = "supplies")
	public void onlyAnOutageForAllEntriesCountsAsOne(boolean supplied) throws Exception {
		GatewayFixture fixture = new GatewayFixture();
		try {
			fixture.store().write("op", "config", new JsonObject().put("version", 1));
			Address address = Address.newBuilder().setIp("127.0.0.1").setPort(fixture.store().port()).build();
			Context loop = fixture.vertx().getOrCreateContext();
			AtomicInteger outages = new AtomicInteger();
			Set<String> keysSeen = ConcurrentHashMap.newKeySet();
			EventLog log = EventLog.create(Clock.system(), "entry");
			StoreFollower follower = new StoreFollower(fixture.vertx(), Clock.system(), log,
					StoreClient.create(fixture.vertx(), address), StoreTopic.OPERATOR, CompactedTopic.create(), 30,
					new OnlyEntry(() -> 0),
					new StoreFollower.RestoreBehaviour(1_000, new OperatorRestorePolicy(log), () -> {
					}), (keys, source, since) -> keysSeen.addAll(keys), outages::incrementAndGet);
			loop.runOnContext((v) -> follower.start());
			GatewayFixture.awaitTrue(() -> keysSeen.contains("config"));
			fixture.store().setMode(FakeStore.Mode.UNAVAILABLE);
			if (supplied) {
				loop.runOnContext((v) -> fixture.vertx()
					.setPeriodic(10, (id) -> follower.recordKnownAsOf(Clock.system().monotonicMs())));
			}
			Thread.sleep(OUTAGE_MS);
			fixture.store().setMode(FakeStore.Mode.SERVING);
			fixture.store().write("op", "later", new JsonObject());
			GatewayFixture.awaitTrue(() -> keysSeen.contains("later"));
			assertThat(outages.get()).isEqualTo(supplied ? 0 : 1);
			follower.stop();
		}
		finally {
			fixture.close();
		}
	}

	private static final class OnlyEntry implements RegionSupply {

		private final IntSupplier rank;

		private OnlyEntry(IntSupplier rank) {
			this.rank = rank;
		}

		@Override
		public int rank() {
			return this.rank.getAsInt();
		}

		@Override
		public boolean sharesLargeRecords() {
			return false;
		}

		@Override
		public boolean isReceiving() {
			return false;
		}

		@Override
		public boolean isReceivedByEarlierEntry() {
			return false;
		}

		@Override
		public boolean hasRecords() {
			return false;
		}

		@Override
		public void announceReceiving() {
		}

	}

}
