package org.wigeontally.configuration;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.wigeontally.schema.generated.Approval;
import org.wigeontally.schema.generated.Bundle;
import org.wigeontally.schema.generated.ConfigurationSnapshot;
import org.wigeontally.schema.generated.HostRule;
import org.wigeontally.schema.generated.Model;
import org.wigeontally.schema.generated.Organisation;
import org.wigeontally.schema.generated.ProposedBundle;
import org.wigeontally.schema.generated.Service;
import org.wigeontally.schema.generated.Verdict;
import org.wigeontally.schema.generated.ZoneState;

/**
 * The configuration in force after a prefix of the log: an immutable view of a snapshot
 * with lookups by name. Thread-safe.
 */
public final class Configuration {

	private static final Configuration EMPTY = new Configuration(ConfigurationSnapshot.getDefaultInstance());

	private final ConfigurationSnapshot snapshot;

	private final Map<String, Service> services = new HashMap<>();

	private final Map<String, Organisation> organisations = new HashMap<>();

	private final Map<String, Organisation> organisationsByCredential = new HashMap<>();

	private final Map<String, Model> models = new HashMap<>();

	private final Map<String, ZoneState> zones = new HashMap<>();

	private final Map<String, HostRule> hosts = new HashMap<>();

	private Configuration(ConfigurationSnapshot snapshot) {
		this.snapshot = snapshot;
		Bundle bundle = snapshot.getInForce();
		bundle.getServicesList().forEach((each) -> this.services.put(each.getName(), each));
		bundle.getModelsList().forEach((each) -> this.models.put(each.getName(), each));
		for (Organisation each : bundle.getOrganisationsList()) {
			this.organisations.put(each.getName(), each);
			this.organisationsByCredential.put(each.getCredential(), each);
		}
		snapshot.getZonesList().forEach((each) -> this.zones.put(each.getZone(), each));
		snapshot.getHostsList().forEach((each) -> this.hosts.put(each.getHost(), each));
	}

	/**
	 * Returns the configuration before the first log record.
	 * @return the configuration
	 */
	public static Configuration empty() {
		return EMPTY;
	}

	/**
	 * Creates a view of a snapshot.
	 * @param snapshot the snapshot
	 * @return the configuration
	 */
	public static Configuration of(ConfigurationSnapshot snapshot) {
		return new Configuration(snapshot);
	}

	/**
	 * Returns the offset of the last accepted change.
	 * @return the offset; 0 for none
	 */
	public long revision() {
		return this.snapshot.getRevision();
	}

	/**
	 * Returns the offset of the last log record applied.
	 * @return the offset; 0 for none
	 */
	public long appliedOffset() {
		return this.snapshot.getApplied();
	}

	/**
	 * Returns the bundle in force.
	 * @return the bundle, or empty before the first rollout
	 */
	public Optional<Bundle> bundle() {
		return this.snapshot.hasInForce() ? Optional.of(this.snapshot.getInForce()) : Optional.empty();
	}

	/**
	 * Returns the revision of the rollout that put the bundle in force.
	 * @return the revision; 0 before the first rollout
	 */
	public long rollRevision() {
		return this.snapshot.getRolledAt();
	}

	/**
	 * Returns the revision of the last rollout that changed the confirming hosts.
	 * @return the revision; 0 for none
	 */
	public long confirmingHostsRevision() {
		return this.snapshot.getListRolledAt();
	}

	/**
	 * Looks up a service.
	 * @param name name of the service
	 * @return the service, or empty if the bundle in force does not contain it
	 */
	public Optional<Service> service(String name) {
		return Optional.ofNullable(this.services.get(name));
	}

	/**
	 * Looks up a calling organisation by its credential.
	 * @param sha256 the SHA-256 of the credential in lower-case hexadecimal
	 * @return the organisation, or empty if no organisation has this credential
	 */
	public Optional<Organisation> organisationByCredential(String sha256) {
		return Optional.ofNullable(this.organisationsByCredential.get(sha256));
	}

	/**
	 * Returns whether the owner of a service approved a calling organisation.
	 * @param organisation name of the organisation
	 * @param service name of the service
	 * @return true if approved
	 */
	public boolean isApproved(String organisation, String service) {
		Organisation found = this.organisations.get(organisation);
		if (found == null) {
			return false;
		}
		for (Approval approval : found.getApprovalsList()) {
			if (approval.getService().equals(service)) {
				return true;
			}
		}
		return false;
	}

	/**
	 * Looks up a model and its version in force.
	 * @param name name of the model
	 * @return the model, or empty if the bundle in force does not contain it
	 */
	public Optional<Model> model(String name) {
		return Optional.ofNullable(this.models.get(name));
	}

	/**
	 * Returns whether an operator took an availability zone out of service.
	 * @param zone name of the zone
	 * @return true if the zone is out of service
	 */
	public boolean isZoneOut(String zone) {
		ZoneState state = this.zones.get(zone);
		return state != null && state.getOut();
	}

	/**
	 * Returns the revision of the last change to an availability zone.
	 * @param zone name of the zone
	 * @return the revision; 0 for none
	 */
	public long zoneRevision(String zone) {
		ZoneState state = this.zones.get(zone);
		return (state != null) ? state.getRevision() : 0;
	}

	/**
	 * Returns whether an operator set a host to drain.
	 * @param host name of the host
	 * @return true if the host is draining
	 */
	public boolean isHostDraining(String host) {
		HostRule rule = this.hosts.get(host);
		return rule != null && rule.getDraining();
	}

	/**
	 * Returns the revision of the last change to the rule of a host.
	 * @param host name of the host
	 * @return the revision; 0 for none
	 */
	public long hostRevision(String host) {
		HostRule rule = this.hosts.get(host);
		return (rule != null) ? rule.getRevision() : 0;
	}

	/**
	 * Returns the entry hosts whose majority confirms the serving lease.
	 * @return names of hosts; empty before the first rollout
	 */
	public List<String> confirmingHosts() {
		return this.snapshot.getInForce().getConfirmingHostsList();
	}

	/**
	 * Returns the versions of a model that its engines may serve: the version in force
	 * and the previous versions. An engine serves a previous version until it has loaded
	 * the version in force.
	 * @param name name of the model
	 * @return names of versions, newest first; empty if the bundle in force does not
	 * contain the model
	 */
	public List<String> servableVersions(String name) {
		List<String> versions = new ArrayList<>();
		model(name).ifPresent((model) -> versions.add(model.getVersion()));
		for (Model previous : this.snapshot.getPreviousModelsList()) {
			if (previous.getName().equals(name) && !versions.isEmpty()) {
				versions.add(previous.getVersion());
			}
		}
		return versions;
	}

	/**
	 * Returns the confirming hosts before the last rollout that changed them.
	 * @return names of hosts; empty once that rollout is settled, that is, held by
	 * majorities of the old and the new hosts
	 */
	public List<String> previousConfirmingHosts() {
		return this.snapshot.getPreviousConfirmingHostsList();
	}

	/**
	 * Looks up a proposed bundle that is not in force yet.
	 * @param name name of the bundle
	 * @return the proposal, or empty if there is none
	 */
	public Optional<ProposedBundle> proposal(String name) {
		for (ProposedBundle each : this.snapshot.getProposedList()) {
			if (each.getBundle().getName().equals(name)) {
				return Optional.of(each);
			}
		}
		return Optional.empty();
	}

	/**
	 * Looks up the verdict on a recent change.
	 * @param id id of the change
	 * @return the verdict, or empty if there is none or it was discarded
	 */
	public Optional<Verdict> verdict(String id) {
		for (Verdict each : this.snapshot.getVerdictsList()) {
			if (each.getId().equals(id)) {
				return Optional.of(each);
			}
		}
		return Optional.empty();
	}

	/**
	 * Returns the snapshot behind the view.
	 * @return the snapshot
	 */
	public ConfigurationSnapshot snapshot() {
		return this.snapshot;
	}

	@Override
	public String toString() {
		return "Configuration[applied=" + appliedOffset() + ", revision=" + revision() + ", bundle="
				+ this.snapshot.getInForce().getName() + "]";
	}

}
