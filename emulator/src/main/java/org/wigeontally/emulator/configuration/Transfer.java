package org.wigeontally.emulator.configuration;

import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.IntPredicate;

import org.wigeontally.emulator.traffic.VirtualTime;

/**
 * Bytes on their way over several links, in segments of which a window is under way.
 * Transfers that share a link therefore divide it among them. Used by one thread.
 */
final class Transfer {

	private static final int SEGMENT_BYTES = 16 * 1024;

	private static final int WINDOW_SEGMENTS = 4;

	private final VirtualTime time;

	private final List<Link> path;

	private final BooleanSupplier running;

	private final Consumer<Runnable> receiver;

	private final IntPredicate progress;

	private final Runnable completed;

	private int unsentBytes;

	private int unreceivedBytes;

	private int receivedBytes;

	private boolean givenUp;

	private Transfer(VirtualTime time, List<Link> path, int bytes, BooleanSupplier running, Consumer<Runnable> receiver,
			IntPredicate progress, Runnable completed) {
		this.time = time;
		this.path = path;
		this.unsentBytes = bytes;
		this.unreceivedBytes = bytes;
		this.running = running;
		this.receiver = receiver;
		this.progress = progress;
		this.completed = completed;
	}

	/**
	 * Starts a transfer.
	 * @param time the clock
	 * @param path the links in their order
	 * @param bytes number of bytes
	 * @param running returns false if the sender or the receiver has given it up
	 * @param receiver runs what happens at the receiver, unless it is paused or dead
	 * @param progress receives the number of bytes received so far; returns false to give
	 * up
	 * @param completed runs when all have arrived
	 */
	static void start(VirtualTime time, List<Link> path, int bytes, BooleanSupplier running,
			Consumer<Runnable> receiver, IntPredicate progress, Runnable completed) {
		Transfer transfer = new Transfer(time, path, bytes, running, receiver, progress, completed);
		for (int i = 0; i < WINDOW_SEGMENTS; i++) {
			transfer.sendSegment();
		}
	}

	private void sendSegment() {
		int bytes = Math.min(SEGMENT_BYTES, this.unsentBytes);
		if (bytes == 0 || this.givenUp || !this.running.getAsBoolean()) {
			return;
		}
		this.unsentBytes -= bytes;
		pass(0, bytes);
	}

	private void pass(int hop, int bytes) {
		if (hop == this.path.size()) {
			this.receiver.accept(() -> received(bytes));
			return;
		}
		double arrivalMs = this.path.get(hop).enqueue(bytes, this.time.nowMs());
		this.time.after(arrivalMs - this.time.nowMs(), () -> pass(hop + 1, bytes));
	}

	private void received(int bytes) {
		if (this.givenUp || !this.running.getAsBoolean()) {
			return;
		}
		this.receivedBytes += bytes;
		this.unreceivedBytes -= bytes;
		if (!this.progress.test(this.receivedBytes)) {
			this.givenUp = true;
			return;
		}
		if (this.unreceivedBytes == 0) {
			this.completed.run();
			return;
		}
		sendSegment();
	}

}
