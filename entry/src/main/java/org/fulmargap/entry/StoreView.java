package org.fulmargap.entry;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

import org.fulmargap.catalog.Catalog;
import org.fulmargap.catalog.RequestLimits;
import org.fulmargap.placement.EndpointDirectory;
import org.fulmargap.placement.EndpointRecord;

/**
 * The state that this entry VM has read from the platform's store: the configuration, the
 * endpoints and the evacuated failure domains. Confined to the event loop.
 */
public final class StoreView {

	private final EndpointDirectory directory = new EndpointDirectory();

	private final Set<String> evacuatedDomains = new HashSet<>();

	private ConfigInForce config;

	private boolean endpointsKnown;

	private Consumer<EndpointRecord> endpointListener = (record) -> {
	};

	/**
	 * Sets who hears that an endpoint was added, restarted or has begun to drain.
	 * @param listener receives the new record
	 */
	void onEndpointChange(Consumer<EndpointRecord> listener) {
		this.endpointListener = listener;
	}

	/**
	 * Replaces the configuration if the given one has a higher version.
	 * @param newest the configuration
	 * @param nowMs the current time in milliseconds
	 * @return whether it was replaced
	 */
	public boolean replace(Catalog newest, long nowMs) {
		if (this.config != null && newest.version() <= this.config.version()) {
			return false;
		}
		this.config = new ConfigInForce(newest, nowMs);
		return true;
	}

	/**
	 * Evacuates a failure domain or ends its evacuation.
	 * @param domain the name of the domain
	 * @param out {@code true} if its endpoints get no new work
	 */
	public void evacuate(String domain, boolean out) {
		if (out) {
			this.evacuatedDomains.add(domain);
		}
		else {
			this.evacuatedDomains.remove(domain);
		}
		this.directory.evacuate(this.evacuatedDomains);
	}

	/**
	 * Adds or updates an endpoint, unless the record is outdated.
	 * @param record the record
	 * @param nowMs the current time in milliseconds
	 * @return what changed
	 */
	public EndpointDirectory.Change put(EndpointRecord record, long nowMs) {
		return changed(record, this.directory.put(record, nowMs));
	}

	/**
	 * Adds or updates an endpoint by an outdated record that the store goes on to list.
	 * @param record the record
	 * @param nowMs the current time in milliseconds
	 * @return what changed
	 */
	EndpointDirectory.Change putListed(EndpointRecord record, long nowMs) {
		return changed(record, this.directory.putListed(record, nowMs));
	}

	private EndpointDirectory.Change changed(EndpointRecord record, EndpointDirectory.Change change) {
		if (change.affectsWork()) {
			this.endpointListener.accept(record);
		}
		return change;
	}

	/**
	 * Records that the endpoints have been read.
	 */
	public void endpointsListed() {
		this.endpointsKnown = true;
	}

	/**
	 * Returns the configuration in force.
	 * @return the configuration, or empty before the first one
	 */
	public Optional<Catalog> catalog() {
		return config().map(ConfigInForce::catalog);
	}

	/**
	 * Returns the configuration in force and since when it has been.
	 * @return the configuration, or empty before the first one
	 */
	public Optional<ConfigInForce> config() {
		return Optional.ofNullable(this.config);
	}

	/**
	 * Returns the limits of requests.
	 * @return the limits, or the defaults before the first configuration
	 */
	public RequestLimits limits() {
		return (this.config != null) ? this.config.catalog().limits() : RequestLimits.DEFAULT;
	}

	/**
	 * Returns the endpoints.
	 * @return the directory
	 */
	public EndpointDirectory directory() {
		return this.directory;
	}

	/**
	 * Returns whether requests can be served.
	 * @return {@code true} once the configuration and the endpoints are known
	 */
	public boolean isComplete() {
		return this.config != null && this.endpointsKnown;
	}

}
