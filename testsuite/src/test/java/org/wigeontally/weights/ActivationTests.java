package org.wigeontally.weights;

import java.util.List;
import java.util.Random;

import org.testng.annotations.Test;

import org.wigeontally.schema.generated.BackendState;
import org.wigeontally.schema.generated.HostIdentity;
import org.wigeontally.schema.generated.HostState;
import org.wigeontally.schema.generated.Liveness;
import org.wigeontally.schema.generated.VersionPhase;
import org.wigeontally.schema.generated.VersionProgress;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * The tests fail if {@link Activation} does not check that the version is complete or
 * does not wait for the engine's report, or if {@link RolloutPlan} continues after a
 * failure.
 */
public class ActivationTests {

	private static final Activation.Target V2_TARGET = new Activation.Target("assist", "v2", "");

	@Test
	public void ordersOnlyCompleteVersionsAfterTheEngineReported() {
		Activation activation = Activation.create(new Random(1));
		activation.setTarget(V2_TARGET);
		activation.engineReported("v1");
		activation.updateReadiness("v2", false, true);
		assertThat(activation.nextOrder("", 0)).isEmpty();
		activation.updateReadiness("v1", true, true);
		assertThat(activation.nextOrder("", 0)).isEmpty();
		activation.updateReadiness("v2", true, false);
		assertThat(activation.nextOrder("", 0)).isEmpty();
		activation.updateReadiness("v2", true, true);
		activation.engineUnreachable();
		assertThat(activation.nextOrder("", 0)).isEmpty();
		activation.engineReported("v1");
		assertThat(activation.nextOrder("", 0)).contains(V2_TARGET);
		assertThat(activation.nextOrder("", 0)).isEmpty();
		assertThat(activation.phase()).isEqualTo(VersionPhase.LOADING);
	}

	@Test
	public void isLoadedOnlyWhenTheEngineReportsIt() {
		Activation activation = readyActivation(V2_TARGET);
		activation.nextOrder("", 0);
		activation.engineReported("v2");
		assertThat(activation.phase()).isEqualTo(VersionPhase.LOADING);
		activation.orderEnded(true, 10);
		assertThat(activation.phase()).isEqualTo(VersionPhase.VERIFIED);
		activation.engineReported("v1");
		assertThat(activation.phase()).isEqualTo(VersionPhase.VERIFIED);
		activation.engineReported("v2");
		assertThat(activation.phase()).isEqualTo(VersionPhase.LOADED);
		activation.engineUnreachable();
		assertThat(activation.phase()).isNotEqualTo(VersionPhase.LOADED);
	}

	@Test
	public void stopsAfterRepeatedFailures() {
		Activation activation = readyActivation(V2_TARGET);
		long nowMs = 0;
		int orders = 0;
		while (nowMs < 600_000) {
			if (activation.nextOrder("", nowMs).isPresent()) {
				orders++;
				activation.orderEnded(false, nowMs);
				activation.engineReported("v1");
			}
			nowMs += 100;
		}
		assertThat(orders).isEqualTo(3);
		assertThat(activation.phase()).isEqualTo(VersionPhase.FAILED);
	}

	@Test
	public void adapterLoadsOnlyOnItsBaseVersion() {
		Activation.Target adapter = new Activation.Target("assist-fr", "a1", "v2");
		Activation activation = readyActivation(adapter);
		assertThat(activation.nextOrder("v1", 0)).isEmpty();
		assertThat(activation.nextOrder("v2", 0)).contains(adapter);
	}

	@Test
	public void rolloutProceedsByZoneAndStopsOnFailure() {
		List<HostState> hosts = List.of(host("h1", "a", "v2", VersionPhase.LOADED),
				host("h2", "a", "v1", VersionPhase.LOADING), host("h3", "b", "v1", VersionPhase.VERIFIED));
		assertThat(mayLoad(hosts, "a")).isTrue();
		assertThat(mayLoad(hosts, "b")).isFalse();
		hosts = List.of(hosts.get(0), host("h2", "a", "v2", VersionPhase.LOADED), hosts.get(2));
		assertThat(mayLoad(hosts, "b")).isTrue();
		hosts = List.of(hosts.get(0), host("h2", "a", "v1", VersionPhase.FAILED), hosts.get(2));
		assertThat(mayLoad(hosts, "a")).isFalse();
		assertThat(mayLoad(hosts, "b")).isFalse();
	}

	private static boolean mayLoad(List<HostState> hosts, String zone) {
		return RolloutPlan.mayLoad(hosts, "assist-llm", "assist", "v2", zone);
	}

	private static Activation readyActivation(Activation.Target target) {
		Activation activation = Activation.create(new Random(1));
		activation.setTarget(target);
		activation.updateReadiness(target.version(), true, true);
		activation.engineReported("");
		return activation;
	}

	private static HostState host(String name, String zone, String version, VersionPhase phase) {
		return HostState.newBuilder()
			.setHost(HostIdentity.newBuilder().setHost(name).setZone(zone))
			.setLiveness(Liveness.LIVE)
			.addBackends(BackendState.newBuilder()
				.setService("assist-llm")
				.setVersion(version)
				.addProgress(VersionProgress.newBuilder().setModel("assist").setVersion("v2").setPhase(phase).build()))
			.build();
	}

}
