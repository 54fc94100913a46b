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
 * What is in force after a prefix of the log: an immutable view of a snapshot with
 * look-ups by name. Safe for use by several threads.
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
	 * Returns the state before the first record.
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
	 * Returns the offset of the last record folded.
	 * @return the offset; 0 for none
	 */
	public long appliedOffset() {
		return this.snapshot.getApplied();
	}

	/**
	 * Returns the bundle in force.
	 * @return the bundle, or empty before the first roll
	 */
	public Optional<Bundle> bundle() {
		return this.snapshot.hasInForce() ? Optional.of(this.snapshot.getInForce()) : Optional.empty();
	}

	/**
	 * Returns the revision of the roll that put the bundle in force.
	 * @return the revision; 0 before the first roll
	 */
	public long rollRevision() {
		return this.snapshot.getRolledAt();
	}

	/**
	 * Returns the revision of the last roll that changed the confirming hosts.
	 * @return the revision; 0 for none
	 */
	public long confirmingHostsRevision() {
		return this.snapshot.getListRolledAt();
	}

	/**
	 * Looks up a service.
	 * @param name name of the service
	 * @return the service, if it is in force
	 */
	public Optional<Service> service(String name) {
		return Optional.ofNullable(this.services.get(name));
	}

	/**
	 * Looks up a calling organisation.
	 * @param sha256 the SHA-256 of its credential, hexadecimal in lower case
	 * @return the organisation, if there is one
	 */
	public Optional<Organisation> organisationByCredential(String sha256) {
		return Optional.ofNullable(this.organisationsByCredential.get(sha256));
	}

	/**
	 * Tells whether the owner of a service approved a calling organisation.
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
	 * @return the model, if it is in force
	 */
	public Optional<Model> model(String name) {
		return Optional.ofNullable(this.models.get(name));
	}

	/**
	 * Tells whether an availability zone is taken out of work.
	 * @param zone name of the zone
	 * @return true if it is out
	 */
	public boolean isZoneOut(String zone) {
		ZoneState state = this.zones.get(zone);
		return state != null && state.getOut();
	}

	/**
	 * Returns the newest revision of an availability zone.
	 * @param zone name of the zone
	 * @return the revision; 0 for none
	 */
	public long zoneRevision(String zone) {
		ZoneState state = this.zones.get(zone);
		return (state != null) ? state.getRevision() : 0;
	}

	/**
	 * Tells whether an operator drains a host.
	 * @param host name of the host
	 * @return true if it drains
	 */
	public boolean isHostDraining(String host) {
		HostRule rule = this.hosts.get(host);
		return rule != null && rule.getDraining();
	}

	/**
	 * Returns the newest revision of a host's rule.
	 * @param host name of the host
	 * @return the revision; 0 for none
	 */
	public long hostRevision(String host) {
		HostRule rule = this.hosts.get(host);
		return (rule != null) ? rule.getRevision() : 0;
	}

	/**
	 * Returns the entry hosts whose majority confirms.
	 * @return names of hosts; empty before the first roll
	 */
	public List<String> confirmingHosts() {
		return this.snapshot.getInForce().getConfirmingHostsList();
	}

	/**
	 * Returns the versions of a model that its engines may serve: the one in force and,
	 * until they have loaded it, those in force before.
	 * @param name name of the model
	 * @return names of versions, newest first; empty if the model is not in force
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
	 * Returns the confirming hosts before the last roll that changed them.
	 * @return names of hosts; empty if that roll is settled
	 */
	public List<String> previousConfirmingHosts() {
		return this.snapshot.getPreviousConfirmingHostsList();
	}

	/**
	 * Looks up a proposed bundle that is not in force.
	 * @param name name of the bundle
	 * @return the proposal, if there is one
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
	 * @return the verdict, if it is still kept
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
