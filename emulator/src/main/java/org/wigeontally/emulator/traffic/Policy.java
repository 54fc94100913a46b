package org.wigeontally.emulator.traffic;

import java.util.Random;

import org.wigeontally.routing.BackendChooser;
import org.wigeontally.routing.LeastLoadedOfFew;
import org.wigeontally.routing.LeastReported;
import org.wigeontally.routing.PrefixAffinity;
import org.wigeontally.routing.RoundRobin;

/**
 * Ways to choose a backend server that are compared.
 */
public enum Policy {

	/** The policy in use. */
	LEAST_LOADED_OF_FEW,
	/** Baseline: in turn, with neither admission nor retries. */
	PLAIN_ROUND_ROBIN,
	/** The choice alone replaced: in turn. */
	ROUND_ROBIN,
	/** The choice alone replaced: lowest reported load. */
	LEAST_REPORTED;

	private static final int AFFINITY_BLOCKS = 1_000;

	BackendChooser chooser(String zone, PrefixAffinity affinity, Random random) {
		return switch (this) {
			case LEAST_LOADED_OF_FEW -> LeastLoadedOfFew.create("region-" + zone, zone, affinity, random);
			case PLAIN_ROUND_ROBIN, ROUND_ROBIN -> RoundRobin.create(random.nextInt(100));
			case LEAST_REPORTED -> LeastReported.create();
		};
	}

	static PrefixAffinity affinity() {
		return PrefixAffinity.create(AFFINITY_BLOCKS);
	}

}
