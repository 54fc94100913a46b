package org.wigeontally.gateway;

import java.lang.StackWalker.StackFrame;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Predicate;

import org.wigeontally.misc.Clock;

/**
 * A clock that throws once, to plant a fault in code that asks for the time. Calls are
 * chosen by the methods that they come from.
 */
public final class FailingClock implements Clock {

	private final Clock system = Clock.system();

	private final AtomicInteger callsLeft = new AtomicInteger();

	private volatile Predicate<StackFrame> callers = (frame) -> false;

	private FailingClock() {
	}

	/**
	 * Creates a clock without a fault.
	 * @return the clock
	 */
	public static FailingClock create() {
		return new FailingClock();
	}

	/**
	 * Plants a fault in a method.
	 * @param type class of the method
	 * @param method name of the method
	 */
	public void failIn(Class<?> type, String method) {
		plant(1, (frame) -> isOf(type, frame) && frame.getMethodName().equals(method));
	}

	/**
	 * Plants a fault in one of the calls that come from some classes.
	 * @param call number of the call, from 1
	 * @param types the classes
	 */
	void failAt(int call, Class<?>... types) {
		plant(call, (frame) -> List.of(types).stream().anyMatch((type) -> isOf(type, frame)));
	}

	private void plant(int call, Predicate<StackFrame> newCallers) {
		this.callers = newCallers;
		this.callsLeft.set(call);
	}

	private static boolean isOf(Class<?> type, StackFrame frame) {
		return frame.getClassName().equals(type.getName());
	}

	/**
	 * Returns whether the planted fault has been thrown.
	 * @return true if there is none left
	 */
	public boolean hasFailed() {
		return this.callsLeft.get() <= 0;
	}

	@Override
	public long monotonicMs() {
		if (this.callsLeft.get() > 0 && isChosen() && this.callsLeft.decrementAndGet() == 0) {
			throw new IllegalStateException("planted");
		}
		return this.system.monotonicMs();
	}

	@Override
	public long wallMs() {
		return this.system.wallMs();
	}

	private boolean isChosen() {
		return StackWalker.getInstance().walk((frames) -> frames.anyMatch(this.callers));
	}

}
