package org.wigeontally.entry;

import java.util.Map;
import java.util.TreeMap;

import org.wigeontally.configuration.Configuration;
import org.wigeontally.control.ControlView;
import org.wigeontally.errors.ErrorType;
import org.wigeontally.schema.generated.Alarm;
import org.wigeontally.schema.generated.BackendState;
import org.wigeontally.schema.generated.Bundle;
import org.wigeontally.schema.generated.HostState;
import org.wigeontally.schema.generated.HostStatus;
import org.wigeontally.schema.generated.Liveness;
import org.wigeontally.schema.generated.Model;
import org.wigeontally.schema.generated.Role;
import org.wigeontally.schema.generated.Standing;
import org.wigeontally.schema.generated.StatusReport;
import org.wigeontally.schema.generated.VersionProgress;
import org.wigeontally.schema.generated.VersionStatus;
import org.wigeontally.schema.generated.ZoneState;
import org.wigeontally.schema.generated.ZoneStatus;

/**
 * Builds the status report from the state that this entry knows. Each instance builds one
 * report, on one thread.
 */
final class StatusBuilder {

	private static final long UNKNOWN_REVISION = -1;

	private final ControlView view;

	private final Configuration configuration;

	private final Map<String, Long> revisionsByHost;

	private final StatusReport.Builder report = StatusReport.newBuilder();

	private StatusBuilder(ControlView view, Map<String, Long> revisionsByHost) {
		this.view = view;
		this.configuration = view.configuration();
		this.revisionsByHost = revisionsByHost;
	}

	static StatusBuilder of(ControlView view, Map<String, Long> revisionsByHost) {
		return new StatusBuilder(view, revisionsByHost);
	}

	StatusReport build(long minimumRevision) {
		this.report.setReporter(this.view.self().getHost())
			.setStanding(Standing.newBuilder()
				.setApplied(this.configuration.appliedOffset())
				.setRevision(this.configuration.revision())
				.setConfirmedAgeMs(this.view.leaseAgeMs()))
			.setBundle(this.configuration.bundle().map(Bundle::getName).orElse(""))
			.setMinimumRevision(minimumRevision);
		addZones();
		addHosts();
		addVersions();
		if (!this.view.isServing()) {
			this.report.addAlarms(Alarm.newBuilder()
				.setNumber(ErrorType.NOT_SERVING.number())
				.setHost(this.view.self().getHost())
				.setMessage(ErrorType.NOT_SERVING.message("its configuration is not confirmed or it leaves")));
		}
		return this.report.build();
	}

	private void addZones() {
		Map<String, ZoneStatus.Builder> zones = new TreeMap<>();
		for (ZoneState state : this.configuration.snapshot().getZonesList()) {
			zone(zones, state.getZone()).setOut(state.getOut()).setRevision(state.getRevision());
		}
		for (HostState state : this.view.hosts()) {
			ZoneStatus.Builder zone = zone(zones, state.getHost().getZone()).setRegion(state.getHost().getRegion());
			if (state.getLiveness() != Liveness.LIVE) {
				continue;
			}
			if (state.getHost().getRole() == Role.ENTRY) {
				zone.setEntriesLive(zone.getEntriesLive() + 1);
			}
			else {
				zone.setAgentsLive(zone.getAgentsLive() + 1);
			}
		}
		zones.values().forEach(this.report::addZones);
	}

	private static ZoneStatus.Builder zone(Map<String, ZoneStatus.Builder> zones, String name) {
		return zones.computeIfAbsent(name, (key) -> ZoneStatus.newBuilder().setZone(name));
	}

	private void addHosts() {
		for (HostState state : this.view.hosts()) {
			String host = state.getHost().getHost();
			this.report.addHosts(HostStatus.newBuilder()
				.setHost(host)
				.setRole(state.getHost().getRole())
				.setRegion(state.getHost().getRegion())
				.setZone(state.getHost().getZone())
				.setAddress(state.getHost().getAddress())
				.setLiveness(state.getLiveness())
				.setDraining(this.configuration.isHostDraining(host))
				.setRuleRevision(this.configuration.hostRevision(host))
				.setHeldRevision(this.revisionsByHost.getOrDefault(host, UNKNOWN_REVISION))
				.addAllBackends(state.getBackendsList()));
		}
	}

	private void addVersions() {
		for (Model model : this.configuration.bundle().map(Bundle::getModelsList).orElse(java.util.List.of())) {
			VersionStatus.Builder version = VersionStatus.newBuilder()
				.setModel(model.getName())
				.setVersion(model.getVersion())
				.setInForce(true);
			for (HostState state : this.view.hosts()) {
				state.getBackendsList().forEach((backend) -> addBackend(version, backend));
			}
			this.report.addVersions(version);
		}
	}

	private void addBackend(VersionStatus.Builder version, BackendState backend) {
		String model = this.configuration.service(backend.getService()).map((service) -> service.getModel()).orElse("");
		if (!model.equals(version.getModel())) {
			return;
		}
		version.setHosts(version.getHosts() + 1);
		if (backend.getVersion().equals(version.getVersion())) {
			version.setHostsLoaded(version.getHostsLoaded() + 1);
		}
		for (VersionProgress progress : backend.getProgressList()) {
			if (progress.getVersion().equals(version.getVersion())) {
				version.setChunksVerified(version.getChunksVerified() + progress.getChunksVerified())
					.setChunks(version.getChunks() + progress.getChunks());
			}
		}
	}

}
