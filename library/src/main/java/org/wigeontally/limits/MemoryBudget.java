package org.wigeontally.limits;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * Bounds the bytes that all requests of a process hold together. A limit on the size of
 * each message does not bound their sum: some tens of large messages fill the memory of a
 * process and end the requests of everybody else.
 *
 * <p>
 * Each holder states how many bytes it holds whenever that changes. If the sum exceeds
 * the budget, the largest holders are given up until it fits. Small messages therefore
 * always find room beside large ones, whichever came first.
 *
 * <p>
 * The load to withstand is one organisation whose callers read slowly: many messages of
 * moderate size, none of which is the largest. So holders have an owner. An owner may
 * hold a part of the budget only, and where the sum is exceeded, the owner that holds
 * most gives up its largest holder. Used by one thread.
 */
public final class MemoryBudget {

	/** Fraction of the budget that one owner may hold. */
	private static final double MAX_OWNER_FRACTION = 0.5;

	private final long maxBytes;

	private final long maxOwnerBytes;

	private final Map<String, Long> bytesByOwner = new HashMap<>();

	private final Set<Holder> holders = new LinkedHashSet<>();

	private long heldBytes;

	private MemoryBudget(long maxBytes) {
		this.maxBytes = maxBytes;
		this.maxOwnerBytes = (long) (maxBytes * MAX_OWNER_FRACTION);
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
	 * Adds a holder without an owner. Only the whole budget limits it.
	 * @param giveUp releases what the holder holds and ends its work; runs at most once,
	 * and never after {@link Holder#close()}
	 * @return the holder, which holds nothing
	 */
	public Holder open(Runnable giveUp) {
		return new Holder(null, giveUp);
	}

	/**
	 * Adds a holder.
	 * @param owner name of the organisation for which bytes are held
	 * @param giveUp releases what the holder holds and ends its work; runs at most once,
	 * and never after {@link Holder#close()}
	 * @return the holder, which holds nothing
	 */
	public Holder open(String owner, Runnable giveUp) {
		return new Holder(owner, giveUp);
	}

	/**
	 * Returns the number of bytes that all holders hold together.
	 * @return bytes
	 */
	public long heldBytes() {
		return this.heldBytes;
	}

	/**
	 * Returns the number of bytes that the holders of an owner hold together.
	 * @param owner name of the organisation
	 * @return bytes
	 */
	public long heldBytes(String owner) {
		return this.bytesByOwner.getOrDefault(owner, 0L);
	}

	// The largest holder of the owner that holds most. A holder without an owner counts
	// for itself.
	private Holder mostExpensive() {
		Holder found = null;
		for (Holder holder : this.holders) {
			if (found == null || holder.ownerBytes() > found.ownerBytes()
					|| (holder.ownerBytes() == found.ownerBytes() && holder.bytes > found.bytes)) {
				found = holder;
			}
		}
		return found;
	}

	private Holder largestOf(String owner) {
		Holder largest = null;
		for (Holder holder : this.holders) {
			if (owner.equals(holder.owner) && (largest == null || holder.bytes > largest.bytes)) {
				largest = holder;
			}
		}
		return largest;
	}

	private void add(String owner, long bytes) {
		this.heldBytes += bytes;
		if (owner != null) {
			this.bytesByOwner.merge(owner, bytes,
					(held, added) -> (held + added == 0) ? null : Long.valueOf(held + added));
		}
	}

	private static void giveUp(Holder holder) {
		holder.close();
		holder.giveUp.run();
	}

	/**
	 * One of those that hold bytes.
	 */
	public final class Holder {

		private final String owner;

		private final Runnable giveUp;

		private long bytes;

		private boolean open = true;

		private Holder(String owner, Runnable giveUp) {
			this.owner = owner;
			this.giveUp = giveUp;
		}

		private long ownerBytes() {
			return (this.owner != null) ? heldBytes(this.owner) : this.bytes;
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
			budget.add(this.owner, heldNow - this.bytes);
			this.bytes = heldNow;
			if (heldNow > 0) {
				budget.holders.add(this);
			}
			else {
				budget.holders.remove(this);
			}
			while (this.owner != null && heldBytes(this.owner) > budget.maxOwnerBytes) {
				giveUp(budget.largestOf(this.owner));
			}
			while (budget.heldBytes > budget.maxBytes) {
				giveUp(budget.mostExpensive());
			}
			return this.open;
		}

		/** Ends the holder, which then holds nothing. */
		public void close() {
			if (this.open) {
				this.open = false;
				add(this.owner, -this.bytes);
				MemoryBudget.this.holders.remove(this);
			}
		}

	}

}
