package org.wigeontally.orders;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import org.wigeontally.misc.ManualClock;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * An order of a paused old agent reaches an engine late, for engines that check fencing
 * numbers and for engines that do not. The tests of the first kind fail if a new agent
 * does not send its first order, those of the second kind if it does not wait before its
 * first order or does not read the state back.
 */
public class EngineReconcilerTests {

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
	public void lateOrderWithinItsLifetimeNeverMakesAWrongVersionReady(boolean checksFence, long arrivesMs) {
		ManualClock clock = ManualClock.startingAt(1000);
		Engine engine = new Engine(checksFence);
		engine.state = NEW;
		Order late = firstOrder(EngineReconciler.create(OLD_INCARNATION, true, clock), OLD);
		EngineReconciler reconciler = EngineReconciler.create(NEW_INCARNATION, checksFence, clock);
		boolean ready = false;
		for (long passedMs = 0; passedMs < 30_000; passedMs += STEP_MS) {
			if (passedMs <= arrivesMs && arrivesMs < passedMs + STEP_MS) {
				engine.receive(late);
			}
			runStep(reconciler, engine, clock);
			ready = reconciler.isReady(NEW);
			assertThat(ready && !engine.state.equals(NEW)).as("ready with the wrong version at %s ms", passedMs)
				.isFalse();
			clock.advance(STEP_MS);
		}
		assertThat(ready).isTrue();
	}

	@Test
	public void orderCarriedOutAfterItsLifetimeIsDetectedAndCorrected() {
		ManualClock clock = ManualClock.startingAt(1000);
		Engine engine = new Engine(false);
		Order late = firstOrder(EngineReconciler.create(OLD_INCARNATION, false, clock), OLD);
		EngineReconciler reconciler = EngineReconciler.create(NEW_INCARNATION, false, clock);
		runSteps(reconciler, engine, clock, 10_000);
		assertThat(reconciler.isReady(NEW)).isTrue();
		engine.receive(late);
		long wrongMs = 0;
		while (reconciler.isReady(NEW) && !engine.state.equals(NEW)) {
			clock.advance(STEP_MS);
			wrongMs += STEP_MS;
			runStep(reconciler, engine, clock);
		}
		assertThat(wrongMs).isLessThanOrEqualTo(EngineReconciler.READ_BACK_INTERVAL_MS + STEP_MS);
		runSteps(reconciler, engine, clock, 1000);
		assertThat(engine.state).isEqualTo(NEW);
		assertThat(reconciler.isReady(NEW)).isTrue();
	}

	@Test
	public void oldAgentStopsWhenAnEngineRejectsItsFence() {
		ManualClock clock = ManualClock.startingAt(1000);
		Engine engine = new Engine(true);
		EngineReconciler old = EngineReconciler.create(OLD_INCARNATION, true, clock);
		Order order = firstOrder(old, OLD);
		runSteps(EngineReconciler.create(NEW_INCARNATION, true, clock), engine, clock, 1000);
		old.recordResult(engine.receive(order));
		assertThat(old.nextStep(OLD)).isInstanceOf(OrderStep.Superseded.class);
		assertThat(old.isReady(OLD)).isFalse();
		assertThat(engine.state).isEqualTo(NEW);
	}

	@Test
	public void pausedAgentDoesNotUseAStaleObservation() {
		ManualClock clock = ManualClock.startingAt(1000);
		Engine engine = new Engine(true);
		EngineReconciler reconciler = EngineReconciler.create(NEW_INCARNATION, true, clock);
		runSteps(reconciler, engine, clock, 1000);
		assertThat(reconciler.isReady(NEW)).isTrue();
		clock.advance(2 * EngineReconciler.READ_BACK_INTERVAL_MS);
		assertThat(reconciler.isReady(NEW)).isFalse();
	}

	@Test
	public void pausedAgentDoesNotSendAnExpiredOrder() {
		ManualClock clock = ManualClock.startingAt(1000);
		EngineReconciler reconciler = EngineReconciler.create(OLD_INCARNATION, true, clock);
		Order order = firstOrder(reconciler, OLD);
		assertThat(reconciler.maySend(order)).isTrue();
		clock.advance(EngineReconciler.MAX_SEND_DELAY_MS);
		assertThat(reconciler.maySend(order)).isFalse();
	}

	@Test
	public void agentWaitsForTheLifetimeOfAnOrderWithoutReply() {
		ManualClock clock = ManualClock.startingAt(1000);
		Engine engine = new Engine(false);
		EngineReconciler reconciler = EngineReconciler.create(NEW_INCARNATION, false, clock);
		runSteps(reconciler, engine, clock, 10_000);
		Order lost = null;
		while (lost == null) {
			clock.advance(STEP_MS);
			OrderStep step = reconciler.nextStep(OLD);
			if (step instanceof OrderStep.SendOrder give) {
				lost = give.order();
			}
			else if (step instanceof OrderStep.ReadBack) {
				reconciler.recordObservedState(engine.state, clock.monotonicMs());
			}
		}
		reconciler.recordResult(OrderResult.NO_REPLY);
		clock.advance(EngineReconciler.ORDER_LIFETIME_MS - STEP_MS);
		runSteps(reconciler, engine, clock, 0);
		assertThat(reconciler.isReady(NEW)).as("the lost order may still take effect").isFalse();
		engine.receive(lost);
		runSteps(reconciler, engine, clock, 1000);
		assertThat(engine.state).isEqualTo(NEW);
		assertThat(reconciler.isReady(NEW)).isTrue();
	}

	private static Order firstOrder(EngineReconciler reconciler, EngineState state) {
		OrderStep step = reconciler.nextStep(state);
		return (step instanceof OrderStep.SendOrder give) ? give.order()
				: new Order(OLD_INCARNATION, state, Long.MAX_VALUE);
	}

	private static void runSteps(EngineReconciler reconciler, Engine engine, ManualClock clock, long ms) {
		for (long passedMs = 0; passedMs <= ms; passedMs += STEP_MS) {
			runStep(reconciler, engine, clock);
			clock.advance(STEP_MS);
		}
	}

	private static void runStep(EngineReconciler reconciler, Engine engine, ManualClock clock) {
		OrderStep step = reconciler.nextStep(NEW);
		if (step instanceof OrderStep.SendOrder give && reconciler.maySend(give.order())) {
			reconciler.recordResult(engine.receive(give.order()));
		}
		if (step instanceof OrderStep.ReadBack) {
			reconciler.recordObservedState(engine.state, clock.monotonicMs());
		}
	}

	/**
	 * An engine that refuses orders with old fencing numbers, or ignores fencing numbers.
	 */
	private static final class Engine {

		private final boolean checksFence;

		private long highestFence;

		private EngineState state = new EngineState("", "");

		Engine(boolean checksFence) {
			this.checksFence = checksFence;
		}

		OrderResult receive(Order order) {
			if (this.checksFence && order.fence() < this.highestFence) {
				return OrderResult.STALE_FENCE;
			}
			this.highestFence = order.fence();
			this.state = order.state();
			return OrderResult.DONE;
		}

	}

}
