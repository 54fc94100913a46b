package org.wigeontally.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;

import org.testng.annotations.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against requests for a service whose weight on the route is zero.
 */
public class RouteWeightTests {

	private static final double LARGEST_DRAW = Math.nextDown(1.0);

	private static Route route(double... weights) {
		List<Route.WeightedService> services = new ArrayList<>();
		for (double weight : weights) {
			services.add(new Route.WeightedService("s" + services.size(), weight));
		}
		return new Route("r", "h", "/", RequestKind.IDEMPOTENT, 1_000, 100, 0, services, 1, false, false,
				AllowedRegions.all());
	}

	@Test
	public void noServiceIsPickedIfAllWeightsAreZero() {
		assertThat(route(0, 0).pickService(0.5)).isEmpty();
	}

	@Test
	public void serviceWithoutWeightIsNeverPicked() {
		for (double draw : new double[] { 0, 0.3, 0.7, LARGEST_DRAW }) {
			assertThat(route(0, 1, 0).pickService(draw)).isEqualTo(Optional.of("s1"));
			assertThat(route(0.1, 0.2, 0.7, 0).pickService(draw)).isNotEqualTo(Optional.of("s3"));
		}
	}

	/** The sum of the weights, taken one by one from the draw, may leave a remainder. */
	@Test
	public void roundingErrorsPickNoServiceWithoutWeight() {
		Random random = new Random(1);
		for (int i = 0; i < 200_000; i++) {
			double[] weights = { random.nextDouble(), random.nextDouble() * 1e-9, random.nextDouble(), 0 };
			assertThat(route(weights).pickService(LARGEST_DRAW)).isNotEqualTo(Optional.of("s3"));
		}
	}

}
