package org.wigeontally.limits;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Bounds the bytes that all requests of a process hold together. A limit on the size of
 * each message does not bound their sum: some tens of large messages fill the memory of a
 * process and end the requests of everybody else.
 *
 * <p>
 * Each holder states how many bytes it holds whenever that changes. If the sum exceeds
 * the budget, the largest holders are given up until it fits. Small messages therefore
 * always find room beside large ones, whichever came first. Used by one thread.
 */
public final class MemoryBudget {

	private final long maxBytes;

	private final Set<Holder> holders = new LinkedHashSet<>();

	private long heldBytes;

	private MemoryBudget(long maxBytes) {
		this.maxBytes = maxBytes;
	}

	/**
	 * Creates a budget.
	 * @param maxBytes number of bytes that all holders may hold together
	 * @return the budget, of which nothing is used
	 */
	public static MemoryBudget of(long maxBytes) {
		return new MemoryBudget(maxBytes);
	}

	/**
	 * Adds a holder.
	 * @param giveUp releases what the holder holds and ends its work; runs at most once,
	 * and never after {@link Holder#close()}
	 * @return the holder, which holds nothing
	 */
	public Holder open(Runnable giveUp) {
		return new Holder(giveUp);
	}

	/**
	 * Returns the number of bytes that all holders hold together.
	 * @return bytes
	 */
	public long heldBytes() {
		return this.heldBytes;
	}

	private Holder largest() {
		Holder largest = null;
		for (Holder holder : this.holders) {
			if (largest == null || holder.bytes > largest.bytes) {
				largest = holder;
			}
		}
		return largest;
	}

	/**
	 * One of those that hold bytes.
	 */
	public final class Holder {

		private final Runnable giveUp;

		private long bytes;

		private boolean open = true;

		private Holder(Runnable giveUp) {
			this.giveUp = giveUp;
		}

		/**
		 * States how many bytes are held now. May give up this holder or others.
		 * @param heldNow the bytes
		 * @return false if this holder has been given up or closed
		 */
		public boolean hold(long heldNow) {
			if (!this.open || heldNow == this.bytes) {
				return this.open;
			}
			MemoryBudget budget = MemoryBudget.this;
			budget.heldBytes += heldNow - this.bytes;
			this.bytes = heldNow;
			if (heldNow > 0) {
				budget.holders.add(this);
			}
			else {
				budget.holders.remove(this);
			}
			while (budget.heldBytes > budget.maxBytes) {
				Holder largest = budget.largest();
				largest.close();
				largest.giveUp.run();
			}
			return this.open;
		}

		/** Ends the holder, which then holds nothing. */
		public void close() {
			if (this.open) {
				this.open = false;
				MemoryBudget.this.heldBytes -= this.bytes;
				MemoryBudget.this.holders.remove(this);
			}
		}

	}

}
