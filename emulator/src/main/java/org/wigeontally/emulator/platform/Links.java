package org.wigeontally.emulator.platform;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;

import org.wigeontally.misc.Clock;
import org.wigeontally.spread.UploadTransport;
import org.wigeontally.weights.LinkRateLimiter;

/**
 * An emulated network of limited links: one each way for each machine, one out of the
 * origin, one each way between each pair of regions. A piece reserves its time on every
 * link of its path, first come first served, and arrives when the last of them is done
 * with it. A link makes up for idle time of up to 200 ms, so that late timers of a busy
 * machine do not lower its rate. Counts bytes of weights; brings faults about. Safe for
 * use by several threads.
 */
public final class Links implements UploadTransport {

	/** Name of the origin as a sender. */
	public static final String ORIGIN = "";

	private static final double BURST_MS = 200;

	private final Vertx vertx;

	private final Clock clock;

	private final Rates rates;

	private final Map<String, String> regions;

	private final Map<String, Link> links = new ConcurrentHashMap<>();

	private volatile PieceFault fault = (from, to, piece) -> Future.succeededFuture(piece);

	/**
	 * Creates the network.
	 * @param vertx carries timers
	 * @param clock source of time
	 * @param rates rates of the links
	 * @param regions region of each host and of {@link #ORIGIN}
	 */
	public Links(Vertx vertx, Clock clock, Rates rates, Map<String, String> regions) {
		this.vertx = vertx;
		this.clock = clock;
		this.rates = rates;
		this.regions = Map.copyOf(regions);
	}

	/**
	 * Sets the fault that pieces meet.
	 * @param newFault the fault
	 */
	public void fault(PieceFault newFault) {
		this.fault = newFault;
	}

	@Override
	public Future<Buffer> transmit(String from, String to, Buffer piece) {
		return path(from, to, piece.length(), true).compose((arrived) -> this.fault.meet(from, to, piece));
	}

	/**
	 * Sends bytes of live requests along the path between two hosts; they are not
	 * counted.
	 * @param from host that sends
	 * @param to host that receives
	 * @param bytes number of bytes
	 * @return ends when they have arrived
	 */
	public Future<Void> travel(String from, String to, int bytes) {
		return path(from, to, bytes, false);
	}

	private Future<Void> path(String from, String to, int bytes, boolean counted) {
		double nowMs = this.clock.monotonicMs();
		double waitMs = 0;
		if (from.equals(ORIGIN)) {
			waitMs = link("origin", this.rates.originKbps()).pass(bytes, counted, nowMs);
		}
		else {
			waitMs = link("up " + from, this.rates.machineKbps()).pass(bytes, counted, nowMs);
		}
		if (!to.equals(ORIGIN)) {
			waitMs = Math.max(waitMs, link("down " + to, this.rates.machineKbps()).pass(bytes, counted, nowMs));
		}
		String fromRegion = this.regions.getOrDefault(from, "");
		String toRegion = this.regions.getOrDefault(to, "");
		if (!fromRegion.equals(toRegion)) {
			Link border = link("border " + fromRegion + " " + toRegion, this.rates.borderKbps());
			waitMs = Math.max(waitMs, border.pass(bytes, counted, nowMs));
		}
		long wholeMs = Math.round(waitMs);
		if (wholeMs < 1) {
			return Future.succeededFuture();
		}
		Promise<Void> arrived = Promise.promise();
		this.vertx.setTimer(wholeMs, (id) -> arrived.complete());
		return arrived.future();
	}

	private Link link(String name, int kbps) {
		return this.links.computeIfAbsent(name, (key) -> new Link(LinkRateLimiter.ofKbps(kbps, BURST_MS)));
	}

	/**
	 * Returns the bytes that left the origin.
	 * @return number of bytes
	 */
	public long originBytes() {
		return bytes("origin");
	}

	/**
	 * Returns the bytes that came into a region over its borders.
	 * @param region the region
	 * @return number of bytes
	 */
	public long borderBytesInto(String region) {
		long sum = 0;
		for (String name : this.links.keySet()) {
			if (name.startsWith("border ") && name.endsWith(" " + region)) {
				sum += bytes(name);
			}
		}
		return sum;
	}

	/**
	 * Returns the bytes that a host received.
	 * @param host the host
	 * @return number of bytes
	 */
	public long bytesInto(String host) {
		return bytes("down " + host);
	}

	private long bytes(String name) {
		Link link = this.links.get(name);
		return (link != null) ? link.bytes.get() : 0;
	}

	/**
	 * Rates of links, in kbit/s.
	 *
	 * @param machineKbps each way of each machine
	 * @param originKbps out of the origin
	 * @param borderKbps each way between two regions
	 */
	public record Rates(int machineKbps, int originKbps, int borderKbps) {

	}

	/**
	 * What may happen to a piece on its way.
	 */
	@FunctionalInterface
	public interface PieceFault {

		/**
		 * Meets a piece.
		 * @param from host that sends
		 * @param to host that receives
		 * @param piece the bytes
		 * @return the bytes as they arrive; never, if the path stalls
		 */
		Future<Buffer> meet(String from, String to, Buffer piece);

	}

	/**
	 * One direction of a link.
	 */
	private static final class Link {

		private final LinkRateLimiter budget;

		private final java.util.concurrent.atomic.AtomicLong bytes = new java.util.concurrent.atomic.AtomicLong();

		Link(LinkRateLimiter budget) {
			this.budget = budget;
		}

		double pass(int count, boolean counted, double nowMs) {
			this.bytes.addAndGet(counted ? count : 0);
			return this.budget.reserve(count, nowMs);
		}

	}

}
