package org.wigeontally.orders;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import org.wigeontally.misc.ManualClock;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * An order of a paused old agent reaches an engine late, on engines that check fencing
 * numbers and on engines that do not. Seen red with the first order of a new agent left
 * out on the first kind, and without the wait and without the reading back on the second.
 */
public class OrderLedgerTests {

	private static final EngineState OLD = new EngineState("v1", "decode");

	private static final EngineState NEW = new EngineState("v2", "decode");

	private static final long OLD_INCARNATION = 5;

	private static final long NEW_INCARNATION = 9;

	private static final long STEP_MS = 50;

	@DataProvider
	public Object[][] arrivals() {
		return new Object[][] { { true, 100 }, { true, 3000 }, { true, 20_000 }, { false, 100 }, { false, 3000 },
				{ false, EngineReconciler.ORDER_LIFETIME_MS - 1 } };
	}

	@Test(dataProvider = "arrivals")
	public void engineIsNeverReadyWithWhatAnOldOrderBroughtWithinItsLife(boolean checks, long arrivesMs) {
		ManualClock clock = ManualClock.startingAt(1000);
		Engine engine = new Engine(checks);
		engine.state = NEW;
		Order late = orderOf(EngineReconciler.create(OLD_INCARNATION, true, clock), OLD);
		EngineReconciler ledger = EngineReconciler.create(NEW_INCARNATION, checks, clock);
		boolean ready = false;
		for (long passedMs = 0; passedMs < 30_000; passedMs += STEP_MS) {
			if (passedMs <= arrivesMs && arrivesMs < passedMs + STEP_MS) {
				engine.take(late);
			}
			step(ledger, engine, clock);
			ready = ledger.isReady(NEW);
			assertThat(ready && !engine.state.equals(NEW)).as("ready with the wrong version at %s ms", passedMs)
				.isFalse();
			clock.advance(STEP_MS);
		}
		assertThat(ready).isTrue();
	}

	@Test
	public void orderThatOutlivedItsLifeIsFoundAndRepaired() {
		ManualClock clock = ManualClock.startingAt(1000);
		Engine engine = new Engine(false);
		Order late = orderOf(EngineReconciler.create(OLD_INCARNATION, false, clock), OLD);
		EngineReconciler ledger = EngineReconciler.create(NEW_INCARNATION, false, clock);
		drive(ledger, engine, clock, 10_000);
		assertThat(ledger.isReady(NEW)).isTrue();
		engine.take(late);
		long wrongMs = 0;
		while (ledger.isReady(NEW) && !engine.state.equals(NEW)) {
			clock.advance(STEP_MS);
			wrongMs += STEP_MS;
			step(ledger, engine, clock);
		}
		assertThat(wrongMs).isLessThanOrEqualTo(EngineReconciler.READ_BACK_INTERVAL_MS + STEP_MS);
		drive(ledger, engine, clock, 1000);
		assertThat(engine.state).isEqualTo(NEW);
		assertThat(ledger.isReady(NEW)).isTrue();
	}

	@Test
	public void oldAgentStopsWhenAnEngineRefusesItsNumber() {
		ManualClock clock = ManualClock.startingAt(1000);
		Engine engine = new Engine(true);
		EngineReconciler old = EngineReconciler.create(OLD_INCARNATION, true, clock);
		Order order = orderOf(old, OLD);
		drive(EngineReconciler.create(NEW_INCARNATION, true, clock), engine, clock, 1000);
		old.recordResult(engine.take(order));
		assertThat(old.nextStep(OLD)).isInstanceOf(OrderStep.Superseded.class);
		assertThat(old.isReady(OLD)).isFalse();
		assertThat(engine.state).isEqualTo(NEW);
	}

	@Test
	public void pausedAgentDoesNotTrustAnOldReading() {
		ManualClock clock = ManualClock.startingAt(1000);
		Engine engine = new Engine(true);
		EngineReconciler ledger = EngineReconciler.create(NEW_INCARNATION, true, clock);
		drive(ledger, engine, clock, 1000);
		assertThat(ledger.isReady(NEW)).isTrue();
		clock.advance(2 * EngineReconciler.READ_BACK_INTERVAL_MS);
		assertThat(ledger.isReady(NEW)).isFalse();
	}

	@Test
	public void pausedAgentDoesNotSendAnOrderThatIsTooOld() {
		ManualClock clock = ManualClock.startingAt(1000);
		EngineReconciler ledger = EngineReconciler.create(OLD_INCARNATION, true, clock);
		Order order = orderOf(ledger, OLD);
		assertThat(ledger.maySend(order)).isTrue();
		clock.advance(EngineReconciler.MAX_SEND_DELAY_MS);
		assertThat(ledger.maySend(order)).isFalse();
	}

	@Test
	public void orderWithoutReplyIsWaitedOutWhereNumbersAreNotChecked() {
		ManualClock clock = ManualClock.startingAt(1000);
		Engine engine = new Engine(false);
		EngineReconciler ledger = EngineReconciler.create(NEW_INCARNATION, false, clock);
		drive(ledger, engine, clock, 10_000);
		Order lost = null;
		while (lost == null) {
			clock.advance(STEP_MS);
			OrderStep step = ledger.nextStep(OLD);
			if (step instanceof OrderStep.SendOrder give) {
				lost = give.order();
			}
			else if (step instanceof OrderStep.ReadBack) {
				ledger.recordObservedState(engine.state, clock.monotonicMs());
			}
		}
		ledger.recordResult(OrderResult.NO_REPLY);
		clock.advance(EngineReconciler.ORDER_LIFETIME_MS - STEP_MS);
		drive(ledger, engine, clock, 0);
		assertThat(ledger.isReady(NEW)).as("the lost order may still take effect").isFalse();
		engine.take(lost);
		drive(ledger, engine, clock, 1000);
		assertThat(engine.state).isEqualTo(NEW);
		assertThat(ledger.isReady(NEW)).isTrue();
	}

	private static Order orderOf(EngineReconciler ledger, EngineState state) {
		OrderStep step = ledger.nextStep(state);
		return (step instanceof OrderStep.SendOrder give) ? give.order()
				: new Order(OLD_INCARNATION, state, Long.MAX_VALUE);
	}

	private static void drive(EngineReconciler ledger, Engine engine, ManualClock clock, long ms) {
		for (long passedMs = 0; passedMs <= ms; passedMs += STEP_MS) {
			step(ledger, engine, clock);
			clock.advance(STEP_MS);
		}
	}

	private static void step(EngineReconciler ledger, Engine engine, ManualClock clock) {
		OrderStep step = ledger.nextStep(NEW);
		if (step instanceof OrderStep.SendOrder give && ledger.maySend(give.order())) {
			ledger.recordResult(engine.take(give.order()));
		}
		if (step instanceof OrderStep.ReadBack) {
			ledger.recordObservedState(engine.state, clock.monotonicMs());
		}
	}

	/**
	 * An engine that refuses old fencing numbers, or does not look at them.
	 */
	private static final class Engine {

		private final boolean checks;

		private long highest;

		private EngineState state = new EngineState("", "");

		Engine(boolean checks) {
			this.checks = checks;
		}

		OrderResult take(Order order) {
			if (this.checks && order.fence() < this.highest) {
				return OrderResult.STALE_FENCE;
			}
			this.highest = order.fence();
			this.state = order.state();
			return OrderResult.DONE;
		}

	}

}
