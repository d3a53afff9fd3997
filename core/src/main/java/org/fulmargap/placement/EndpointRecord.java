package org.fulmargap.placement;

import java.util.Objects;

/**
 * The record of an endpoint in the platform's store.
 *
 * @param id the name of the endpoint, usually unique to one start of its process
 * @param service the service that it belongs to
 * @param address its address as {@code IP:port}
 * @param failureDomain the failure domain in which it runs
 * @param slots how many requests it runs at the same time; others wait
 * @param draining whether it is draining and must get no new work
 * @param coldForMs how long it stays cold from the time of the record, in milliseconds
 * @param startedAtMs when it started, in milliseconds since the epoch; 0 if not stated
 */
public record EndpointRecord(String id, String service, String address, String failureDomain, int slots,
		boolean draining, long coldForMs, long startedAtMs) {

	/**
	 * Creates a record.
	 * @throws NullPointerException if id, service or address is null
	 */
	public EndpointRecord {
		Objects.requireNonNull(id, "id");
		Objects.requireNonNull(service, "service");
		Objects.requireNonNull(address, "address");
	}

	/**
	 * Returns whether another record of the same name belongs to the same process.
	 * @param other the other record
	 * @return {@code true} if start time, address and service are the same
	 */
	public boolean isSameProcess(EndpointRecord other) {
		return this.startedAtMs == other.startedAtMs && this.address.equals(other.address)
				&& this.service.equals(other.service);
	}

}
