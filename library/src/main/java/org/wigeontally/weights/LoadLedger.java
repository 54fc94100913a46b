package org.wigeontally.weights;

import java.util.Optional;

/**
 * Keeps account of the load orders of one engine and decides whether the weights that it
 * has loaded are proven to be the right ones.
 *
 * <p>
 * An engine takes the chunks that are staged at the moment at which it accepts an order.
 * No caller learns that moment, since the response can be late or lost, so a check of the
 * staged chunks that precedes the order does not prove what was loaded. Three things
 * change staged chunks after the check: corruption, staging calls that were given up and
 * take effect late, and staging by this process. The first two never make a wrong chunk
 * right. Therefore a load is proven if a check after its acceptance finds all chunks
 * right, and this process has staged nothing since the order was sent. The check before
 * the order is enough if the response arrives soon after it and no staging call is
 * without a response.
 *
 * <p>
 * An order without a response is in doubt: the engine may accept it at any time until it
 * has begun another one. Staging another version meanwhile would let the engine load a
 * mixture. So the same order is sent again until the engine's count of orders has
 * changed, which makes all copies but one invalid.
 *
 * <p>
 * The weights that an engine has when this process first sees it were proven by the
 * process that ordered them, unless it is told that they were disproven. Orders that
 * begin later and are not from this process can be proven by a check too. An instance
 * belongs to one thread.
 */
public final class LoadLedger {

	private static final long UNKNOWN = -1;

	private long engineStartMs = UNKNOWN;

	private long startedOrders;

	private long provenOrders;

	private boolean stagedSinceOrder;

	private boolean disproven;

	// Null if no order was sent whose load is neither proven nor disproven.
	private LoadOrder lastOrder;

	private int copies;

	private LoadLedger() {
	}

	/**
	 * Creates a ledger of an engine that was not seen yet.
	 * @return the ledger
	 */
	public static LoadLedger create() {
		return new LoadLedger();
	}

	/**
	 * Records a state of the engine.
	 * @param processStartMs start of the engine's process
	 * @param orders number of orders that it has begun
	 */
	public void recordState(long processStartMs, long orders) {
		if (processStartMs != this.engineStartMs) {
			// A later process starts without weights, and may have accepted an order that
			// was meant for the one before it.
			this.provenOrders = (this.engineStartMs == UNKNOWN) ? orders : 0;
			this.engineStartMs = processStartMs;
			this.startedOrders = orders;
			close(false);
			return;
		}
		// A state that was on its way during an order is outdated.
		if (orders > this.startedOrders) {
			this.startedOrders = orders;
			this.disproven = false;
		}
	}

	/**
	 * Records that a chunk is being staged.
	 */
	public void recordStaging() {
		this.stagedSinceOrder = true;
	}

	/**
	 * Records that an order is being sent. The engine's number of orders was read after
	 * the last chunk was staged.
	 * @param order the order
	 */
	public void recordOrder(LoadOrder order) {
		boolean repeated = this.lastOrder != null && this.lastOrder.startedOrders() == order.startedOrders();
		this.copies = repeated ? this.copies + 1 : 1;
		this.lastOrder = order;
		this.stagedSinceOrder = false;
	}

	/**
	 * Records that the engine has responded to the last order without beginning it.
	 */
	public void recordRefusal() {
		if (this.copies == 1) {
			this.lastOrder = null;
		}
	}

	/**
	 * Records that an order was accepted.
	 * @param order the order
	 * @return false if another process of the engine has been seen since it was sent
	 */
	public boolean recordAcceptance(LoadOrder order) {
		if (this.lastOrder != order) {
			return false;
		}
		recordState(this.engineStartMs, order.startedOrders() + 1);
		return true;
	}

	/**
	 * Records what a check of the staged chunks has shown. It began after the load.
	 * @param load the last load when the check began
	 * @param allChunksRight whether all staged chunks were those of the loaded version
	 * @return false if the check proves nothing, because it is not about the last load or
	 * chunks were staged since
	 */
	public boolean recordProof(Load load, boolean allChunksRight) {
		if (!load.equals(lastLoad()) || !isProvable()) {
			return false;
		}
		this.provenOrders = allChunksRight ? this.startedOrders : this.provenOrders;
		close(!allChunksRight);
		return true;
	}

	/**
	 * Records that an earlier process has found a load wrong. What lies staged now may
	 * have been repaired since, so no check can prove that load any more.
	 * @param load the load
	 * @return true if it is the last one, and was not known to be wrong
	 */
	public boolean recordDisproof(Load load) {
		if (!load.equals(lastLoad()) || this.disproven) {
			return false;
		}
		this.provenOrders = UNKNOWN;
		close(true);
		return true;
	}

	/**
	 * Returns the load that was found wrong.
	 * @return the last load; empty if it is not known to be wrong
	 */
	public Optional<Load> disprovenLoad() {
		return this.disproven ? Optional.of(lastLoad()) : Optional.empty();
	}

	private void close(boolean isDisproven) {
		this.lastOrder = null;
		this.disproven = isDisproven;
	}

	/**
	 * Returns the order that the engine may still accept.
	 * @return the order; empty if none is in doubt
	 */
	public Optional<LoadOrder> orderInDoubt() {
		return Optional.ofNullable(this.lastOrder).filter((order) -> order.startedOrders() == this.startedOrders);
	}

	/**
	 * Returns the order that the engine has accepted but whose load is not proven.
	 * @return the order; empty if there is none, or it is not from this process
	 */
	public Optional<LoadOrder> unprovenOrder() {
		return Optional.ofNullable(this.lastOrder).filter((order) -> order.startedOrders() + 1 == this.startedOrders);
	}

	/**
	 * Returns the last load that the engine is known to have begun.
	 * @return the load
	 */
	public Load lastLoad() {
		return new Load(this.engineStartMs, this.startedOrders);
	}

	/**
	 * Returns whether requests may be served with what the engine has loaded.
	 * @return true if the weights are proven to be the right ones
	 */
	public boolean isProven() {
		return this.provenOrders == this.startedOrders;
	}

	/**
	 * Returns whether a check of the staged chunks can prove the last load.
	 * @return true if it is neither proven nor disproven, and no chunk was staged since
	 */
	public boolean isProvable() {
		return !isProven() && !this.disproven && !this.stagedSinceOrder;
	}

	/**
	 * Identifies a load of the engine.
	 *
	 * @param engineStartMs start of the engine's process
	 * @param startedOrders number of orders that it has begun, with that of this load
	 */
	public record Load(long engineStartMs, long startedOrders) {

	}

}
