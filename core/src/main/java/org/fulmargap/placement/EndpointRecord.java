package org.fulmargap.placement;

import java.util.Objects;

/**
 * What an endpoint says of itself in the platform's store.
 *
 * @param id the name of this start of the endpoint
 * @param service the service that it belongs to
 * @param address its address as {@code IP:port}
 * @param failureDomain the failure domain in which it runs
 * @param draining whether it is about to leave
 * @param coldForMs how long it stays cold from the time of the record, in milliseconds
 * @param startedAtMs when it started, in milliseconds since the epoch; 0 if not stated
 */
public record EndpointRecord(String id, String service, String address, String failureDomain, boolean draining,
		long coldForMs, long startedAtMs) {

	/**
	 * Creates a record.
	 */
	public EndpointRecord {
		Objects.requireNonNull(id, "id");
		Objects.requireNonNull(service, "service");
		Objects.requireNonNull(address, "address");
	}

	/**
	 * Tells whether another record of the same name speaks of the same process.
	 * @param other the other record
	 * @return {@code true} if it does
	 */
	public boolean isSameProcess(EndpointRecord other) {
		return this.startedAtMs == other.startedAtMs && this.address.equals(other.address)
				&& this.service.equals(other.service);
	}

}
