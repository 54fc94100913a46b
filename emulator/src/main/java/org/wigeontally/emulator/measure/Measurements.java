package org.wigeontally.emulator.measure;

import java.util.List;

/**
 * The list of all measurements.
 */
final class Measurements {

	private Measurements() {
	}

	static List<Measurement> all() {
		return List.of(new PathMeasurement(), new FaultsMeasurement(), new ZonesMeasurement(), new RouteMeasurement(),
				new ClaimsMeasurement());
	}

}
