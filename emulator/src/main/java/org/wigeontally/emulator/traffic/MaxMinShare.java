package org.wigeontally.emulator.traffic;

/**
 * The max-min fair division of a capacity: no one gets more than it asks for, and what
 * one leaves over is divided equally among the others.
 */
final class MaxMinShare {

	private MaxMinShare() {
	}

	static double[] of(long[] demands, double capacity) {
		double[] shares = new double[demands.length];
		double left = capacity;
		int open = demands.length;
		boolean changed = true;
		while (changed && open > 0) {
			changed = false;
			double equal = left / open;
			for (int i = 0; i < demands.length; i++) {
				if (shares[i] == 0 && demands[i] <= equal) {
					shares[i] = Math.max(demands[i], Double.MIN_VALUE);
					left -= demands[i];
					open--;
					changed = true;
				}
			}
		}
		for (int i = 0; i < demands.length; i++) {
			if (shares[i] == 0) {
				shares[i] = left / open;
			}
		}
		return shares;
	}

}
