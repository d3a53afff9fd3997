package org.fulmargap.entry;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

import org.fulmargap.catalog.Catalog;
import org.fulmargap.catalog.RequestLimits;
import org.fulmargap.placement.EndpointDirectory;
import org.fulmargap.placement.EndpointRecord;

/**
 * What this entry VM knows from the platform's store. Confined to the event loop.
 */
public final class StoreView {

	private final EndpointDirectory directory = new EndpointDirectory();

	private final Set<String> evacuatedDomains = new HashSet<>();

	private Catalog catalog;

	private boolean endpointsKnown;

	/**
	 * Takes over a configuration, unless a newer one is known.
	 * @param newest the configuration
	 * @return whether it is in force now
	 */
	public boolean replace(Catalog newest) {
		if (this.catalog != null && newest.version() <= this.catalog.version()) {
			return false;
		}
		this.catalog = newest;
		return true;
	}

	/**
	 * Takes a failure domain out, or back in.
	 * @param domain the name of the domain
	 * @param out whether it gets no new work
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
	 * Takes over the record of an endpoint.
	 * @param record the record
	 * @param nowMs the present time in milliseconds
	 * @return what changed
	 */
	public EndpointDirectory.Change put(EndpointRecord record, long nowMs) {
		return this.directory.put(record, nowMs);
	}

	/**
	 * Records that a complete listing of the endpoints was read.
	 */
	public void endpointsListed() {
		this.endpointsKnown = true;
	}

	/**
	 * Returns the configuration in force.
	 * @return the configuration, or empty before the first one
	 */
	public Optional<Catalog> catalog() {
		return Optional.ofNullable(this.catalog);
	}

	/**
	 * Returns the bounds on requests.
	 * @return the bounds
	 */
	public RequestLimits limits() {
		return (this.catalog != null) ? this.catalog.limits() : RequestLimits.DEFAULT;
	}

	/**
	 * Returns the endpoints.
	 * @return the directory
	 */
	public EndpointDirectory directory() {
		return this.directory;
	}

	/**
	 * Tells whether requests can be served.
	 * @return {@code true} once the configuration and the endpoints are known
	 */
	public boolean isComplete() {
		return this.catalog != null && this.endpointsKnown;
	}

}
