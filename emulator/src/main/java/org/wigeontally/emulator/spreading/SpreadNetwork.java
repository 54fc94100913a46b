package org.wigeontally.emulator.spreading;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.wigeontally.emulator.traffic.VirtualTime;
import org.wigeontally.weights.HostLocation;

/**
 * Links that serve first come first served: one each way per host, one out of the origin,
 * one each way between two regions. Used by one thread.
 */
final class SpreadNetwork {

	private static final double PERCENTILE = 0.99;

	private final VirtualTime time;

	private final Rates rates;

	private final Map<String, Double> nextFreeMs = new HashMap<>();

	private final List<Double> liveDelaysMs = new ArrayList<>();

	SpreadNetwork(VirtualTime time, Rates rates) {
		this.time = time;
		this.rates = rates;
	}

	// Without a sender the bytes come from the origin, which is near all regions.
	void transmit(HostLocation from, HostLocation to, int bytes, Runnable onArrival) {
		double arrivalMs = pass("down " + to.host(), this.rates.hostKbps, bytes);
		if (from == null) {
			arrivalMs = Math.max(arrivalMs, pass("origin", this.rates.originKbps, bytes));
		}
		else {
			arrivalMs = Math.max(arrivalMs, pass("up " + from.host(), this.rates.hostKbps, bytes));
			if (!from.region().equals(to.region())) {
				arrivalMs = Math.max(arrivalMs, passBorder(from.region(), to.region(), bytes));
			}
		}
		this.time.after(arrivalMs - this.time.nowMs(), onArrival);
	}

	double passBorder(String from, String to, int bytes) {
		return pass("border " + from + " " + to, this.rates.borderKbps, bytes);
	}

	void passLive(HostLocation host, int bytesIn, int bytesOut) {
		this.liveDelaysMs.add(pass("down " + host.host(), this.rates.hostKbps, bytesIn) - this.time.nowMs());
		this.liveDelaysMs.add(pass("up " + host.host(), this.rates.hostKbps, bytesOut) - this.time.nowMs());
	}

	double liveDelayMs() {
		Collections.sort(this.liveDelaysMs);
		return this.liveDelaysMs.get((int) (this.liveDelaysMs.size() * PERCENTILE));
	}

	private double pass(String link, double kbps, int bytes) {
		double startMs = Math.max(this.time.nowMs(), this.nextFreeMs.getOrDefault(link, 0.0));
		double endMs = startMs + bytes * 8 / kbps;
		this.nextFreeMs.put(link, endMs);
		return endMs;
	}

	/**
	 * Rates of links, in kbit/s.
	 *
	 * @param hostKbps each way of each host
	 * @param originKbps out of the origin
	 * @param borderKbps each way between two regions
	 */
	public record Rates(double hostKbps, double originKbps, double borderKbps) {

	}

}
