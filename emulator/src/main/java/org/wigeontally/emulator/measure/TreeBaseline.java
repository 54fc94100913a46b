package org.wigeontally.emulator.measure;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

import org.wigeontally.emulator.platform.Links;

/**
 * Computes in virtual time how long a fixed tree takes to spread chunks over links of the
 * same rates as the measured run: every host passes on each chunk as soon as it has it,
 * to one child after the other. The origin as parent of all hosts is the simplest tree.
 */
final class TreeBaseline {

	private final List<String> regions;

	private final int[] parents;

	private final Links.Rates rates;

	private final double chunkKbit;

	private final Map<String, Double> freeMs = new HashMap<>();

	private final PriorityQueue<Send> queue = new PriorityQueue<>(Comparator.comparingDouble(Send::readyMs));

	private final String originRegion;

	/**
	 * Creates the computation.
	 * @param regions region of each host
	 * @param parents parent of each host; -1 for the origin
	 * @param rates rates of the links
	 * @param chunkBytes size of a chunk
	 * @param originRegion region of the origin
	 */
	TreeBaseline(List<String> regions, int[] parents, Links.Rates rates, int chunkBytes, String originRegion) {
		this.regions = regions;
		this.parents = parents.clone();
		this.rates = rates;
		this.chunkKbit = chunkBytes * 8 / 1000.0;
		this.originRegion = originRegion;
	}

	static int[] star(int hosts) {
		int[] parents = new int[hosts];
		java.util.Arrays.fill(parents, -1);
		return parents;
	}

	static int[] binary(int hosts) {
		int[] parents = new int[hosts];
		for (int host = 0; host < hosts; host++) {
			parents[host] = (host == 0) ? -1 : (host - 1) / 2;
		}
		return parents;
	}

	/**
	 * Runs it.
	 * @param chunks number of chunks
	 * @return milliseconds until the last host has all
	 */
	double timeMs(int chunks) {
		for (int chunk = 0; chunk < chunks; chunk++) {
			arrived(-1, 0);
		}
		double lastMs = 0;
		while (!this.queue.isEmpty()) {
			Send send = this.queue.poll();
			double doneMs = transfer(send);
			lastMs = Math.max(lastMs, doneMs);
			arrived(send.to(), doneMs);
		}
		return lastMs;
	}

	private void arrived(int host, double nowMs) {
		for (int child = 0; child < this.parents.length; child++) {
			if (this.parents[child] == host) {
				this.queue.add(new Send(host, child, nowMs));
			}
		}
	}

	private double transfer(Send send) {
		boolean origin = send.from() < 0;
		String fromRegion = origin ? this.originRegion : this.regions.get(send.from());
		String toRegion = this.regions.get(send.to());
		double doneMs = occupy("up " + send.from(), origin ? this.rates.originKbps() : this.rates.machineKbps(),
				send.readyMs());
		doneMs = Math.max(doneMs, occupy("down " + send.to(), this.rates.machineKbps(), send.readyMs()));
		if (!fromRegion.equals(toRegion)) {
			String border = "border " + fromRegion + " " + toRegion;
			doneMs = Math.max(doneMs, occupy(border, this.rates.borderKbps(), send.readyMs()));
		}
		return doneMs;
	}

	private double occupy(String link, int kbps, double readyMs) {
		double doneMs = Math.max(readyMs, this.freeMs.getOrDefault(link, 0.0)) + this.chunkKbit / kbps * 1000;
		this.freeMs.put(link, doneMs);
		return doneMs;
	}

	private record Send(int from, int to, double readyMs) {

	}

}
