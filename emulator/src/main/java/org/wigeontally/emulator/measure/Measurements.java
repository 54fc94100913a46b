package org.wigeontally.emulator.measure;

import java.util.List;

/**
 * The list of all measurements.
 */
final class Measurements {

	private Measurements() {
	}

	static List<Measurement> all() {
		return List.of(new CapacityMeasurement(), new ClaimsMeasurement(), new ConfigurationSpreadMeasurement(),
				new ControlMeasurement(), new EntryCostMeasurement(), new FaultsMeasurement(),
				new HarmfulPartsMeasurement(), new OverheadMeasurement(), new PathMeasurement(), new RouteMeasurement(),
				new BackendLimitMeasurement(), new SoakMeasurement(), new WeightSpreadMeasurement(),
				new WeightsMeasurement(), new ZonesMeasurement());
	}

}
